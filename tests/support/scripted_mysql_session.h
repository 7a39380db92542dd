// One session of an engine whose part the test plays: it reads the commands and decides when to respond.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/file_descriptor.h"

namespace rookproxy::test {

// Runs the event loop while it waits, since the dispatcher's side is on the same thread. Functions that wait
// fail the test after kWaitLimit.
class ScriptedMysqlSession {
 public:
  // Waits for a connection and logs it in.
  ScriptedMysqlSession(EventLoop& loop, const FileDescriptor& listener);

  // Waits for a command and returns its payload, with the code as its first byte.
  [[nodiscard]] std::string read_command();
  // Returns whether a command has arrived.
  [[nodiscard]] bool has_command();
  // Sends the payload as the next packet of the response.
  void send_packet(std::string_view payload);
  void send_ok();
  void send_prepared(std::uint32_t statement_id);
  // Sends bytes as they are.
  void send_bytes(std::string_view bytes);
  // Sends a result of one column, and one row if it is found.
  void send_found(bool found);
  // The port of the dispatcher's side.
  [[nodiscard]] std::uint16_t client_port() const;
  // Waits until the dispatcher has closed the connection.
  [[nodiscard]] bool wait_for_end();

 private:
  std::string read_message();
  void receive();

  EventLoop& loop_;
  FileDescriptor socket_;
  std::string input_;
  bool ended_ = false;
  // The sequence number of the next packet.
  std::uint8_t sequence_ = 0;
};

}  // namespace rookproxy::test
