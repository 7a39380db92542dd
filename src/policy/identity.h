// Who a caller is, as shown by a credential.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// The kind of credential that showed an identity.
enum class CredentialKind { kNone, kToken, kCertificate, kPassword };

// What a credential has shown. It holds names rather than pointers into a policy, so it outlives a reload.
struct Identity {
  CredentialKind credential_kind = CredentialKind::kNone;
  std::string subject;
  std::string tenant;
  std::vector<std::string> roles;
  // When the credential expires, clock leeway included; absent if it does not expire by itself.
  std::optional<Time> not_after;
  // Until when the revocation list says whether it was revoked; absent if there is no such bound.
  std::optional<Time> revocation_known_until;
  // For the audit: a key's id or a certificate's serial number; never a secret.
  std::string credential_id;
};

// The fields of a verified certificate that authorization needs.
struct CertificateInfo {
  std::string subject;                         // as "CN=a,O=b" (RFC 2253)
  std::vector<std::string> alternative_names;  // as "URI:...", "DNS:..." or "email:..."
  std::string serial;                          // hexadecimal
  Time not_after{};
};

}  // namespace rookproxy::policy
