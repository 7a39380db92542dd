/// An engine whose connections a test reads and answers byte by byte, within the test's own thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

/// How one side ends a connection, or a client one of its requests.
enum class CloseKind { kGraceful, kReset, kUnresponsive, kHalfClose, kCancelRequest };
[[nodiscard]] const char* close_kind_name(CloseKind kind);

/// Says that there is no such attempt.
inline constexpr std::size_t kNoAttempt = SIZE_MAX;

/// One attempt as its engine saw it.
struct ObservedAttempt {
  std::string id;
  std::size_t engine = 0;
  std::size_t connection = 0;
  Time started_at;  // when its first byte came
  bool fully_received = false;
  std::optional<Time> proven_not_run_at;  // when a whole answer went out that proves that it never ran
  bool is_in_flight = true;               // neither answered in whole, nor stopped, nor its connection ended
  std::set<std::size_t> fetched_parts;
};

/// What an engine tells its test.
class AttemptObserver {
 public:
  [[nodiscard]] virtual Time now() const = 0;
  /// All attempts that any engine has seen; engines add to them and change them.
  virtual std::deque<ObservedAttempt>& attempts() = 0;
  /// A request has come whole.
  virtual void on_full_request(std::size_t attempt) = 0;

 protected:
  ~AttemptObserver() = default;
};

/// Listens on 127.0.0.1 and speaks the line protocol; it does nothing but what it is told. For one thread.
class ScriptedEngine {
 public:
  /// A connection from the dispatcher.
  struct Connection {
    FileDescriptor fd;
    std::string receive_buffer;
    std::optional<Time> command_started_at;  // the first byte of the command that is not yet whole
    std::size_t attempt = kNoAttempt;        // which that command begins
    bool ended = false;
  };

  std::size_t index = 0;  // its number among the test's engines
  FileDescriptor listener = listen_tcp({0x7f000001, 0});
  std::uint16_t port = local_port(listener);
  std::deque<Connection> connections;
  bool accept_queue_full = false;
  bool is_reading = true;

  /// Accepts connections and reads commands that have come; false if there was nothing to do.
  bool process_input(AttemptObserver& observer);

  void write(std::size_t connection, std::string_view bytes);
  void close_connection(std::size_t connection, CloseKind kind);

  /// Lets no connection in any more: the kernel drops attempts to connect, as for a machine that is cut off.
  void fill_accept_queue();
  /// Reads again and lets connections in.
  void resume();

 private:
  bool accept_connections();
  bool read_connection(std::size_t number, AttemptObserver& observer);
  void end_connection(std::size_t number, AttemptObserver& observer);
  bool handle_command(std::size_t number, AttemptObserver& observer);
  void apply_attempt_command(std::size_t number, const std::string& verb, const std::string& id,
                             const std::string& last_word, AttemptObserver& observer) const;

  std::vector<FileDescriptor> queue_fillers_;
};

}  // namespace rookproxy::test
