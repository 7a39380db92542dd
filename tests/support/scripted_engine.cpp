#include "support/scripted_engine.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <sstream>
#include <utility>

#include "fakes/sockets.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

namespace rookproxy::test {
namespace {

constexpr int kQueueFillerCount = 4;
constexpr int kListenBacklog = 64;
constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kAttemptIdSize = 16;
const std::string kLineEnd = "\r\n";

// The words of a command line that the engine evaluates: the verb, the attempt's id and the last word.
struct CommandLine {
  std::string verb;
  std::string id;
  std::string last_word;
};

CommandLine parse_line(const std::string& line) {
  CommandLine command;
  std::istringstream words(line);
  words >> command.verb >> command.id;
  for (std::string word; words >> word;) command.last_word = word;
  return command;
}

}  // namespace

const char* close_kind_name(CloseKind kind) {
  static constexpr const char* kNames[] = {"close", "reset", "silence", "half-close", "type 8"};
  return kNames[static_cast<int>(kind)];
}

void ScriptedEngine::write(std::size_t connection, std::string_view bytes) {
  Connection& to = connections[connection];
  if (to.fd && ::send(to.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) to.ended = true;
}

void ScriptedEngine::close_connection(std::size_t connection, CloseKind kind) {
  Connection& closing = connections[connection];
  if (kind == CloseKind::kUnresponsive || !closing.fd) return;
  if (kind == CloseKind::kReset) set_reset_on_close(closing.fd);
  closing.fd.reset();
  closing.ended = true;
}

void ScriptedEngine::fill_accept_queue() {
  accept_queue_full = true;
  ::listen(listener.get(), 0);
  for (int i = 0; i < kQueueFillerCount; ++i) {
    queue_fillers_.push_back(connect_tcp({kLoopbackAddress, port}));
  }
}

void ScriptedEngine::resume() {
  is_reading = true;
  if (!std::exchange(accept_queue_full, false)) return;
  queue_fillers_.clear();
  while (accept_connection(listener)) continue;
  ::listen(listener.get(), kListenBacklog);
}

bool ScriptedEngine::process_input(AttemptObserver& observer) {
  bool has_progress = accept_connections();
  for (std::size_t number = 0; number < connections.size(); ++number) {
    const bool has_read = read_connection(number, observer);
    has_progress = has_progress || has_read;
  }
  return has_progress;
}

bool ScriptedEngine::accept_connections() {
  bool has_accepted = false;
  while (!accept_queue_full) {
    FileDescriptor fd = accept_connection(listener);
    if (!fd) break;
    connections.emplace_back().fd = std::move(fd);
    has_accepted = true;
  }
  return has_accepted;
}

bool ScriptedEngine::read_connection(std::size_t number, AttemptObserver& observer) {
  Connection& connection = connections[number];
  if (!connection.fd || connection.ended || !is_reading) return false;
  std::array<char, kReadSize> chunk;
  const ssize_t received = ::recv(connection.fd.get(), chunk.data(), chunk.size(), MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return false;
  if (received <= 0) {
    end_connection(number, observer);
    return true;
  }
  connection.receive_buffer.append(chunk.data(), static_cast<std::size_t>(received));
  while (!connection.receive_buffer.empty() && handle_command(number, observer)) continue;
  return true;
}

void ScriptedEngine::end_connection(std::size_t number, AttemptObserver& observer) {
  connections[number].ended = true;
  for (ObservedAttempt& attempt : observer.attempts()) {
    if (attempt.engine == index && attempt.connection == number) attempt.is_in_flight = false;
  }
}

// Removes one command from the buffer and processes it. Returns false if the command is incomplete.
bool ScriptedEngine::handle_command(std::size_t number, AttemptObserver& observer) {
  Connection& connection = connections[number];
  if (!connection.command_started_at) connection.command_started_at = observer.now();
  const auto line_size = connection.receive_buffer.find(kLineEnd);
  const CommandLine command = parse_line(connection.receive_buffer.substr(0, line_size));
  const bool is_request = command.verb == "REQ";
  // An attempt is recorded as soon as its id has arrived; its start is the arrival of the command's first
  // byte.
  if (is_request && command.id.size() == kAttemptIdSize && connection.attempt == kNoAttempt) {
    connection.attempt = observer.attempts().size();
    observer.attempts().push_back(
        {command.id, index, number, *connection.command_started_at, false, {}, true, {}});
  }
  if (line_size == std::string::npos) return false;
  std::size_t consumed = line_size + kLineEnd.size();
  if (is_request) consumed += std::stoul(command.last_word) + kLineEnd.size();
  if (connection.receive_buffer.size() < consumed) return false;
  connection.receive_buffer.erase(0, consumed);
  connection.command_started_at.reset();
  const std::size_t attempt = std::exchange(connection.attempt, kNoAttempt);
  if (is_request) {
    observer.attempts()[attempt].fully_received = true;
    observer.on_full_request(attempt);
    return true;
  }
  if (command.verb == "STAT" || command.verb == "HELO") write(number, command.id + " well - 0\r\n\r\n");
  apply_attempt_command(number, command.verb, command.id, command.last_word, observer);
  return true;
}

void ScriptedEngine::apply_attempt_command(std::size_t number, const std::string& verb, const std::string& id,
                                           const std::string& last_word, AttemptObserver& observer) const {
  for (ObservedAttempt& attempt : observer.attempts()) {
    if (attempt.id != id || attempt.engine != index || attempt.connection != number) continue;
    if (verb == "STOP" || verb == "END") attempt.is_in_flight = false;
    if (verb == "FETCH") attempt.fetched_parts.insert(std::stoul(last_word));
  }
}

}  // namespace rookproxy::test
