#include "support/scripted_mysql_session.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include "mysql/protocol.h"
#include "net/sockets.h"
#include "support/require.h"
#include "support/run_until.h"

namespace rookproxy::test {

ScriptedMysqlSession::ScriptedMysqlSession(EventLoop& loop, const FileDescriptor& listener) : loop_(loop) {
  require(run_until(loop_,
                    [&] {
                      socket_ = accept_connection(listener);
                      return static_cast<bool>(socket_);
                    }),
          "no connection to the engine");
  mysql::Greeting greeting;
  greeting.connection_id = 7;
  greeting.capabilities = mysql::kCapabilities;
  greeting.nonce = mysql::generate_nonce();
  greeting.plugin = mysql::kNativePassword;
  greeting.version = "8.0.36";
  send_packet(mysql::greeting_payload(greeting));
  (void)read_message();
  send_ok();
}

void ScriptedMysqlSession::receive() {
  char bytes[16 * 1024];
  const ssize_t received = ::recv(socket_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
  if (received > 0) input_.append(bytes, static_cast<std::size_t>(received));
  if (received == 0 || (received < 0 && errno != EAGAIN)) ended_ = true;
}

std::string ScriptedMysqlSession::read_message() {
  mysql::Message message;
  require(run_until(loop_,
                    [&] {
                      receive();
                      message = mysql::parse_message(input_, SIZE_MAX);
                      return message.consumed > 0;
                    }),
          "no command from the dispatcher");
  input_.erase(0, message.consumed);
  sequence_ = message.next_sequence;
  return message.payload;
}

std::string ScriptedMysqlSession::read_command() { return read_message(); }

bool ScriptedMysqlSession::has_command() {
  while (loop_.poll()) {
  }
  receive();
  return mysql::parse_message(input_, SIZE_MAX).consumed > 0;
}

void ScriptedMysqlSession::send_packet(std::string_view payload) {
  send_bytes(mysql::split_into_packets(payload, sequence_));
}

void ScriptedMysqlSession::send_ok() { send_packet(mysql::ok_payload()); }

void ScriptedMysqlSession::send_prepared(std::uint32_t statement_id) {
  std::string payload(1, '\0');
  mysql::append_integer(payload, statement_id, 4);
  mysql::append_integer(payload, 0, 2);  // columns
  mysql::append_integer(payload, 0, 2);  // parameters
  mysql::append_integer(payload, 0, 3);  // a filler and the number of warnings
  send_packet(payload);
}

void ScriptedMysqlSession::send_found(bool found) {
  const std::string end("\xfe\0\0\2\0", 5);
  send_packet("\1");
  send_packet("column definition");
  send_packet(end);
  if (found) send_packet(std::string("\1") + "7");
  send_packet(end);
}

std::uint16_t ScriptedMysqlSession::client_port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getpeername(socket_.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void ScriptedMysqlSession::send_bytes(std::string_view bytes) {
  require(run_until(loop_,
                    [&] {
                      const ssize_t sent =
                          ::send(socket_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
                      if (sent > 0) bytes.remove_prefix(static_cast<std::size_t>(sent));
                      if (sent < 0 && errno != EAGAIN) ended_ = true;
                      return bytes.empty() || ended_;
                    }),
          "the dispatcher does not read the response");
}

bool ScriptedMysqlSession::wait_for_end() {
  return run_until(loop_, [&] {
    receive();
    return ended_;
  });
}

}  // namespace rookproxy::test
