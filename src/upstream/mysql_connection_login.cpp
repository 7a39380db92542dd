// The login of a connection to an engine that uses the MySQL protocol.
#include <string>
#include <string_view>

#include "upstream/mysql_connection.h"
#include "upstream/mysql_error_class.h"
#include "upstream/mysql_pool.h"

namespace rookproxy {
namespace {

constexpr std::size_t kNonceSize = 20;
// First bytes of packets.
constexpr char kOkPacket = '\x00';
constexpr char kAuthMoreData = '\x01';
constexpr char kAuthSwitchRequest = '\xfe';
constexpr char kErrorPacket = '\xff';
// caching_sha2_password: the server requests the full password, and the client requests the public key that
// encrypts it.
constexpr std::string_view kFullAuthRequest = "\x01\x04";
constexpr std::string_view kPublicKeyRequest = "\x02";

}  // namespace

void MysqlConnection::handle_login_packet(std::string_view payload) {
  if (payload.empty()) throw mysql::MalformedPacketError("empty packet during login");
  if (payload[0] == kErrorPacket) return handle_login_error(payload);
  if (login_state_ == LoginState::kGreeting) return respond_to_greeting(payload);
  if (payload[0] == kOkPacket) {
    login_state_ = LoginState::kComplete;
    EngineConnection::on_connected();
    return send_next_command();
  }
  if (payload[0] == kAuthSwitchRequest) return switch_auth_method(payload.substr(1));
  if (payload == kFullAuthRequest) {
    send_payload(kPublicKeyRequest);
  } else if (payload[0] == kAuthMoreData && payload.size() > kFullAuthRequest.size()) {
    send_password(payload.substr(1));
  }
  // Any other packet confirms the password; an OK packet follows.
}

// No statement has run. An overloaded engine rejects the login; other errors, such as a wrong password, are
// logged for the operator.
void MysqlConnection::handle_login_error(std::string_view payload) {
  const mysql::ErrorInfo error = mysql::parse_error(payload);
  const bool overloaded = classify_mysql_error(error.code) == MysqlErrorClass::kOverloaded;
  end_attempt(overloaded ? Outcome::kRejected : Outcome::kConnectFailed, error.text);
  fail_connection(error.text);
}

void MysqlConnection::respond_to_greeting(std::string_view payload) {
  constexpr std::uint32_t kRequiredCapabilities =
      mysql::kProtocol41 | mysql::kSecureConnection | mysql::kPluginAuth;
  const mysql::Greeting greeting = mysql::parse_greeting(payload);
  engine_connection_id_ = greeting.connection_id;
  nonce_ = greeting.nonce;
  if ((greeting.capabilities & kRequiredCapabilities) != kRequiredCapabilities) {
    throw mysql::MalformedPacketError(
        "server lacks required capabilities (4.1 protocol, secure connection, plugin authentication)");
  }
  const bool plugin_known = mysql::make_auth_response(greeting.plugin, "", "").has_value();
  const MysqlAccount& account = mysql_pool_.account();
  mysql::Login login;
  login.capabilities = mysql::kCapabilities & ~(mysql::kConnectWithDb | mysql::kConnectAttrs);
  login.user = account.user;
  login.plugin = plugin_known ? greeting.plugin : std::string(mysql::kNativePassword);
  login.auth_response = *mysql::make_auth_response(login.plugin, account.password, nonce_);
  login_state_ = LoginState::kAuthentication;
  send_payload(mysql::login_payload(login));
}

void MysqlConnection::switch_auth_method(std::string_view payload) {
  mysql::PayloadReader reader(payload);
  const std::string plugin(reader.null_terminated_string());
  nonce_ = std::string(reader.take_remaining().substr(0, kNonceSize));
  const auto response = mysql::make_auth_response(plugin, mysql_pool_.account().password, nonce_);
  if (!response) throw mysql::MalformedPacketError("unsupported authentication plugin requested by server");
  send_payload(*response);
}

void MysqlConnection::send_password(std::string_view public_key) {
  const auto encrypted =
      mysql::encrypt_password(mysql_pool_.account().password, nonce_, std::string(public_key));
  if (!encrypted) throw mysql::MalformedPacketError("invalid public key for password encryption");
  send_payload(*encrypted);
}

}  // namespace rookproxy
