/// A test client of the frame protocol.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "fakes/test_connection.h"
#include "frontend/frames_frontend.h"

namespace rookproxy::test {

/// A frame with its own copy of the bytes.
struct ReceivedFrame {
  std::uint8_t type;
  std::uint32_t stream_id;
  std::string payload;
  std::string bytes;  // the whole frame
};

/// Sends frames whole or in pieces, and reads them one by one. For one thread.
class FramesClient {
 public:
  explicit FramesClient(TestConnection connection) : connection_(std::move(connection)) {}

  TestConnection& connection() { return connection_; }

  void send(const std::string& bytes) { connection_.send(bytes); }
  void send_first_half(const std::string& frame);
  void send_second_half();

  /// Sends the frame in ten pieces, with this pause after each.
  void send_in_pieces(const std::string& frame, std::chrono::milliseconds pause);

  /// The next frame; nothing if none comes within kWaitLimit.
  std::optional<ReceivedFrame> next_frame();

  /// Takes the first frame of that type out of what comes and leaves the others to be read; false if none
  /// comes within kWaitLimit.
  [[nodiscard]] bool take_frame_of_type(std::uint8_t type);

 private:
  TestConnection connection_;
  std::string unsent_half_;
};

}  // namespace rookproxy::test
