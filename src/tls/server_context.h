// TLS for the side that accepts (RFC 8446; version 1.2 at least): what all connections share.
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

// A certificate, its key, and what clients' certificates are verified by. It is made whole from its files or
// not at all, and never changed: to replace a file, another context takes its place, and connections under
// the former one go on.
class ServerContext {
 public:
  // Throws TlsError. `former`: a list of revoked certificates may not be older than the former context's.
  static std::shared_ptr<const ServerContext> load(const ServerSettings& settings,
                                                   const ServerContext* former = nullptr);

  // Whether the chain is good now, by this context's CA and list: verified as in the handshake, but anew.
  [[nodiscard]] policy::Denial verify_chain(x509_st* certificate,
                                            const std::vector<std::shared_ptr<x509_st>>& chain) const;
  // Until when it is known whether a certificate was revoked: the list's end and its grace period. Empty:
  // there is no list.
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

// Whose certificate it is and when it ends, and until when the list is believed, for people to read.
[[nodiscard]] std::string describe(const ServerContext& context);

}  // namespace rookproxy::tls
