// Tests the selection of a key and the validation of claims.
#include <catch2/catch.hpp>
#include <vector>

#include "policy/credentials.h"
#include "policy/token_validation.h"

namespace rookproxy {
namespace {

using namespace policy;
using namespace std::chrono_literals;
using test::kNow;

}  // namespace

TEST_CASE("token validation: the key is selected by its id and determines the accepted algorithm") {
  const std::vector<KeyMetadata> keys{{"old", Algorithm::kEs256, {}, kNow - 1s, "p1"},
                                      {"now", Algorithm::kEs256, kNow - 10s, kNow + 10s, "p2"},
                                      {"rsa", Algorithm::kRs256, {}, {}, "p3"},
                                      {"next", Algorithm::kEdDsa, kNow + 10s, {}, "p4"}};
  const auto select = [&](TokenHeader header, Duration leeway = 0s) {
    return select_key(header, keys, kNow, leeway).denial;
  };
  CHECK(select({"ES256", "now", "JWT"}) == Denial::kNone);
  CHECK(select({"RS256", "rsa", ""}) == Denial::kNone);
  CHECK(select({"ES256", "rsa", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(select({"none", "now", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(select({"HS256", "rsa", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(select({"es256", "now", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(select({"ES256", "", ""}) == Denial::kUnknownKey);
  CHECK(select({"ES256", "old", ""}) == Denial::kUnknownKey);
  CHECK(select({"ES256", "old", ""}, 2s) == Denial::kNone);
  CHECK(select({"EdDSA", "next", ""}) == Denial::kUnknownKey);
  CHECK(select({"EdDSA", "next", ""}, 11s) == Denial::kNone);
  CHECK(select({"ES256", "now", "", true, false}) == Denial::kCriticalExtension);
  CHECK(select({"ES256", "now", "", false, true}) == Denial::kUnknownKey);
}

TEST_CASE("token validation: claims are checked against the rules, the revocations and the time") {
  const double now = *test::make_claims().expires - 60;
  const auto validate = [](auto change) {
    TokenClaims claims = test::make_claims();
    change(claims);
    return validate_claims(claims, test::make_rules(), {{"j-bad"}, {"s-bad"}}, kNow);
  };
  CHECK(validate([](auto&) {}) == Denial::kNone);
  CHECK(validate([](auto& c) { c.issuer = "https://id/"; }) == Denial::kUntrustedIssuer);
  CHECK(validate([](auto& c) { c.issuer.clear(); }) == Denial::kUntrustedIssuer);
  CHECK(validate([](auto& c) { c.audience = {"other"}; }) == Denial::kWrongAudience);
  CHECK(validate([](auto& c) { c.audience.clear(); }) == Denial::kWrongAudience);
  CHECK(validate([](auto& c) { c.expires.reset(); }) == Denial::kNoExpiry);
  CHECK(validate([](auto& c) { c.expires = 1e300; }) == Denial::kNoExpiry);
  CHECK(validate([](auto& c) { c.expires = -1; }) == Denial::kNoExpiry);
  CHECK(validate([&](auto& c) { c.expires = now - 4; }) == Denial::kNone);
  CHECK(validate([&](auto& c) { c.expires = now - 5; }) == Denial::kExpired);
  CHECK(validate([&](auto& c) { c.not_before = now + 4; }) == Denial::kNone);
  CHECK(validate([&](auto& c) { c.not_before = now + 6; }) == Denial::kNotYetValid);
  CHECK(validate([](auto& c) { c.not_before = 1e300; }) == Denial::kNotYetValid);
  CHECK(validate([&](auto& c) { c.issued_at = now + 6; }) == Denial::kNotYetValid);
  CHECK(validate([](auto& c) { c.subject.clear(); }) == Denial::kNoSubject);
  CHECK(validate([](auto& c) { c.id = "j-bad"; }) == Denial::kRevoked);
  CHECK(validate([](auto& c) { c.subject = "s-bad"; }) == Denial::kRevoked);
  TokenRules bounded = test::make_rules();
  bounded.max_lifetime = 100s;
  CHECK(validate_claims(test::make_claims(), bounded, {}, kNow) == Denial::kNoExpiry);
  bounded.max_lifetime = 121s;
  CHECK(validate_claims(test::make_claims(), bounded, {}, kNow) == Denial::kNone);
  // The identity expires with the key that signed the token.
  const auto identity = identity_from_claims(test::make_claims(), test::make_rules(),
                                             {"k", Algorithm::kEs256, {}, kNow + 10s, "p"});
  CHECK(*identity.not_after == kNow + 15s);
}

}  // namespace rookproxy
