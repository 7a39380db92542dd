// Seeded mutation runs: of many thousand tokens, sets of keys and certificates that someone tampered with,
// none is taken. ROOKPROXY_MUTATIONS sets how many of each (a part of the longer run here), ROOKPROXY_SEED
// the seed.
#include <openssl/x509.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "auth/authenticator.h"
#include "auth/base64url.h"
#include "fakes/credential_fixture.h"

#include "fakes/credential_fixture.h"
#include "fakes/temporary_directory.h"
#include "net/event_loop.h"
#include "tls/server_context.h"

namespace rookproxy::test {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

int how_many() {
  const char* text = std::getenv("ROOKPROXY_MUTATIONS");
  return text ? std::atoi(text) : 3000;
}
std::uint64_t seed() {
  const char* text = std::getenv("ROOKPROXY_SEED");
  return text ? std::strtoull(text, nullptr, 10) : 20261201;
}

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  std::size_t below(std::size_t most) { return static_cast<std::size_t>(engine_() % most); }
  template <class List>
  const auto& one_of(const List& list) {
    return list[below(std::size(list))];
  }
  char byte() { return static_cast<char>(engine_()); }

 private:
  std::mt19937_64 engine_;
};

// A few random edits; never the text itself.
std::string edited(std::string text, Random& random, bool printable) {
  const std::string before = text;
  static const std::string digits = "ABCXYZabcxyz0189-_=.+/ \n";
  while (text == before) {
    for (std::size_t edits = 1 + random.below(3); edits > 0; --edits) {
      const std::size_t at = random.below(text.size() + 1);
      const char c = printable ? random.one_of(digits) : random.byte();
      switch (random.below(5)) {
        case 0:
          text.insert(at, 1, c);
          break;
        case 1:
          if (at < text.size()) text.erase(at, 1 + random.below(3));
          break;
        case 2:
          if (at < text.size()) text[at] = c;
          break;
        case 3:
          if (at < text.size())
            text[at] = static_cast<char>(text[at] ^ (1 << random.below(printable ? 7 : 8)));
          break;
        default:
          if (at < text.size()) text += text.substr(at, random.below(20));
      }
    }
  }
  return text;
}

struct Bench {
  explicit Bench(const std::string& at) : folder(at), callers(at) {
    for (const char* name : {"ES256", "RS256", "EdDSA"}) {
      callers.make_key(name, name);
      callers.make_key(std::string("not-") + name, name);
    }
    callers.publish_keys({"ES256", "RS256", "EdDSA"});
    auth::AuthSettings settings;
    settings.policy.roles = {{"student", {"lookup"}, false}, {"officer", {"*"}, true}};
    settings.policy.tenants = {{"addis", {"sales_*"}, {}}};
    settings.token_rules = {{"https://id.test"}, "rookproxy", 0s, 0s};
    settings.keys_file = folder + "/keys.json";
    settings.check_queue_limits.burst = 24h;  // no budget: every one is checked
    gate = std::make_unique<auth::Authenticator>(loop, log, figures, settings, 7);
  }
  // Is it taken by the one who serves?
  bool taken(std::string_view token) {
    const auto check =
        gate->check_token(token, ++source, loop.now() + 1s, [](const auth::AuthenticationResult&) {});
    const auto* result = std::get_if<auth::AuthenticationResult>(&check);
    REQUIRE(result);
    gate->remove_source(source);
    return result->denial == policy::Denial::kNone;
  }
  std::string folder;
  CredentialFixture callers;
  EventLoop loop;
  std::ostream nowhere{nullptr};
  Logger log{nowhere, LogLevel::kError, "-", "test"};
  AuthMetrics figures;
  std::unique_ptr<auth::Authenticator> gate;
  std::uint64_t source = 0;
};

struct Folder {
  std::string path = make_temporary_directory();
  ~Folder() { std::filesystem::remove_all(path); }
};

std::string part(const std::string& token, int number) {
  std::size_t at = 0;
  for (; number > 0; --number) at = token.find('.', at) + 1;
  return token.substr(at, token.find('.', at) - at);
}

}  // namespace

