// A test client of the frame protocol.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "fakes/test_connection.h"
#include "frontend/frames_frontend.h"

namespace rookproxy::test {

// A received frame, which owns its bytes.
struct ReceivedFrame {
  std::uint8_t type;
  std::uint32_t stream_id;
  std::string payload;
  std::string bytes;  // The whole frame, header included.
};

// Sends frames whole or in pieces, and reads frames one by one. Not thread-safe.
class FramesClient {
 public:
  explicit FramesClient(TestConnection connection) : connection_(std::move(connection)) {}

  TestConnection& connection() { return connection_; }

  void send(const std::string& bytes) { connection_.send(bytes); }
  void send_first_half(const std::string& frame);
  void send_second_half();

  // Sends the frame in ten pieces and sleeps for `pause` after each.
  void send_in_pieces(const std::string& frame, std::chrono::milliseconds pause);

  // Returns the next frame, or nothing if none arrives within kWaitLimit.
  std::optional<ReceivedFrame> next_frame();

  // Removes the first frame of that type and keeps the frames before it for next_frame(). Returns false if
  // none arrives within kWaitLimit.
  [[nodiscard]] bool take_frame_of_type(std::uint8_t type);

 private:
  TestConnection connection_;
  std::string unsent_half_;
};

}  // namespace rookproxy::test
