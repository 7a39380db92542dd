// Seeded mutation runs: of many thousand tokens, key sets and certificates that someone tampered with, none
// is accepted. ROOKPROXY_MUTATIONS sets how many of each are tried (of key sets and files a part of that),
// ROOKPROXY_SEED the seed.
#include <openssl/x509.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <memory>
#include <ostream>

#include "auth/authenticator.h"
#include "auth/base64url.h"
#include "auth/text_mutation.h"
#include "dispatcher/metrics.h"
#include "fakes/credential_fixture.h"
#include "fakes/temporary_directory.h"
#include "net/event_loop.h"
#include "tls/server_context.h"

namespace rookproxy::test {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Also the names of the keys that are made for them.
const std::vector<std::string> kAlgorithms{"ES256", "RS256", "EdDSA"};

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

// The name of a key that is not in the key set, of the same type as the published one.
std::string unpublished_key(const std::string& published) { return "not-" + published; }

// An authenticator that trusts one key of each algorithm.
struct AuthenticatorFixture {
  explicit AuthenticatorFixture(const std::string& directory) : credentials(directory) {
    for (const std::string& name : kAlgorithms) {
      credentials.make_key(name, name);
      credentials.make_key(unpublished_key(name), name);
    }
    credentials.publish_keys(kAlgorithms);
    auth::AuthSettings settings;
    settings.policy.roles = {{"student", {"lookup"}, false}, {"officer", {"*"}, true}};
    settings.policy.tenants = {{"addis", {"sales_*"}, {}}};
    settings.token_rules = {{"https://id.test"}, "rookproxy", 0s, 0s};
    settings.keys_file = directory + "/keys.json";
    settings.check_queue_limits.burst = 24h;  // no budget: every token is checked
    authenticator = std::make_unique<auth::Authenticator>(loop, log, metrics, settings, 7);
  }

  bool accepts(std::string_view token) {
    const auto check = authenticator->check_token(token, ++source, loop.now() + 1s,
                                                  [](const auth::AuthenticationResult&) {});
    const auto* result = std::get_if<auth::AuthenticationResult>(&check);
    REQUIRE(result);
    authenticator->remove_source(source);
    return result->denial == policy::Denial::kNone;
  }

  CredentialFixture credentials;
  EventLoop loop;
  std::ostream discarded{nullptr};
  Logger log{discarded, LogLevel::kError, "-", "test"};
  AuthMetrics metrics;
  std::unique_ptr<auth::Authenticator> authenticator;
  std::uint64_t source = 0;
};

std::string token_part(const std::string& token, int number) {
  std::size_t at = 0;
  for (; number > 0; --number) at = token.find('.', at) + 1;
  return token.substr(at, token.find('.', at) - at);
}

// A valid token, its parts as they are encoded, and what an attacker knows besides.
struct TokenContext {
  const CredentialFixture& credentials;
  const std::vector<std::string>& valid_tokens;
  const std::string& published_keys;
  std::string key;  // the name of a published one, not always the token's
  std::string token;
  std::string header = token_part(token, 0);
  std::string claims = token_part(token, 1);
  std::string signature = token_part(token, 2);

