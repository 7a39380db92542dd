// TLS server context (TLS 1.2 or later), shared by all connections.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/authorization.h"
#include "policy/denial.h"
#include "policy/identity.h"
#include "policy/revocation_status.h"
#include "tls/server_settings.h"

struct ssl_ctx_st;
struct x509_st;
struct x509_store_st;

namespace rookproxy::tls {

// The server's certificate and key, and the CAs and CRLs that client certificates are verified by. Immutable:
// to apply a changed file, a new context is loaded, and open connections keep the previous one.
class ServerContext {
 public:
  // Throws TlsError if a file is invalid, or if the CRL is older than that of the previous context, `former`.
  static std::shared_ptr<const ServerContext> load(const ServerSettings& settings,
                                                   const ServerContext* former = nullptr);

  // Verifies the chain now, as in a handshake, by the CAs and CRLs of this context.
  [[nodiscard]] policy::Denial verify_chain(x509_st* certificate,
                                            const std::vector<std::shared_ptr<x509_st>>& chain) const;
  // Until when revocations are known: the next update of the CRL plus the grace period. Nothing if there is
  // no CRL.
  [[nodiscard]] std::optional<Time> revocation_known_until() const;
  // When the server's own certificate expires.
  [[nodiscard]] Time expires_at() const { return expires_at_; }
  [[nodiscard]] const ServerSettings& settings() const { return settings_; }
  [[nodiscard]] ssl_ctx_st* get() const { return context_.get(); }

 private:
  ServerContext() = default;
  void create_context();
  void load_own_certificate();
  void load_private_key(x509_st* certificate);
  void check_validity_period(const x509_st* certificate);
  void load_client_verification(const ServerContext* former);
  void load_client_ca();
  void load_crls(const ServerContext* former);

  ServerSettings settings_;
  std::shared_ptr<ssl_ctx_st> context_;
  std::shared_ptr<x509_store_st> store_;
  std::optional<policy::CrlTimes> crl_times_;
  Time expires_at_{};
};

// The subject, issuer and expiry of the server's certificate, and until when the CRL is accepted, for
// operators.
[[nodiscard]] std::string describe(const ServerContext& context);

}  // namespace rookproxy::tls
