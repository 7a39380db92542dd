// What the side that accepts TLS connections is configured with.
#pragma once

#include <string>
#include <vector>

#include "base/errors.h"
#include "base/time.h"

namespace rookproxy::tls {

// What is wrong with one of the files, with its key and path.
struct TlsError : SettingsError {
  using SettingsError::SettingsError;
};

// Whether clients are asked for certificates.
enum class ClientCertificates { kNone, kOptional, kRequired };

// Paths of PEM files, and how certificates are judged.
struct ServerSettings {
  std::string certificate;  // the chain, the server's own certificate first
  std::string key;          // its private key
  std::string client_ca;    // the CAs of clients' certificates
  std::string crl;          // lists of revoked certificates; where one is named, it must exist and be fresh
  ClientCertificates client_certificates = ClientCertificates::kNone;
  Duration crl_grace_period{};  // how long a list is believed after its successor was due
  Duration clock_leeway{};      // for clocks that differ

  // The paths that are set.
  [[nodiscard]] std::vector<std::string> files() const;
};

}  // namespace rookproxy::tls