  [[nodiscard]] json decoded_header() const { return json::parse(*auth::decode_base64url(header)); }
  [[nodiscard]] json decoded_claims() const { return json::parse(*auth::decode_base64url(claims)); }
};

std::string mutate_text(const TokenContext& context, Random& random) {
  return mutate(context.token, random, true);
}

// Other claims under the signature of the former ones.
std::string mutate_claims(const TokenContext& context, Random& random) {
  return context.header + "." +
         auth::encode_base64url(mutate(*auth::decode_base64url(context.claims), random, false)) + "." +
         context.signature;
}

std::string extend_rights(const TokenContext& context, Random& random) {
  json claims = context.decoded_claims();
  claims[random.one_of(std::vector<std::string>{"roles", "tenant", "sub", "exp"})] =
      random.one_of(std::vector<json>{json::array({"officer"}), "gondar", "s-2", 4e9});
  return context.header + "." + auth::encode_base64url(claims.dump()) + "." + context.signature;
}

// Another algorithm in the header: none, an HMAC with what is public, or that of another key.
std::string replace_algorithm(const TokenContext& context, Random& random) {
  json header = context.decoded_header();
  header["alg"] = random.one_of(std::vector<std::string>{"none", "None", "HS256", "RS256", "ES256", "EdDSA",
                                                         "PS256", "ES384", "", "es256"});
  return auth::encode_base64url(header.dump()) + "." + context.claims + "." +
         random.one_of(std::vector<std::string>{
             "", context.signature, auth::encode_base64url(context.published_keys.substr(0, 32))});
}

std::string sign_with_unpublished_key(const TokenContext& context, Random&) {
  return auth::sign_token(context.credentials.key(unpublished_key(context.key)), context.key,
                          context.decoded_claims());
}

std::string use_signature_of_other_token(const TokenContext& context, Random& random) {
  return context.header + "." + context.claims + "." + token_part(random.one_of(context.valid_tokens), 2);
}

// A signature of zeros or ones, or one that is too short or too long.
std::string use_constant_signature(const TokenContext& context, Random& random) {
  return context.header + "." + context.claims + "." +
         auth::encode_base64url(
             std::string(random.one_of(std::vector<std::size_t>{0, 1, 63, 64, 65, 128, 256}),
                         random.one_of(std::string("\0\xff\1", 3))));
}

std::string embed_own_key(const TokenContext& context, Random& random) {
  evp_pkey_st* own_key = context.credentials.key(unpublished_key(context.key));
  json header = context.decoded_header();
  header["jwk"] = auth::to_public_jwk(own_key, context.key);
  if (random.below(2) == 0) header["jku"] = "https://elsewhere/keys";
  header["alg"] = policy::algorithm_name(*policy::parse_algorithm(context.key));
  header["kid"] = context.key;
  return auth::sign_token(own_key, context.key, context.decoded_claims(), header);
}

// Signed with a published key, but it demands an unknown extension, is over, or is for others.
std::string break_a_rule(const TokenContext& context, Random& random) {
  json header{{"alg", context.key}, {"kid", context.key}};
  json claims = context.decoded_claims();
  switch (random.below(6)) {
    case 0:
      header["crit"] = json::array({"exp"});
      break;
    case 1:
      claims["exp"] = 1;
      break;
    case 2:
      claims.erase("exp");
      break;
    case 3:
      claims["aud"] = "elsewhere";
      break;
    case 4:
      claims["iss"] = "https://id.test.evil";
      break;
    default:
      claims["exp"] = "9999999999";
  }
  return auth::sign_token(context.credentials.key(context.key), context.key, claims, header);
}

// One claim stands twice: readers could differ on which counts.
std::string duplicate_claim(const TokenContext& context, Random&) {
  std::string claims = *auth::decode_base64url(context.claims);
  claims.insert(1, R"("roles":["officer"],)");
  const std::string signing_input = context.header + "." + auth::encode_base64url(claims);
  evp_pkey_st* key = context.credentials.key(context.decoded_header()["kid"]);
  return signing_input + "." +
         auth::encode_base64url(auth::sign(key, auth::algorithm_of(key), signing_input));
}

std::string make_random_bytes(const TokenContext&, Random& random) {
  return mutate(std::string(random.below(400), 'e'), random, false);
}

// The result may be a valid token by chance.
using Tampering = std::string (*)(const TokenContext&, Random&);
constexpr std::array<Tampering, 11> kTamperings{mutate_text,
                                                mutate_claims,
                                                extend_rights,
                                                replace_algorithm,
                                                sign_with_unpublished_key,
                                                use_signature_of_other_token,
                                                use_constant_signature,
                                                embed_own_key,
                                                break_a_rule,
                                                duplicate_claim,
                                                make_random_bytes};

// Settings that ask every client for a certificate and have a revocation list.
tls::ServerSettings make_tls_settings(CredentialFixture& credentials) {
  const json section =
      credentials.tls_section({.client_certificates = "required", .has_revocation_list = true});
  tls::ServerSettings settings;
  settings.certificate = section["certificate"];
  settings.key = section["key"];
  settings.client_ca = section["client_ca"];
  settings.crl = section["crl"];
  settings.client_certificates = tls::ClientCertificates::kRequired;
  return settings;
}

// What an i2d function of libcrypto encodes.
template <class Encode>
std::string encode_der(X509* certificate, Encode encode) {
  unsigned char* out = nullptr;
  const int size = encode(certificate, &out);
  const std::string der(reinterpret_cast<char*>(out), static_cast<std::size_t>(std::max(0, size)));
  OPENSSL_free(out);
  return der;
}

std::string whole_der(X509* certificate) { return encode_der(certificate, i2d_X509); }
std::string signed_der(X509* certificate) { return encode_der(certificate, i2d_re_X509_tbs); }

void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc) << text;
}

}  // namespace

