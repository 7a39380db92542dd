#include "support/scripted_line_engine.h"

#include <sys/socket.h>

#include <utility>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/require.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

constexpr auto kPollTimeout = 1ms;
constexpr auto kAcceptTimeout = 20ms;
constexpr int kQueueFillerCount = 8;
constexpr int kListenBacklog = 64;
const std::string kLineEnd = "\r\n";
const std::string kRequestCommand = "REQ ";

}  // namespace

std::optional<std::string> ScriptedLineEngine::next_command(std::chrono::milliseconds within) {
  const auto deadline = std::chrono::steady_clock::now() + within;
  do {
    if (listener_ && wait_until_readable(listener_, kPollTimeout)) {
      connections_.emplace_back(accept_connection(listener_));
    }
    for (std::size_t index = 0; index < connections_.size(); ++index) {
      connections_[index].read_more(kPollTimeout);
      if (auto command = take_command(index)) return command;
    }
  } while (std::chrono::steady_clock::now() < deadline);
  return std::nullopt;
}

// Returns the next command in the connection's buffer, or nothing if its line is incomplete.
std::optional<std::string> ScriptedLineEngine::take_command(std::size_t index) {
  TestConnection& connection = connections_[index];
  const auto line_size = connection.buffer().find(kLineEnd);
  if (line_size == std::string::npos) return std::nullopt;
  std::string command = connection.buffer().substr(0, line_size);
  std::size_t consumed = line_size + kLineEnd.size();
  if (command.starts_with(kRequestCommand)) {
    const std::size_t body_size = std::stoul(command.substr(command.rfind(' ') + 1));
    require(connection.wait_for_bytes(consumed + body_size + kLineEnd.size()), "incomplete request body");
    last_request_id_ = command.substr(kRequestCommand.size(),
                                      command.find(' ', kRequestCommand.size()) - kRequestCommand.size());
    ++request_count_;
    command += "\n" + connection.buffer().substr(consumed, body_size);
    consumed += body_size + kLineEnd.size();
  }
  connection.take(consumed);
  last_connection_ = index;
  return command;
}

void ScriptedLineEngine::discard_commands(std::chrono::milliseconds quiet_time) {
  while (next_command(quiet_time)) continue;
}

std::string ScriptedLineEngine::format_response(const std::string& kind, const std::string& fields,
                                                const std::string& body) const {
  const std::string line = last_request_id_ + " " + kind + " " + fields + " " + std::to_string(body.size());
  return line + kLineEnd + body + kLineEnd;
}

void ScriptedLineEngine::send(const std::string& bytes) { connections_.at(last_connection_).send(bytes); }

void ScriptedLineEngine::send_first_half(const std::string& bytes) {
  unsent_half_ = bytes.substr(bytes.size() / 2);
  send(bytes.substr(0, bytes.size() / 2));
}

void ScriptedLineEngine::send_second_half() { send(std::exchange(unsent_half_, "")); }

bool ScriptedLineEngine::is_last_connection_open() const {
  return connections_.empty() || !connections_.at(last_connection_).has_ended();
}

bool ScriptedLineEngine::wait_for_end_of_last_connection() {
  return connections_.at(last_connection_).wait_for_end();
}

void ScriptedLineEngine::fill_accept_queue() {
  ::listen(listener_.get(), 0);
  for (int i = 0; i < kQueueFillerCount; ++i) {
    queue_fillers_.push_back(connect_tcp({kLoopbackAddress, port_}));
  }
}

void ScriptedLineEngine::drain_accept_queue() {
  queue_fillers_.clear();
  while (wait_until_readable(listener_, kAcceptTimeout)) accept_connection(listener_);
  ::listen(listener_.get(), kListenBacklog);
}

// Binds the port again without listening. Otherwise the kernel could assign it to the dispatcher's own
// frontend, to which the dispatcher would then connect as if it were this engine.
void ScriptedLineEngine::close_listener() {
  listener_.reset();
  port_holder_ = FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int reuse = 1;  // Connections to the port may still be open.
  ::setsockopt(port_holder_.get(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  const sockaddr_in address = SocketAddress{kLoopbackAddress, port_}.to_sockaddr();
  const int outcome = ::bind(port_holder_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  require(outcome == 0, "can't bind the port of the closed listener again");
}

}  // namespace rookproxy::test
