// The settings of a TLS server.
#pragma once

#include <string>
#include <vector>

#include "base/errors.h"
#include "base/time.h"

namespace rookproxy::tls {

// An error in one of the files. The message has the configuration key and the path.
struct TlsError : SettingsError {
  using SettingsError::SettingsError;
};

// Whether certificates are requested from clients.
enum class ClientCertificates { kNone, kOptional, kRequired };

// Paths of PEM files, and the rules by which certificates are verified.
struct ServerSettings {
  // The certificate chain, the server's own certificate first.
  std::string certificate;
  // The private key of the server's certificate.
  std::string key;
  // The CAs of client certificates.
  std::string client_ca;
  // Certificate revocation lists. If set, the file must exist and be up to date.
  std::string crl;
  ClientCertificates client_certificates = ClientCertificates::kNone;
  // How long a CRL is accepted after its next update was due.
  Duration crl_grace_period{};
  // The tolerated difference between clocks.
  Duration clock_leeway{};

  // The paths that are set.
  [[nodiscard]] std::vector<std::string> files() const;
};

}  // namespace rookproxy::tls
