// Authenticates the client certificate of one connection.
#pragma once

#include <cstdint>

#include "auth/authenticator.h"
#include "tls/server_channel.h"

namespace rookproxy::auth {

// Caches the result until keys, revocation lists or permissions change. Used only on the loop's thread.
class CertificateAuthenticator {
 public:
  // Both must outlive it. `channel` may be null, which means that there is no certificate.
  CertificateAuthenticator(Authenticator& authenticator, const tls::ServerChannel* channel)
      : authenticator_(authenticator), channel_(channel) {}

  // `context` is the current one, which may differ from the one that the connection was accepted with. The
  // returned reference is valid until the next call.
  [[nodiscard]] const AuthenticationResult& authenticate(const tls::ServerContext& context);
  // Whether the client has presented a certificate.
  [[nodiscard]] bool is_presented() const;

 private:
  Authenticator& authenticator_;
  const tls::ServerChannel* channel_;
  std::uint64_t revision_ = 0;  // The revision of the result; 0 if there is none yet.
  AuthenticationResult result_;
};

}  // namespace rookproxy::auth
