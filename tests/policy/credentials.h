// Identities and tokens for the tests of credentials.
#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "policy/token_validation.h"

namespace rookproxy::test {

// The current time in these tests.
inline const Time kNow{std::chrono::hours(500'000)};

// An identity with that role that is valid for one more minute.
inline policy::Identity make_identity(std::string role, std::string tenant = "addis") {
  policy::Identity identity;
  identity.credential_kind = policy::CredentialKind::kToken;
  identity.subject = "s-1";
  identity.tenant = std::move(tenant);
  identity.roles = {std::move(role)};
  identity.not_after = kNow + std::chrono::seconds(60);
  return identity;
}

inline policy::TokenRules make_rules() {
  return {{"https://id"}, "rookproxy", std::chrono::seconds(5), std::chrono::seconds(0)};
}

// Claims that satisfy make_rules(), issued one minute ago and valid for one more minute.
inline policy::TokenClaims make_claims() {
  const double now = static_cast<double>(kNow.time_since_epoch().count()) / 1e6;
  policy::TokenClaims claims;
  claims.issuer = "https://id";
  claims.subject = "s-1";
  claims.tenant = "addis";
  claims.audience = {"other", "rookproxy"};
  claims.roles = {"student"};
  claims.expires = now + 60;
  claims.issued_at = now - 60;
  claims.id = "j-1";
  return claims;
}

}  // namespace rookproxy::test
