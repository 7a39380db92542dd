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

// The server side of one connection. Keeps the context that it was created with for its whole lifetime.
class ServerChannel final : public SecureChannel {
 public:
  // Throws TlsError if libssl can't create a connection.
  explicit ServerChannel(std::shared_ptr<const ServerContext> context);

  bool receive(std::string_view bytes, std::string& plain, std::string& out) override;
  void seal(std::string_view plain, std::string& out) override;
  void finish(std::string& out) override;
  [[nodiscard]] bool is_handshake_complete() const override;
  [[nodiscard]] std::string end_reason() const override { return end_reason_; }

  // The client's certificate, once the handshake is complete; nothing if it presented none.
  [[nodiscard]] std::optional<policy::CertificateInfo> peer_certificate() const;
  // Verifies that certificate now by `context`, which may differ from the context of the handshake.
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
