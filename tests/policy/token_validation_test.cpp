// Validation of tokens: the choice of the key, and the claims.
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

TEST_CASE("token: the key is chosen by its id, and it says which algorithm is taken") {
  const std::vector<KeyMetadata> keys{{"old", Algorithm::kEs256, {}, kNow - 1s, "p1"},
                                      {"now", Algorithm::kEs256, kNow - 10s, kNow + 10s, "p2"},
                                      {"rsa", Algorithm::kRs256, {}, {}, "p3"},
                                      {"next", Algorithm::kEdDsa, kNow + 10s, {}, "p4"}};
  const auto choose = [&](TokenHeader header, Duration leeway = 0s) {
    return select_key(header, keys, kNow, leeway).denial;
  };
  CHECK(choose({"ES256", "now", "JWT"}) == Denial::kNone);
  CHECK(choose({"RS256", "rsa", ""}) == Denial::kNone);
  CHECK(choose({"ES256", "rsa", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"none", "now", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"HS256", "rsa", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"es256", "now", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"ES256", "", ""}) == Denial::kUnknownKey);
  CHECK(choose({"ES256", "old", ""}) == Denial::kUnknownKey);
  CHECK(choose({"ES256", "old", ""}, 2s) == Denial::kNone);
  CHECK(choose({"EdDSA", "next", ""}) == Denial::kUnknownKey);
  CHECK(choose({"EdDSA", "next", ""}, 11s) == Denial::kNone);
  CHECK(choose({"ES256", "now", "", true, false}) == Denial::kCriticalExtension);
  CHECK(choose({"ES256", "now", "", false, true}) == Denial::kUnknownKey);
}

TEST_CASE("token: what it says is judged against rules and time") {
  const double now = *test::make_claims().expires - 60;
  const auto judge = [](auto change) {
    TokenClaims one = test::make_claims();
    change(one);
    return validate_claims(one, test::make_rules(), {{"j-bad"}, {"s-bad"}}, kNow);
  };
  CHECK(judge([](auto&) {}) == Denial::kNone);
  CHECK(judge([](auto& c) { c.issuer = "https://id/"; }) == Denial::kUntrustedIssuer);
  CHECK(judge([](auto& c) { c.issuer.clear(); }) == Denial::kUntrustedIssuer);
  CHECK(judge([](auto& c) { c.audience = {"other"}; }) == Denial::kWrongAudience);
  CHECK(judge([](auto& c) { c.audience.clear(); }) == Denial::kWrongAudience);
  CHECK(judge([](auto& c) { c.expires.reset(); }) == Denial::kNoExpiry);
  CHECK(judge([](auto& c) { c.expires = 1e300; }) == Denial::kNoExpiry);
  CHECK(judge([](auto& c) { c.expires = -1; }) == Denial::kNoExpiry);
  CHECK(judge([&](auto& c) { c.expires = now - 4; }) == Denial::kNone);
  CHECK(judge([&](auto& c) { c.expires = now - 5; }) == Denial::kExpired);
  CHECK(judge([&](auto& c) { c.not_before = now + 4; }) == Denial::kNone);
  CHECK(judge([&](auto& c) { c.not_before = now + 6; }) == Denial::kNotYetValid);
  CHECK(judge([](auto& c) { c.not_before = 1e300; }) == Denial::kNotYetValid);
  CHECK(judge([&](auto& c) { c.issued_at = now + 6; }) == Denial::kNotYetValid);
  CHECK(judge([](auto& c) { c.subject.clear(); }) == Denial::kNoSubject);
  CHECK(judge([](auto& c) { c.id = "j-bad"; }) == Denial::kRevoked);
  CHECK(judge([](auto& c) { c.subject = "s-bad"; }) == Denial::kRevoked);
  TokenRules bounded = test::make_rules();
  bounded.max_lifetime = 100s;
  CHECK(validate_claims(test::make_claims(), bounded, {}, kNow) == Denial::kNoExpiry);
  bounded.max_lifetime = 121s;
  CHECK(validate_claims(test::make_claims(), bounded, {}, kNow) == Denial::kNone);
  // A token is good no longer than its key.
  const auto identity = identity_from_claims(test::make_claims(), test::make_rules(),
                                             {"k", Algorithm::kEs256, {}, kNow + 10s, "p"});
  CHECK(*identity.not_after == kNow + 15s);
}

}  // namespace rookproxy
