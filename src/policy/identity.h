// The identity of a caller, as established by a credential.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// The kind of credential that established an identity.
enum class CredentialKind { kNone, kToken, kCertificate, kPassword };

// An authenticated identity. It holds names rather than pointers into a policy, so it stays valid when the
// policy is reloaded.
struct Identity {
  CredentialKind credential_kind = CredentialKind::kNone;
  std::string subject;
  std::string tenant;
  std::vector<std::string> roles;
  // When the credential expires, including the clock leeway; absent if it does not expire.
  std::optional<Time> not_after;
  // Until when the revocation list is valid for the credential; absent if that is not limited.
  std::optional<Time> revocation_known_until;
  // The id of a key or the serial number of a certificate, for the audit log; never a secret.
  std::string credential_id;
};

// The fields of a verified certificate that authorization needs.
struct CertificateInfo {
  // In the form "CN=a,O=b" (RFC 2253).
  std::string subject;
  // In the form "URI:...", "DNS:..." or "email:...".
  std::vector<std::string> alternative_names;
  // The serial number in hexadecimal.
  std::string serial;
  Time not_after{};
};

}  // namespace rookproxy::policy
