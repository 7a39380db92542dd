// An engine whose connections are read and written by the test, byte by byte, in the test's own thread.
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

// The way in which one side closes a connection, or a client cancels one of its requests.
enum class CloseKind { kGraceful, kReset, kUnresponsive, kHalfClose, kCancelRequest };
[[nodiscard]] const char* close_kind_name(CloseKind kind);

// An index that stands for no attempt.
inline constexpr std::size_t kNoAttempt = SIZE_MAX;

// One attempt as observed by its engine.
struct ObservedAttempt {
  std::string id;
  std::size_t engine = 0;
  std::size_t connection = 0;
  Time started_at;  // The arrival of its first byte.
  bool fully_received = false;
  // The time of a complete response that proves that the attempt was not run.
  std::optional<Time> proven_not_run_at;
  // False once the attempt is answered completely or stopped, or its connection has ended.
  bool is_in_flight = true;
  std::set<std::size_t> fetched_parts;
};

// Receives the events of scripted engines.
class AttemptObserver {
 public:
  [[nodiscard]] virtual Time now() const = 0;
  // The attempts observed by all engines. Engines append to the list and update its entries.
  virtual std::deque<ObservedAttempt>& attempts() = 0;
  // Called when a request was received completely.
  virtual void on_full_request(std::size_t attempt) = 0;

 protected:
  ~AttemptObserver() = default;
};

// An engine that listens on 127.0.0.1 and speaks the line protocol. Apart from health and greeting commands
// (STAT, HELO) it answers only when the test calls write(). Not thread-safe.
class ScriptedEngine {
 public:
  // One connection from the dispatcher.
  struct Connection {
    FileDescriptor fd;
    std::string receive_buffer;
    std::optional<Time> command_started_at;  // The arrival of the incomplete command's first byte.
    std::size_t attempt = kNoAttempt;        // The attempt that the incomplete command starts.
    bool ended = false;
  };

  std::size_t index = 0;  // The engine's index in the test.
  FileDescriptor listener = listen_tcp({0x7f000001, 0});
  std::uint16_t port = local_port(listener);
  std::deque<Connection> connections;
  bool accept_queue_full = false;
  bool is_reading = true;

  // Accepts pending connections and reads commands. Returns false if there was nothing to do.
  bool process_input(AttemptObserver& observer);

  void write(std::size_t connection, std::string_view bytes);
  void close_connection(std::size_t connection, CloseKind kind);

  // Fills the accept queue, so that the kernel drops further connection attempts, as for an unreachable host.
  void fill_accept_queue();
  // Resumes reading and accepting connections.
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
