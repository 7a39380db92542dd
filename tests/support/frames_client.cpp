#include "support/frames_client.h"

#include <string_view>
#include <thread>
#include <utility>

namespace rookproxy::test {
namespace {

constexpr std::size_t kPieceCount = 10;

}  // namespace

void FramesClient::send_first_half(const std::string& frame) {
  unsent_half_ = frame.substr(frame.size() / 2);
  send(frame.substr(0, frame.size() / 2));
}

void FramesClient::send_second_half() { send(std::exchange(unsent_half_, "")); }

void FramesClient::send_in_pieces(const std::string& frame, std::chrono::milliseconds pause) {
  const std::size_t piece_size = (frame.size() + kPieceCount - 1) / kPieceCount;
  for (std::size_t offset = 0; offset < frame.size(); offset += piece_size) {
    send(frame.substr(offset, piece_size));
    std::this_thread::sleep_for(pause);
  }
}

std::optional<ReceivedFrame> FramesClient::next_frame() {
  frames::Frame frame;
  std::size_t size = 0;
  while (frames::parse_frame(connection_.buffer(), frame, size) != frames::ParseStatus::kComplete) {
    if (!connection_.read_more()) return std::nullopt;
  }
  // The payload is a view into the buffer and has to be copied before take() changes the buffer.
  ReceivedFrame received{frame.type, frame.stream_id, std::string(frame.payload), ""};
  received.bytes = connection_.take(size);
  return received;
}

bool FramesClient::take_frame_of_type(std::uint8_t type) {
  std::string others;
  for (auto frame = next_frame(); frame; frame = next_frame()) {
    if (frame->type == type) {
      connection_.buffer().insert(0, others);
      return true;
    }
    others += frame->bytes;
  }
  return false;
}

}  // namespace rookproxy::test
