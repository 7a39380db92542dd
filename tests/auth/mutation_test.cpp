// Mutation tests: randomly tampered tokens, key sets, certificates and TLS files are rejected.
// ROOKPROXY_MUTATIONS sets the number of mutations, ROOKPROXY_SEED the seed of the random generator.
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

int mutation_count() {
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
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(engine_() % bound); }
  template <class List>
  const auto& pick(const List& list) {
    return list[below(std::size(list))];
  }
  char byte() { return static_cast<char>(engine_()); }

 private:
  std::mt19937_64 engine_;
};

// Applies a few random edits to a text. The result always differs from the text.
std::string mutate(std::string text, Random& random, bool printable) {
  const std::string before = text;
  static const std::string digits = "ABCXYZabcxyz0189-_=.+/ \n";
  while (text == before) {
    for (std::size_t edits = 1 + random.below(3); edits > 0; --edits) {
      const std::size_t at = random.below(text.size() + 1);
      const char c = printable ? random.pick(digits) : random.byte();
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

struct Fixture {
  explicit Fixture(const std::string& at) : folder(at), credentials(at) {
    for (const char* name : {"ES256", "RS256", "EdDSA"}) {
      credentials.make_key(name, name);
      credentials.make_key(std::string("not-") + name, name);
    }
    credentials.publish_keys({"ES256", "RS256", "EdDSA"});
    auth::AuthSettings settings;
    settings.policy.roles = {{"student", {"lookup"}, false}, {"officer", {"*"}, true}};
    settings.policy.tenants = {{"addis", {"sales_*"}, {}}};
    settings.token_rules = {{"https://id.test"}, "rookproxy", 0s, 0s};
    settings.keys_file = folder + "/keys.json";
    settings.check_queue_limits.burst = 24h;  // No CPU limit, so that every token is checked.
    authenticator = std::make_unique<auth::Authenticator>(loop, log, metrics, settings, 7);
  }
  // Whether a dispatcher accepts the token.
  bool accepted(std::string_view token) {
    const auto check = authenticator->check_token(token, ++source, loop.now() + 1s,
                                                  [](const auth::AuthenticationResult&) {});
    const auto* result = std::get_if<auth::AuthenticationResult>(&check);
    REQUIRE(result);
    authenticator->remove_source(source);
    return result->denial == policy::Denial::kNone;
  }
  std::string folder;
  CredentialFixture credentials;
  EventLoop loop;
  std::ostream null_output{nullptr};
  Logger log{null_output, LogLevel::kError, "-", "test"};
  AuthMetrics metrics;
  std::unique_ptr<auth::Authenticator> authenticator;
  std::uint64_t source = 0;
};

struct TemporaryFolder {
  std::string path = make_temporary_directory();
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

std::string token_part(const std::string& token, int number) {
  std::size_t at = 0;
  for (; number > 0; --number) at = token.find('.', at) + 1;
  return token.substr(at, token.find('.', at) - at);
}

}  // namespace

TEST_CASE("mutations: tampered tokens are rejected") {
  INFO("seed " << seed());
  Random random(seed());
  const TemporaryFolder folder;
  Fixture fixture(folder.path);
  const std::vector<std::string> keys{"ES256", "RS256", "EdDSA"};
  std::vector<std::string> valid;
  for (const auto& key : keys) {
    valid.push_back(fixture.credentials.mint_token(key, "student"));
    REQUIRE(fixture.accepted(valid.back()));
  }
  const std::string public_pem = [&] {
    std::ifstream in(folder.path + "/keys.json");
    return std::string(std::istreambuf_iterator<char>(in), {});
  }();
  int accepted = 0;
  for (int i = 0; i < mutation_count(); ++i) {
    const std::string key = random.pick(keys), token = random.pick(valid);
    const std::string header = token_part(token, 0), claims = token_part(token, 1),
                      signature = token_part(token, 2);
    std::string mutated;
    switch (random.below(11)) {
      case 0:  // Random edits of the token.
        mutated = mutate(token, random, true);
        break;
      case 1:  // Random edits of the claims, with the original signature.
        mutated = header + "." +
                  auth::encode_base64url(mutate(*auth::decode_base64url(claims), random, false)) + "." +
                  signature;
        break;
      case 2: {  // Other claims, with the original signature.
        json other = json::parse(*auth::decode_base64url(claims));
        other[random.pick(std::vector<std::string>{"roles", "tenant", "sub", "exp"})] =
            random.pick(std::vector<json>{json::array({"officer"}), "gondar", "s-2", 4e9});
        mutated = header + "." + auth::encode_base64url(other.dump()) + "." + signature;
        break;
      }
      case 3: {  // Another algorithm: none, an HMAC with public data as the key, or that of another key.
        json other = json::parse(*auth::decode_base64url(header));
        other["alg"] = random.pick(std::vector<std::string>{"none", "None", "HS256", "RS256", "ES256",
                                                            "EdDSA", "PS256", "ES384", "", "es256"});
        mutated = auth::encode_base64url(other.dump()) + "." + claims + "." +
                  random.pick(std::vector<std::string>{"", signature,
                                                       auth::encode_base64url(public_pem.substr(0, 32))});
        if (mutated == token) continue;
        break;
      }
      case 4:  // Signed with a foreign key under the id of a known key.
        mutated = auth::sign_token(fixture.credentials.key("not-" + key), key,
                                   json::parse(*auth::decode_base64url(claims)));
        break;
      case 5:  // The signature of another token.
        mutated = header + "." + claims + "." + token_part(random.pick(valid), 2);
        if (std::find(valid.begin(), valid.end(), mutated) != valid.end()) continue;
        break;
      case 6:  // A constant signature, possibly too short or too long.
        mutated = header + "." + claims + "." +
                  auth::encode_base64url(
                      std::string(random.pick(std::vector<std::size_t>{0, 1, 63, 64, 65, 128, 256}),
                                  random.pick(std::string("\0\xff\1", 3))));
        break;
      case 7: {  // Signed with a key that is embedded in the header.
        json other = json::parse(*auth::decode_base64url(header));
        other["jwk"] = auth::to_public_jwk(fixture.credentials.key("not-" + key), key);
        if (random.below(2) == 0) other["jku"] = "https://elsewhere/keys";
        other["alg"] = policy::algorithm_name(*policy::parse_algorithm(key));
        other["kid"] = key;
        mutated = auth::sign_token(fixture.credentials.key("not-" + key), key,
                                   json::parse(*auth::decode_base64url(claims)), other);
        break;
      }
      case 8: {  // Correctly signed, but with a critical extension, or with invalid or foreign claims.
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
        mutated = auth::sign_token(fixture.credentials.key(key), key, claims_of, header_of);
        break;
      }
      case 9: {  // Correctly signed, but with a duplicate member.
        std::string text = *auth::decode_base64url(claims);
        text.insert(1, R"("roles":["officer"],)");
        const std::string signed_text = header + "." + auth::encode_base64url(text);
        const auto* pair = fixture.credentials.key(json::parse(*auth::decode_base64url(header))["kid"]);
        mutated = signed_text + "." +
                  auth::encode_base64url(auth::sign(const_cast<evp_pkey_st*>(pair),
                                                    auth::algorithm_of(const_cast<evp_pkey_st*>(pair)),
                                                    signed_text));
        break;
      }
      default:  // Text that is not a token.
        mutated = mutate(std::string(random.below(400), 'e'), random, false);
    }
    if (std::find(valid.begin(), valid.end(), mutated) != valid.end()) continue;
    if (fixture.accepted(mutated)) {
      ++accepted;
      UNSCOPED_INFO("accepted: " << mutated);
    }
  }
  CHECK(accepted == 0);
  for (const auto& token : valid) CHECK(fixture.accepted(token));
}

TEST_CASE("mutations: a tampered key set does not verify tokens that foreign keys have signed") {
  Random random(seed() + 1);
  const TemporaryFolder folder;
  Fixture fixture(folder.path);
  json set = {{"keys", json::array()}};
  for (const char* name : {"ES256", "RS256", "EdDSA"})
    set["keys"].push_back(auth::to_public_jwk(fixture.credentials.key(name), name));
  const std::string text = set.dump();
  std::vector<std::string> foreign_tokens;
  for (const char* name : {"ES256", "RS256", "EdDSA"}) {
    const std::string token = fixture.credentials.mint_token(std::string("not-") + name, "officer");
    foreign_tokens.push_back(token);
  }
  int parsed = 0, verified = 0;
  for (int i = 0; i < mutation_count() / 10; ++i) {
    const std::string mutated = mutate(text, random, random.below(2) == 0);
    auth::KeySet keys;
    try {
      keys = auth::KeySet::parse(mutated);
    } catch (const auth::KeyError& error) {
      CHECK(std::string(error.what()).size() > 3);
      continue;
    }
    ++parsed;
    for (const std::string& token : foreign_tokens) {
      const auto jwt = auth::parse_jwt(token, {});
      for (std::size_t key = 0; key < keys.metadata().size(); ++key)
        verified += keys.verify(key, jwt->signing_input, jwt->signature);
    }
  }
  CHECK(verified == 0);
  INFO(parsed << " key sets were parsed");
  CHECK(parsed < mutation_count() / 10);
}

TEST_CASE("mutations: a certificate with tampered contents is not trusted") {
  Random random(seed() + 2);
  const TemporaryFolder folder;
  CredentialFixture credentials(folder.path);
  credentials.issue_certificate({.name = "officer", .alternative_name = "URI:urn:test:officer"});
  const json section =
      credentials.tls_section({.client_certificates = "required", .has_revocation_list = true});
  tls::ServerSettings settings;
  settings.certificate = section["certificate"];
  settings.key = section["key"];
  settings.client_ca = section["client_ca"];
  settings.crl = section["crl"];
  settings.client_certificates = tls::ClientCertificates::kRequired;
  const auto context = tls::ServerContext::load(settings);
  X509* valid = credentials.certificate("officer").certificate.get();
  REQUIRE(context->verify_chain(valid, {}) == policy::Denial::kNone);
  const auto der_of = [](X509* one, bool signed_part) {
    unsigned char* out = nullptr;
    const int size = signed_part ? i2d_re_X509_tbs(one, &out) : i2d_X509(one, &out);
    const std::string der(reinterpret_cast<char*>(out), static_cast<std::size_t>(std::max(0, size)));
    OPENSSL_free(out);
    return der;
  };
  const std::string der = der_of(valid, false), signed_der = der_of(valid, true);
  int decoded = 0, trusted = 0;
  for (int i = 0; i < mutation_count(); ++i) {
    const std::string mutated = mutate(der, random, false);
    const auto* in = reinterpret_cast<const unsigned char*>(mutated.data());
    const std::shared_ptr<X509> parsed(d2i_X509(nullptr, &in, static_cast<long>(mutated.size())), X509_free);
    if (!parsed) continue;
    ++decoded;
    if (context->verify_chain(parsed.get(), {}) == policy::Denial::kNone &&
        der_of(parsed.get(), true) != signed_der)
      ++trusted;
  }
  CHECK(trusted == 0);
  CHECK(decoded > 0);
}

TEST_CASE("mutations: truncated TLS files are rejected, and the error for a tampered file names it") {
  Random random(seed() + 3);
  const TemporaryFolder folder;
  CredentialFixture credentials(folder.path);
  const json section =
      credentials.tls_section({.client_certificates = "required", .has_revocation_list = true});
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
    const std::string original_path = *path, text = text_of(original_path);
    *path = folder.path + "/bad";
    int rejected = 0;
    // Truncated at many positions, like a file that was only partly written.
    for (std::size_t at = 0; at + 2 < text.size(); at += 1 + text.size() / 60) {
      std::ofstream(*path, std::ios::trunc) << text.substr(0, at);
      CHECK_THROWS_AS(tls::ServerContext::load(settings), tls::TlsError);
    }
    for (int i = 0; i < mutation_count() / 50; ++i) {
      std::ofstream(*path, std::ios::trunc) << mutate(text, random, true);
      try {
        tls::ServerContext::load(settings);
      } catch (const tls::TlsError& error) {
        ++rejected;
        CHECK(std::string(error.what()).find(*path) != std::string::npos);
      }
    }
    CHECK(rejected > 0);
    *path = original_path;
  }
}

}  // namespace rookproxy::test