TEST_CASE("mutations: of tampered tokens none is taken") {
  INFO("seed " << seed());
  Random random(seed());
  const Folder folder;
  Bench bench(folder.path);
  const std::vector<std::string> keys{"ES256", "RS256", "EdDSA"};
  std::vector<std::string> good;
  for (const auto& key : keys) {
    good.push_back(bench.callers.mint_token(key, "student"));
    REQUIRE(bench.taken(good.back()));
  }
  const std::string public_pem = [&] {
    std::ifstream in(folder.path + "/keys.json");
    return std::string(std::istreambuf_iterator<char>(in), {});
  }();
  int taken = 0;
  for (int i = 0; i < how_many(); ++i) {
    const std::string key = random.one_of(keys), token = random.one_of(good);
    const std::string header = part(token, 0), claims = part(token, 1), signature = part(token, 2);
    std::string bad;
    switch (random.below(11)) {
      case 0:  // any bytes of its text
        bad = edited(token, random, true);
        break;
      case 1:  // what it says, under the signature of what it said
        bad = header + "." + auth::encode_base64url(edited(*auth::decode_base64url(claims), random, false)) +
              "." + signature;
        break;
      case 2: {  // other rights under it
        json other = json::parse(*auth::decode_base64url(claims));
        other[random.one_of(std::vector<std::string>{"roles", "tenant", "sub", "exp"})] =
            random.one_of(std::vector<json>{json::array({"officer"}), "gondar", "s-2", 4e9});
        bad = header + "." + auth::encode_base64url(other.dump()) + "." + signature;
        break;
      }
      case 3: {  // another algorithm in the header: none, an HMAC with what is public, another key's
        json other = json::parse(*auth::decode_base64url(header));
        other["alg"] = random.one_of(std::vector<std::string>{"none", "None", "HS256", "RS256", "ES256",
                                                              "EdDSA", "PS256", "ES384", "", "es256"});
        bad = auth::encode_base64url(other.dump()) + "." + claims + "." +
              random.one_of(
                  std::vector<std::string>{"", signature, auth::encode_base64url(public_pem.substr(0, 32))});
        if (bad == token) continue;
        break;
      }
      case 4:  // signed by a stranger under a known name
        bad = auth::sign_token(bench.callers.key("not-" + key), key,
                               json::parse(*auth::decode_base64url(claims)));
        break;
      case 5:  // another token's signature
        bad = header + "." + claims + "." + part(random.one_of(good), 2);
        if (std::find(good.begin(), good.end(), bad) != good.end()) continue;
        break;
      case 6:  // a signature of zeros, of ones, too short, too long
        bad = header + "." + claims + "." +
              auth::encode_base64url(
                  std::string(random.one_of(std::vector<std::size_t>{0, 1, 63, 64, 65, 128, 256}),
                              random.one_of(std::string("\0\xff\1", 3))));
        break;
      case 7: {  // its own key in the header
        json other = json::parse(*auth::decode_base64url(header));
        other["jwk"] = auth::to_public_jwk(bench.callers.key("not-" + key), key);
        if (random.below(2) == 0) other["jku"] = "https://elsewhere/keys";
        other["alg"] = policy::algorithm_name(*policy::parse_algorithm(key));
        other["kid"] = key;
        bad = auth::sign_token(bench.callers.key("not-" + key), key,
                               json::parse(*auth::decode_base64url(claims)), other);
        break;
      }
      case 8: {  // properly signed, and demanding what is not understood, or over, or for others
        json header_of{{"alg", key}, {"kid", key}};
        json claims_of = json::parse(*auth::decode_base64url(claims));
        switch (random.below(6)) {
          case 0:
            header_of["crit"] = json::array({"exp"});
            break;
          case 1:
            claims_of["exp"] = 1;
            break;
          case 2:
            claims_of.erase("exp");
            break;
          case 3:
            claims_of["aud"] = "elsewhere";
            break;
          case 4:
            claims_of["iss"] = "https://id.test.evil";
            break;
          default:
            claims_of["exp"] = "9999999999";
        }
        bad = auth::sign_token(bench.callers.key(key), key, claims_of, header_of);
        break;
      }
      case 9: {  // one name twice: which counts?
        std::string text = *auth::decode_base64url(claims);
        text.insert(1, R"("roles":["officer"],)");
        const std::string signed_text = header + "." + auth::encode_base64url(text);
        const auto* pair = bench.callers.key(json::parse(*auth::decode_base64url(header))["kid"]);
        bad = signed_text + "." +
              auth::encode_base64url(auth::sign(const_cast<evp_pkey_st*>(pair),
                                                auth::algorithm_of(const_cast<evp_pkey_st*>(pair)),
                                                signed_text));
        break;
      }
      default:  // nothing of the kind
        bad = edited(std::string(random.below(400), 'e'), random, false);
    }
    if (std::find(good.begin(), good.end(), bad) != good.end()) continue;
    if (bench.taken(bad)) {
      ++taken;
      UNSCOPED_INFO("taken: " << bad);
    }
  }
  CHECK(taken == 0);
  for (const auto& token : good) CHECK(bench.taken(token));
}

