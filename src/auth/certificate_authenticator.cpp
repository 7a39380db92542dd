#include "auth/certificate_authenticator.h"

#include <optional>

namespace rookproxy::auth {

const AuthenticationResult& CertificateAuthenticator::authenticate(const tls::ServerContext& context) {
  if (revision_ == authenticator_.revision()) return result_;
  revision_ = authenticator_.revision();
  result_ = AuthenticationResult();
  const auto certificate = channel_ != nullptr ? channel_->peer_certificate() : std::nullopt;
  result_.denial = certificate ? channel_->verify_peer(context) : policy::Denial::kNoCredentials;
  if (result_.denial == policy::Denial::kNone) {
    result_ = authenticator_.authenticate_certificate(*certificate, context.revocation_known_until());
  }
  return result_;
}

bool CertificateAuthenticator::is_presented() const {
  return channel_ != nullptr && channel_->is_handshake_complete() && channel_->peer_certificate().has_value();
}

}  // namespace rookproxy::auth
