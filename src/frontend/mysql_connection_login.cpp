// Handles the login of a MySQL connection with TLS, a certificate, a token or a password, and the change of
// user.
#include <utility>
#include <variant>

#include "frontend/mysql_connection.h"

namespace rookproxy {
namespace {

// The limit for the token check of a login.
constexpr Duration kTokenCheckTimeout = std::chrono::seconds(2);
// Distinguishes this frontend's connections from those of other frontends with the same keys.
constexpr auth::Authenticator::SourceId kSourceFlag = std::uint64_t{1} << 63;
// caching_sha2_password: the password is cached by the server and correct.
constexpr std::string_view kFastAuthSuccess = "\x01\x03";
constexpr char kAuthSwitchRequest = '\xfe';

// Returns true for the collations of UTF-8, ASCII and binary, whose text can be passed to an engine's UTF-8
// session unchanged.
bool is_utf8_compatible(unsigned collation) {
  return collation == 33 || collation == 45 || collation == 46 || collation == 63 || collation == 83 ||
         collation == 11 || collation == 65 || collation == 76 || (collation >= 192 && collation <= 247) ||
         collation == 255;
}

}  // namespace

void MysqlFrontend::Connection::log_in(std::string_view payload) {
  if (mysql::is_ssl_request(payload)) return begin_tls();
  login_ = mysql::parse_login(payload);
  if ((login_.capabilities & mysql::kSsl) != 0 && !is_encrypted()) {
    return fatal(mysql::kHandshakeError, "Bad handshake: TLS is not offered here");
  }
  if (frontend_.tls_required_ && !is_encrypted()) {
    return fatal(mysql::kSecureTransportRequired, "Connections using insecure transport are prohibited here");
  }
  if (!check_charset()) return;
  if (login_.plugin.empty()) login_.plugin = mysql::kNativePassword;
  authenticate();
}

void MysqlFrontend::Connection::authenticate() {
  if (has_client_certificate()) {
    const auth::AuthenticationResult result = certificate_->authenticate(*frontend_.tls_);
    return result.denial == policy::Denial::kNone ? complete_login(result.credential) : reject_login(result);
  }
  if (expects_token()) {
    // Some clients are configured to send the token without a request.
    if (login_.plugin == mysql::kClearPassword && !login_.auth_response.empty()) {
      return check_token(login_.auth_response);
    }
    return request_auth_method(mysql::kClearPassword);
  }
  if (login_.plugin == mysql::kCachingSha2) return check_password(login_.auth_response);
  // The response was computed for another method than the one in the greeting. The client is asked to
  // authenticate again, by a method that it supports and with the same nonce.
  const bool is_native = login_.plugin == mysql::kNativePassword;
  request_auth_method(is_native ? mysql::kNativePassword : mysql::kCachingSha2);
}

void MysqlFrontend::Connection::begin_tls() {
  if (!frontend_.tls_ || is_encrypted()) {
    return fatal(mysql::kHandshakeError, "Bad handshake: TLS is not offered here");
  }
  auto channel = std::make_unique<tls::ServerChannel>(frontend_.tls_);
  if (frontend_.authenticator_) {
    certificate_ = std::make_unique<auth::CertificateAuthenticator>(*frontend_.authenticator_, channel.get());
  }
  stream_.install_channel(std::move(channel));
}

// Returns false after sending an error to the client.
bool MysqlFrontend::Connection::check_charset() {
  if (is_utf8_compatible(login_.charset)) return true;
  fatal(mysql::kUnknownCharset, "Unknown character set here: only UTF-8, ASCII and binary are served");
  return false;
}

bool MysqlFrontend::Connection::has_client_certificate() const {
  return certificate_ && certificate_->is_presented() && !has_password();
}

// A token is requested only on an encrypted connection.
bool MysqlFrontend::Connection::expects_token() const {
  return frontend_.authenticator_ != nullptr && frontend_.authenticator_->accepts_tokens() &&
         is_encrypted() && !has_password();
}

void MysqlFrontend::Connection::request_auth_method(std::string_view plugin) {
  state_ = State::kAuthResponse;
  login_.plugin = plugin;
  reply(kAuthSwitchRequest + login_.plugin + '\0' + nonce_ + '\0');
}

void MysqlFrontend::Connection::handle_auth_response(std::string_view payload) {
  login_.plugin == mysql::kClearPassword ? check_token(payload) : check_password(payload);
}

void MysqlFrontend::Connection::check_password(std::string_view auth_response) {
  const auto user = frontend_.config_.users.find(login_.user);
  const bool is_known = user != frontend_.config_.users.end();
  // An unknown user is handled by the same steps as a wrong password.
  const std::string password = is_known ? user->second : nonce_;
  const auto expected = mysql::make_auth_response(login_.plugin, password, nonce_);
  if (!expected || !mysql::constant_time_equal(*expected, auth_response) || !is_known) {
    return fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user + "'");
  }
  auth::AuthenticationResult result;
  if (frontend_.authenticator_) result = frontend_.authenticator_->authenticate_user(login_.user);
  if (result.denial != policy::Denial::kNone) return reject_login(result);
  if (login_.plugin == mysql::kCachingSha2 && !auth_response.empty()) reply(kFastAuthSuccess);
  complete_login(result.credential);
}