TEST_CASE("mutations: no tampered set of keys lets a stranger in") {
  Random random(seed() + 1);
  const Folder folder;
  Bench bench(folder.path);
  json set = {{"keys", json::array()}};
  for (const char* name : {"ES256", "RS256", "EdDSA"})
    set["keys"].push_back(auth::to_public_jwk(bench.callers.key(name), name));
  const std::string text = set.dump();
  std::vector<std::string> strangers;
  for (const char* name : {"ES256", "RS256", "EdDSA"}) {
    const std::string token = bench.callers.mint_token(std::string("not-") + name, "officer");
    strangers.push_back(token);
  }
  int read = 0, let_in = 0;
  for (int i = 0; i < how_many() / 10; ++i) {
    const std::string bad = edited(text, random, random.below(2) == 0);
    auth::KeySet keys;
    try {
      keys = auth::KeySet::parse(bad);
    } catch (const auth::KeyError& fault) {
      CHECK(std::string(fault.what()).size() > 3);
      continue;
    }
    ++read;
    for (const std::string& token : strangers) {
      const auto jwt = auth::parse_jwt(token, {});
      for (std::size_t key = 0; key < keys.metadata().size(); ++key)
        let_in += keys.verify(key, jwt->signing_input, jwt->signature);
    }
  }
  CHECK(let_in == 0);
  INFO(read << " could be read");
  CHECK(read < how_many() / 10);
}

TEST_CASE("mutations: no tampered certificate is trusted for anything that it did not say") {
  Random random(seed() + 2);
  const Folder folder;
  CredentialFixture callers(folder.path);
  callers.issue_certificate({.name = "officer", .alternative_name = "URI:urn:test:officer"});
  const json section = callers.tls_section({.client_certificates = "required", .has_revocation_list = true});
  tls::ServerSettings settings;
  settings.certificate = section["certificate"];
  settings.key = section["key"];
  settings.client_ca = section["client_ca"];
  settings.crl = section["crl"];
  settings.client_certificates = tls::ClientCertificates::kRequired;
  const auto context = tls::ServerContext::load(settings);
  X509* good = callers.certificate("officer").certificate.get();
  REQUIRE(context->verify_chain(good, {}) == policy::Denial::kNone);
  const auto der_of = [](X509* one, bool signed_part) {
    unsigned char* out = nullptr;
    const int size = signed_part ? i2d_re_X509_tbs(one, &out) : i2d_X509(one, &out);
    const std::string der(reinterpret_cast<char*>(out), static_cast<std::size_t>(std::max(0, size)));
    OPENSSL_free(out);
    return der;
  };
  const std::string der = der_of(good, false), said = der_of(good, true);
  int decoded = 0, trusted = 0;
  for (int i = 0; i < how_many(); ++i) {
    const std::string bad = edited(der, random, false);
    const auto* in = reinterpret_cast<const unsigned char*>(bad.data());
    const std::shared_ptr<X509> read(d2i_X509(nullptr, &in, static_cast<long>(bad.size())), X509_free);
    if (!read) continue;
    ++decoded;
    if (context->verify_chain(read.get(), {}) == policy::Denial::kNone && der_of(read.get(), true) != said)
      ++trusted;
  }
  CHECK(trusted == 0);
  CHECK(decoded > 0);
}

TEST_CASE("mutations: no tampered file of TLS is taken for another, and each fault is worded") {
  Random random(seed() + 3);
  const Folder folder;
  CredentialFixture callers(folder.path);
  const json section = callers.tls_section({.client_certificates = "required", .has_revocation_list = true});
  tls::ServerSettings settings;
  settings.certificate = section["certificate"];
  settings.key = section["key"];
  settings.client_ca = section["client_ca"];
  settings.crl = section["crl"];
  settings.client_certificates = tls::ClientCertificates::kRequired;
  const auto text_of = [](const std::string& path) {
    std::ifstream in(path);
    return std::string(std::istreambuf_iterator<char>(in), {});
  };
  for (std::string* path : {&settings.certificate, &settings.key, &settings.client_ca, &settings.crl}) {
    const std::string kept = *path, text = text_of(kept);
    *path = folder.path + "/bad";
    int refused = 0;
    // Cut at every place: a file that was not written to its end.
    for (std::size_t at = 0; at + 2 < text.size(); at += 1 + text.size() / 60) {
      std::ofstream(*path, std::ios::trunc) << text.substr(0, at);
      CHECK_THROWS_AS(tls::ServerContext::load(settings), tls::TlsError);
    }
    for (int i = 0; i < how_many() / 50; ++i) {
      std::ofstream(*path, std::ios::trunc) << edited(text, random, true);
      try {
        tls::ServerContext::load(settings);
      } catch (const tls::TlsError& fault) {
        ++refused;
        CHECK(std::string(fault.what()).find(*path) != std::string::npos);
      }
    }
    CHECK(refused > 0);
    *path = kept;
  }
}

}  // namespace rookproxy::test
