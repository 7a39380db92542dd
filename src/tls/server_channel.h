// TLS on one accepted connection.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/secure_channel.h"
#include "policy/authorization.h"
#include "policy/denial.h"
#include "policy/identity.h"
#include "tls/server_context.h"

struct ssl_st;

namespace rookproxy::tls {

// The server's end of one connection. It keeps the context that it was made with for as long as it lives.
class ServerChannel final : public SecureChannel {
 public:
  // Throws TlsError if libssl gives no connection.
  explicit ServerChannel(std::shared_ptr<const ServerContext> context);

  bool receive(std::string_view bytes, std::string& plain, std::string& out) override;
  void seal(std::string_view plain, std::string& out) override;
  void finish(std::string& out) override;
  [[nodiscard]] bool is_handshake_complete() const override;
  [[nodiscard]] std::string end_reason() const override { return end_reason_; }

  // The client's certificate, once the handshake is done; empty if it showed none.
  [[nodiscard]] std::optional<policy::CertificateInfo> peer_certificate() const;
  // Whether that certificate is good by `context` now, which may be another than it was shown to.
  [[nodiscard]] policy::Denial verify_peer(const ServerContext& context) const;

 private:
  [[nodiscard]] bool continue_handshake();
  void read_records(std::string& plain);
  void take_output(std::string& out);
  void set_failure(const char* activity);

  std::shared_ptr<const ServerContext> context_;
  std::shared_ptr<ssl_st> ssl_;
  std::string end_reason_;
};

}  // namespace rookproxy::tls
