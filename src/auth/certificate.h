// The caller whom a connection's client certificate stands for, judged anew whenever keys, lists or rights
// change.
#pragma once

#include "auth/gatekeeper.h"
#include "tls/server_channel.h"

namespace rookproxy::auth {

class CertificateAuthenticator {
 public:
  // Both live longer. `channel` may be null: then there is no certificate.
  CertificateAuthenticator(Authenticator& gate, const tls::ServerChannel* channel)
      : authenticator_(gate), channel_(channel) {}

  // `context`: what is in force now; it may be another than the channel began under.
  const AuthenticationResult& authenticate(const tls::ServerContext& context) {
    if (revision_ == authenticator_.revision()) return result_;
    revision_ = authenticator_.revision();
    result_ = AuthenticationResult();
    const auto facts = channel_ ? channel_->peer_certificate() : std::nullopt;
    result_.denial = facts ? channel_->verify_peer(context) : policy::Denial::kNoCredentials;
    if (result_.denial == policy::Denial::kNone)
      result_ = authenticator_.authenticate_certificate(*facts, context.revocation_known_until());
    return result_;
  }
  bool is_presented() const {
    return channel_ && channel_->is_handshake_complete() && channel_->peer_certificate().has_value();
  }

 private:
  Authenticator& authenticator_;
  const tls::ServerChannel* channel_;
  std::uint64_t revision_ = 0;  // 0: not judged yet
  AuthenticationResult result_;
};

}  // namespace rookproxy::auth