auth::Authenticator::SourceId MysqlFrontend::Connection::source() const { return key_ | kSourceFlag; }

void MysqlFrontend::Connection::check_token(std::string_view token) {
  if (token.ends_with('\0')) token.remove_suffix(1);
  state_ = State::kCheckingToken;
  const auto on_checked = [this](auth::AuthenticationResult result) {
    token_check_ = 0;
    stream_.set_read_paused(false);
    finish_token_check(std::move(result));
    if (state_ == State::kReady && frontend_.shutting_down_) close_gracefully();
  };
  const Time deadline = frontend_.loop_.now() + kTokenCheckTimeout;
  auto check = frontend_.authenticator_->check_token(token, source(), deadline, on_checked);
  if (auto* result = std::get_if<auth::AuthenticationResult>(&check)) {
    return finish_token_check(std::move(*result));
  }
  token_check_ = std::get<auth::Authenticator::CheckId>(check);
  stream_.set_read_paused(true);
}

// The user name of the login must match the subject of the token.
void MysqlFrontend::Connection::finish_token_check(auth::AuthenticationResult authentication) {
  if (authentication.denial == policy::Denial::kNone &&
      authentication.credential->identity.subject != login_.user) {
    authentication.denial = policy::Denial::kWrongUser;
  }
  if (authentication.denial != policy::Denial::kNone) return reject_login(authentication);
  complete_login(std::move(authentication.credential));
}

void MysqlFrontend::Connection::reject_login(const auth::AuthenticationResult& authentication) {
  policy::Identity identity;
  if (authentication.credential) identity = authentication.credential->identity;
  if (identity.subject.empty()) identity.subject = login_.user;
  frontend_.authenticator_->audit_denial(authentication.denial, identity, "", {"mysql", ""});
  if (authentication.denial == policy::Denial::kBusy) {
    return fatal(mysql::kServerNotAvailable, retry_message(authentication.retry_after));
  }
  const std::string reason(policy::reason_message(authentication.denial));
  fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user + "': " + reason);
}

void MysqlFrontend::Connection::complete_login(std::shared_ptr<const policy::VerifiedCredential> caller) {
  caller_ = std::move(caller);
  if (frontend_.authenticator_) {
    caller_revision_ = frontend_.authenticator_->revision();
    const policy::Denial denial =
        frontend_.authenticator_->authorize_identity(caller_->identity, {"mysql", ""});
    if (denial != policy::Denial::kNone) {
      const std::string reason(policy::reason_message(denial));
      return fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user + "': " + reason);
    }
  }
  state_ = State::kReady;
  start_close_timer(frontend_.config_.idle_timeout);
  // The response to the schema selection also completes the login.
  if (!login_.schema.empty()) return use_schema(login_.schema);
  ok();
}

// Starts a new session on this connection for another caller, or for the same caller with a new token.
void MysqlFrontend::Connection::change_user(std::string_view payload) {
  login_ = mysql::parse_change_user(payload, login_.capabilities);
  if (!check_charset()) return;
  statements_.clear();
  autocommit_ = true;
  schema_.clear();
  caller_.reset();
  nonce_ = mysql::generate_nonce();
  start_close_timer(kLoginTimeout);
  request_auth_method(expects_token() ? mysql::kClearPassword : mysql::kCachingSha2);
}

// Verifies the caller again if keys, revocations or rights have changed. Returns false after sending an error
// to the client.
bool MysqlFrontend::Connection::revalidate_caller() {
  if (!frontend_.authenticator_ || caller_revision_ == frontend_.authenticator_->revision()) return true;
  const bool by_certificate = caller_->identity.credential_kind == policy::CredentialKind::kCertificate;
  const auth::AuthenticationResult result = by_certificate ? certificate_->authenticate(*frontend_.tls_)
                                                           : frontend_.authenticator_->revalidate(*caller_);
  if (result.denial == policy::Denial::kNone) {
    caller_ = result.credential;
    caller_revision_ = frontend_.authenticator_->revision();
    return true;
  }
  frontend_.authenticator_->audit_denial(result.denial, caller_->identity, "", {"mysql", ""});
  const std::string text = "Access denied: " + std::string(policy::reason_message(result.denial));
  by_certificate ? fatal(mysql::kAccessDenied, text) : error(mysql::kAccessDenied, text);
  return false;
}

}  // namespace rookproxy