TEST_CASE("mutations: of tampered tokens none is accepted") {
  INFO("seed " << seed());
  Random random(seed());
  const TemporaryDirectory directory;
  AuthenticatorFixture fixture(directory.path());
  std::vector<std::string> valid_tokens;
  for (const std::string& key : kAlgorithms) {
    valid_tokens.push_back(fixture.credentials.mint_token(key, "student"));
    REQUIRE(fixture.accepts(valid_tokens.back()));
  }
  const std::string published_keys = read_file(directory.file("keys.json"));
  int accepted = 0;
  for (int i = 0; i < mutation_count(); ++i) {
    const std::string key = random.one_of(kAlgorithms);
    const std::string token = random.one_of(valid_tokens);
    const TokenContext context{fixture.credentials, valid_tokens, published_keys, key, token};
    const std::string tampered = random.one_of(kTamperings)(context, random);
    if (std::find(valid_tokens.begin(), valid_tokens.end(), tampered) != valid_tokens.end()) continue;
    if (fixture.accepts(tampered)) {
      ++accepted;
      UNSCOPED_INFO("accepted: " << tampered);
    }
  }
  CHECK(accepted == 0);
  for (const std::string& token : valid_tokens) CHECK(fixture.accepts(token));
}

TEST_CASE("mutations: no tampered key set verifies a stranger's token") {
  Random random(seed() + 1);
  const TemporaryDirectory directory;
  AuthenticatorFixture fixture(directory.path());
  json key_set = {{"keys", json::array()}};
  std::vector<std::string> foreign_tokens;
  for (const std::string& name : kAlgorithms) {
    key_set["keys"].push_back(auth::to_public_jwk(fixture.credentials.key(name), name));
    foreign_tokens.push_back(fixture.credentials.mint_token(unpublished_key(name), "officer"));
  }
  const std::string text = key_set.dump();
  int parsed = 0;
  int verified = 0;
  for (int i = 0; i < mutation_count() / 10; ++i) {
    const std::string tampered = mutate(text, random, random.below(2) == 0);
    auth::KeySet keys;
    try {
      keys = auth::KeySet::parse(tampered);
    } catch (const auth::KeyError& error) {
      CHECK(std::string(error.what()).size() > 3);
      continue;
    }
    ++parsed;
    for (const std::string& token : foreign_tokens) {
      const auto jwt = auth::parse_jwt(token, {});
      for (std::size_t key = 0; key < keys.metadata().size(); ++key) {
        verified += keys.verify(key, jwt->signing_input, jwt->signature);
      }
    }
  }
  CHECK(verified == 0);
  INFO(parsed << " could be parsed");
  CHECK(parsed < mutation_count() / 10);
}

TEST_CASE("mutations: no tampered certificate is trusted for anything that it did not say") {
  Random random(seed() + 2);
  const TemporaryDirectory directory;
  CredentialFixture credentials(directory.path());
  credentials.issue_certificate({.name = "officer", .alternative_name = "URI:urn:test:officer"});
  const auto context = tls::ServerContext::load(make_tls_settings(credentials));
  X509* original = credentials.certificate("officer").certificate.get();
  REQUIRE(context->verify_chain(original, {}) == policy::Denial::kNone);
  const std::string der = whole_der(original);
  const std::string signed_content = signed_der(original);
  int decoded = 0;
  int trusted = 0;
  for (int i = 0; i < mutation_count(); ++i) {
    const std::string tampered = mutate(der, random, false);
    const auto* in = reinterpret_cast<const unsigned char*>(tampered.data());
    const std::shared_ptr<X509> certificate(d2i_X509(nullptr, &in, static_cast<long>(tampered.size())),
                                            X509_free);
    if (!certificate) continue;
    ++decoded;
    const bool is_trusted = context->verify_chain(certificate.get(), {}) == policy::Denial::kNone;
    if (is_trusted && signed_der(certificate.get()) != signed_content) ++trusted;
  }
  CHECK(trusted == 0);
  CHECK(decoded > 0);
}

TEST_CASE("mutations: no tampered TLS file is accepted for another, and each error names its file") {
  Random random(seed() + 3);
  const TemporaryDirectory directory;
  CredentialFixture credentials(directory.path());
  tls::ServerSettings settings = make_tls_settings(credentials);
  for (std::string* path : {&settings.certificate, &settings.key, &settings.client_ca, &settings.crl}) {
    const std::string original_path = *path;
    const std::string text = read_file(original_path);
    *path = directory.file("tampered");
    // Cut at every place: a file that was not written to its end.
    for (std::size_t at = 0; at + 2 < text.size(); at += 1 + text.size() / 60) {
      write_file(*path, text.substr(0, at));
      CHECK_THROWS_AS(tls::ServerContext::load(settings), tls::TlsError);
    }
    int rejected = 0;
    for (int i = 0; i < mutation_count() / 50; ++i) {
      write_file(*path, mutate(text, random, true));
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
