// Validation of tokens: the choice of the key, and the claims.
#include "policy/token_validation.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "policy/credentials.h"

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;
using test::kNow;

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

TEST_CASE("token: its claims are validated against rules and time") {
  const double now = *test::make_claims().expires - 60;
  const auto denial_of = [](const TokenClaims& claims) {
    return validate_claims(claims, test::make_rules(), {{"j-bad"}, {"s-bad"}}, kNow);
  };
  // The denial of claims in which one member differs from valid ones.
  const auto denial_with = [&](auto TokenClaims::*member, auto value) {
    TokenClaims claims = test::make_claims();
    claims.*member = value;
    return denial_of(claims);
  };
  CHECK(denial_of(test::make_claims()) == Denial::kNone);
  CHECK(denial_with(&TokenClaims::issuer, "https://id/") == Denial::kUntrustedIssuer);
  CHECK(denial_with(&TokenClaims::issuer, "") == Denial::kUntrustedIssuer);
  CHECK(denial_with(&TokenClaims::audience, std::vector<std::string>{"other"}) == Denial::kWrongAudience);
  CHECK(denial_with(&TokenClaims::audience, std::vector<std::string>{}) == Denial::kWrongAudience);
  CHECK(denial_with(&TokenClaims::expires, std::nullopt) == Denial::kNoExpiry);
  CHECK(denial_with(&TokenClaims::expires, 1e300) == Denial::kNoExpiry);
  CHECK(denial_with(&TokenClaims::expires, -1) == Denial::kNoExpiry);
  CHECK(denial_with(&TokenClaims::expires, now - 4) == Denial::kNone);
  CHECK(denial_with(&TokenClaims::expires, now - 5) == Denial::kExpired);
  CHECK(denial_with(&TokenClaims::not_before, now + 4) == Denial::kNone);
  CHECK(denial_with(&TokenClaims::not_before, now + 6) == Denial::kNotYetValid);
  CHECK(denial_with(&TokenClaims::not_before, 1e300) == Denial::kNotYetValid);
  CHECK(denial_with(&TokenClaims::issued_at, now + 6) == Denial::kNotYetValid);
  CHECK(denial_with(&TokenClaims::subject, "") == Denial::kNoSubject);
  CHECK(denial_with(&TokenClaims::id, "j-bad") == Denial::kRevoked);
  CHECK(denial_with(&TokenClaims::subject, "s-bad") == Denial::kRevoked);
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

}  // namespace
}  // namespace rookproxy::policy
