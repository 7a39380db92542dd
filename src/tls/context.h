// TLS for the side that accepts (RFC 8446; 1.2 as the least): what its files say, and one channel a
// connection.
//
// A context is made whole from its files or not at all, and is never changed; to replace a certificate, a
// key, a CA or a list of revoked certificates, another takes its place and connections under the former go
// on.
#pragma once

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/errors.h"
#include "net/secure_channel.h"
#include "policy/denial.h"
#include "policy/identity.h"
#include "policy/revocation_status.h"

struct ssl_ctx_st;
struct ssl_st;
struct x509_st;
struct x509_store_st;

namespace rookproxy::tls {

// What is wrong with a file, with its path.
struct TlsError : SettingsError {
  using SettingsError::SettingsError;
};

enum class ClientCertificates { kNone, kOptional, kRequired };

struct ServerSettings {
  std::string certificate, key;  // PEM: the chain, its own certificate first; and its private key
  std::string client_ca, crl;    // PEM; the CRL, where one is named, must be there and fresh
  ClientCertificates client_certificates = ClientCertificates::kNone;
  Duration crl_grace_period{};  // a list is believed so long after its successor was due
  Duration clock_leeway{};      // for clocks that differ
  std::vector<std::string> files() const;
};

class ServerContext {
 public:
  // Throws TlsError. `former`: a list of revoked certificates may not be older than its was.
  static std::shared_ptr<const ServerContext> load(const ServerSettings& settings,
                                                   const ServerContext* former = nullptr);
  // Is the chain good at this time, by this context's CA and list? As when it was shown, but anew.
  policy::Denial verify_chain(x509_st* certificate, const std::vector<std::shared_ptr<x509_st>>& chain) const;
  // Until when whether a certificate was revoked is known: the list's end and its grace. None: there is no
  // list.
  std::optional<Time> revocation_known_until() const;
  Time expires_at() const { return expires_at_; }  // the own certificate
  const ServerSettings& settings() const { return settings_; }
  ssl_ctx_st* get() const { return context_.get(); }

 private:
  ServerContext() = default;
  void load_own_certificate();
  void load_client_verification(const ServerContext* former);
  ServerSettings settings_;
  std::shared_ptr<ssl_ctx_st> context_;
  std::shared_ptr<x509_store_st> store_;
  std::optional<policy::CrlTimes> crl_;
  Time expires_at_{};
};

// One connection's. It keeps its context for as long as it lives.
class ServerChannel final : public SecureChannel {
 public:
  explicit ServerChannel(std::shared_ptr<const ServerContext> context);
  bool receive(std::string_view bytes, std::string& plain, std::string& out) override;
  void seal(std::string_view plain, std::string& out) override;
  void finish(std::string& out) override;
  bool is_handshake_complete() const override;
  std::string end_reason() const override { return end_reason_; }
  // The client's certificate, once is_ready(); nothing if it showed none.
  std::optional<policy::CertificateInfo> peer_certificate() const;
  // Is it good by that context, now? It may be another than it was shown to.
  policy::Denial verify_peer(const ServerContext& context) const;

 private:
  bool set_failure(const char* doing);
  std::shared_ptr<const ServerContext> context_;
  std::shared_ptr<ssl_st> ssl_;
  std::string end_reason_;
};

// What --check tells of a chain and a key that fit: whose, and when it ends.
std::string describe(const ServerContext& context);

}  // namespace rookproxy::tls
