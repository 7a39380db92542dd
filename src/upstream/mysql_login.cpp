#include "upstream/mysql_login.h"

#include <optional>
#include <utility>

#include "mysql/protocol.h"

namespace rookproxy {
namespace {

// The first byte of packets that a server sends only while a client logs in.
constexpr char kAuthMoreData = '\x01';
constexpr char kAuthSwitchRequest = '\xfe';
// caching_sha2_password: the server asks for all of the password; the client asks for the key to encrypt it.
constexpr std::string_view kFullAuthRequest = "\x01\x04";
constexpr std::string_view kPublicKeyRequest = "\x02";

MysqlLoginStep send_step(std::string payload) { return {MysqlLoginStep::Kind::kSend, std::move(payload)}; }

}  // namespace

MysqlLoginStep MysqlLogin::handle_packet(std::string_view payload, const MysqlAccount& account) {
  if (payload.empty()) throw mysql::MalformedPacketError("empty packet during login");
  if (payload[0] == mysql::kErrorHeader) return {MysqlLoginStep::Kind::kRejected, std::string(payload)};
  if (!greeting_received_) return answer_greeting(payload, account);
  if (payload[0] == mysql::kOkHeader) return {MysqlLoginStep::Kind::kComplete, ""};
  if (payload[0] == kAuthSwitchRequest) return switch_auth_method(payload.substr(1), account);
  if (payload == kFullAuthRequest) return send_step(std::string(kPublicKeyRequest));
  if (payload[0] == kAuthMoreData && payload.size() > kFullAuthRequest.size()) {
    return encrypt_password(payload.substr(1), account);
  }
  return {};  // the password was proven, and an OK packet follows
}

MysqlLoginStep MysqlLogin::answer_greeting(std::string_view payload, const MysqlAccount& account) {
  constexpr std::uint32_t kRequired = mysql::kProtocol41 | mysql::kSecureConnection | mysql::kPluginAuth;
  const mysql::Greeting greeting = mysql::parse_greeting(payload);
  greeting_received_ = true;
  engine_connection_id_ = greeting.connection_id;
  nonce_ = greeting.nonce;
  if ((greeting.capabilities & kRequired) != kRequired) {
    throw mysql::MalformedPacketError("server lacks required capabilities");
  }
  const bool plugin_known = mysql::make_auth_response(greeting.plugin, "", "").has_value();
  mysql::Login login;
  login.capabilities = mysql::kCapabilities & ~(mysql::kConnectWithDb | mysql::kConnectAttrs);
  login.user = account.user;
  login.plugin = plugin_known ? greeting.plugin : std::string(mysql::kNativePassword);
  login.auth_response = *mysql::make_auth_response(login.plugin, account.password, nonce_);
  return send_step(mysql::login_payload(login));
}

MysqlLoginStep MysqlLogin::switch_auth_method(std::string_view payload, const MysqlAccount& account) {
  mysql::PayloadReader reader(payload);
  const std::string plugin(reader.null_terminated_string());
  nonce_ = std::string(reader.take_remaining().substr(0, mysql::kNonceSize));
  std::optional<std::string> response = mysql::make_auth_response(plugin, account.password, nonce_);
  if (!response) throw mysql::MalformedPacketError("unsupported authentication plugin");
  return send_step(std::move(*response));
}

MysqlLoginStep MysqlLogin::encrypt_password(std::string_view public_key, const MysqlAccount& account) const {
  std::optional<std::string> encrypted =
      mysql::encrypt_password(account.password, nonce_, std::string(public_key));
  if (!encrypted) throw mysql::MalformedPacketError("invalid public key");
  return send_step(std::move(*encrypted));
}

}  // namespace rookproxy
