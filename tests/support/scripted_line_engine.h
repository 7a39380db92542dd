// An engine of the line protocol whose responses are written by a scenario.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// Reads commands from all its connections and sends what the scenario tells it to. Not thread-safe.
class ScriptedLineEngine {
 public:
  [[nodiscard]] std::uint16_t port() const { return port_; }

  // Returns the number of requests that were read.
  [[nodiscard]] int request_count() const { return request_count_; }

  // Waits for a command on any connection. Returns its line, with a request's body after a line feed, or
  // nothing if none arrives in time.
  std::optional<std::string> next_command(std::chrono::milliseconds within);

  // Reads and discards commands until none has arrived for `quiet_time`.
  void discard_commands(std::chrono::milliseconds quiet_time);

  // Formats a response to the last request that was read.
  [[nodiscard]] std::string format_response(const std::string& kind, const std::string& fields,
                                            const std::string& body) const;

  // These functions send on the connection of the last command.
  void send(const std::string& bytes);
  void send_first_half(const std::string& bytes);
  void send_second_half();

  // Returns true if there are no connections or the connection of the last command is still open.
  [[nodiscard]] bool is_last_connection_open() const;
  [[nodiscard]] bool wait_for_end_of_last_connection();

  // Fills the accept queue, so that the kernel drops further connection attempts, as for an unreachable host.
  void fill_accept_queue();
  void drain_accept_queue();

  // Refuses connections from now on and keeps the port bound.
  void close_listener();
  void close_connections() { connections_.clear(); }

 private:
  std::optional<std::string> take_command(std::size_t index);

  FileDescriptor listener_ = listen_on_free_port();
  std::uint16_t port_ = local_port(listener_);
  std::vector<TestConnection> connections_;
  std::size_t last_connection_ = 0;
  std::string last_request_id_;
  int request_count_ = 0;
  std::string unsent_half_;
  std::vector<FileDescriptor> queue_fillers_;
  FileDescriptor port_holder_;
};

}  // namespace rookproxy::test
