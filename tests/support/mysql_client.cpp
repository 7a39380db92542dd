#include "support/mysql_client.h"

#include "support/require.h"

namespace rookproxy::test {
namespace {

constexpr const char* kPassword = "secret";
constexpr std::size_t kNonceSize = 20;
constexpr std::uint64_t kMaxPacketSize = 1 << 24;
constexpr char kAuthSwitchRequest = '\xfe';
constexpr std::string_view kFastAuthSuccess = "\x01\x03";
constexpr char kChangeUserCommand = '\x11';
constexpr std::string_view kLongDataValue = "LONG";

}  // namespace

std::string MysqlLoginResult::error_text() const {
  return was_denied() ? mysql::parse_error(message_->payload).text : "";
}

MysqlLoginResult MysqlClient::log_in(const MysqlLoginOptions& options) {
  const auto message = read_mysql_message(connection_);
  require(message.has_value(), "the server sent no greeting");
  const auto greeting = mysql::parse_greeting(message->payload);
  mysql::Login login;
  login.capabilities = mysql::kCapabilities & ~mysql::kConnectAttrs;
  std::uint8_t sequence = 1;
  if (options.uses_tls) {
    login.capabilities |= mysql::kSsl;
    start_tls(login.capabilities, options.certificate, sequence);
  }
  if (options.schema.empty()) login.capabilities &= ~mysql::kConnectWithDb;
  login.user = options.user;
  login.schema = options.schema;
  login.plugin = greeting.plugin;
  login.auth_response = *mysql::make_auth_response(greeting.plugin, kPassword, greeting.nonce);
  connection_.send(mysql::split_into_packets(mysql::login_payload(login), sequence));
  return finish_login(options.token);
}

void MysqlClient::start_tls(std::uint32_t capabilities, const Certificate* certificate,
                            std::uint8_t& sequence) {
  std::string request;
  mysql::append_integer(request, capabilities, 4);
  mysql::append_integer(request, kMaxPacketSize, 4);
  request += static_cast<char>(mysql::kUtf8mb4);
  request.append(23, '\0');  // Reserved bytes.
  connection_.send(mysql::split_into_packets(request, sequence));
  if (certificate == nullptr) {
    connection_.start_tls();
  } else {
    connection_.start_tls(certificate->pem(), certificate->private_key_pem());
  }
}

// Answers an AuthSwitchRequest, if the server sends one, and reads up to the final message of the log-in.
MysqlLoginResult MysqlClient::finish_login(const std::string& token) {
  auto message = read_mysql_message(connection_);
  if (message && message->payload.starts_with(kAuthSwitchRequest)) {
    const std::string_view request = std::string_view(message->payload).substr(1);
    const std::string plugin(request.substr(0, request.find('\0')));
    const std::string nonce(request.substr(plugin.size() + 1, kNonceSize));
    const std::string response =
        plugin == mysql::kClearPassword ? token + '\0' : *mysql::make_auth_response(plugin, kPassword, nonce);
    std::uint8_t sequence = message->next_sequence;
    connection_.send(mysql::split_into_packets(response, sequence));
    message = read_mysql_message(connection_);
  }
  if (message && message->payload == kFastAuthSuccess) message = read_mysql_message(connection_);
  return MysqlLoginResult(std::move(message));
}

MysqlLoginResult MysqlClient::change_user(const std::string& user, const std::string& token) {
  std::string payload = kChangeUserCommand + user + std::string("\0\0\0", 3);
  mysql::append_integer(payload, mysql::kUtf8mb4, 2);
  payload += "caching_sha2_password" + std::string(1, '\0');
  send_command(payload);
  statement_ids_.clear();
  return finish_login(token);
}

void MysqlClient::send_command(std::string_view payload) {
  std::uint8_t sequence = 0;
  connection_.send(mysql::split_into_packets(payload, sequence));
}

void MysqlClient::send_query(const std::string& text) {
  send_command(static_cast<char>(mysql::kQuery) + text);
}

void MysqlClient::send_prepare(const std::string& text) {
  send_command(static_cast<char>(mysql::kStmtPrepare) + text);
}

void MysqlClient::send_execute(std::size_t number, const std::string& value, ParameterTypes types) {
  std::string payload(1, static_cast<char>(mysql::kStmtExecute));
  mysql::append_integer(payload, statement_id(number), 4);
  payload += std::string("\0\1\0\0\0", 5);  // No cursor, one iteration.
  if (!value.empty()) {
    payload += '\0';  // The NULL bitmap: no parameter is NULL.
    payload += types == ParameterTypes::kSent ? std::string("\1\xfd\0", 3) : std::string(1, '\0');
    if (value != kLongDataValue) mysql::append_length_encoded_string(payload, value);
  }
  send_command(payload);
}

void MysqlClient::send_long_data(std::size_t number, std::size_t parameter, const std::string& data) {
  std::string payload(1, static_cast<char>(mysql::kStmtSendLongData));
  mysql::append_integer(payload, statement_id(number), 4);
  mysql::append_integer(payload, parameter, 2);
  send_command(payload + data);
}

mysql::Message MysqlClient::read_first_message() {
  auto message = read_mysql_message(connection_);
  require(message.has_value(), "no response within the time limit");
  require(message->first_sequence == 1, "the response's first sequence number is not 1");
  return *std::move(message);
}

int MysqlClient::read_remaining_messages(const mysql::Message& first, mysql::ResponseTracker::Kind kind) {
  mysql::ResponseTracker tracker(kind);
  std::uint8_t sequence = first.next_sequence;
  int count = 1;
  for (bool is_complete = tracker.on_packet(first.payload); !is_complete; ++count) {
    const auto message = read_mysql_message(connection_);
    require(message.has_value(), "incomplete response");
    require(message->first_sequence == sequence, "sequence numbers are not consecutive");
    sequence = message->next_sequence;
    is_complete = tracker.on_packet(message->payload);
  }
  return count;
}

}  // namespace rookproxy::test
