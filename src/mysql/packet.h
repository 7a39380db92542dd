// Packets of the MySQL protocol and the values in them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace rookproxy::mysql {

constexpr std::size_t kHeaderSize = 4;
constexpr std::size_t kMaxPayloadSize = 0xffffff;  // of one packet; larger payloads take several

// Bytes from the peer are not a valid packet or value.
struct MalformedPacketError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads values from the front of a payload. Each function throws MalformedPacketError if the payload ends too
// soon. The bytes must outlive the reader and the views that it returns.
class PayloadReader {
 public:
  explicit PayloadReader(std::string_view bytes) : bytes_(bytes) {}

  // A little-endian number of `size` bytes.
  std::uint64_t integer(std::size_t size);
  std::uint64_t length_encoded_integer();
  std::string_view length_encoded_string() { return take(length_encoded_integer()); }
  std::string_view null_terminated_string();
  std::string_view take(std::uint64_t size);
  std::string_view take_remaining() { return std::exchange(bytes_, {}); }
  // How many bytes are left.
  [[nodiscard]] std::size_t remaining() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};

void append_integer(std::string& out, std::uint64_t value, std::size_t size);
void append_length_encoded_integer(std::string& out, std::uint64_t value);
void append_length_encoded_string(std::string& out, std::string_view text);

// The payload in packets. The first one gets the number `sequence`, which is moved on behind the last one.
[[nodiscard]] std::string split_into_packets(std::string_view payload, std::uint8_t& sequence);

// One message, joined from its packets.
struct Message {
  std::string payload;
  std::uint8_t first_sequence = 0;
  std::uint8_t next_sequence = 0;
  std::size_t consumed = 0;  // bytes of the input; 0: the message is not complete yet
  bool too_large = false;
  bool out_of_order = false;
};
// The message at the front of `bytes`, whose payload may have at most `max_size` bytes.
[[nodiscard]] Message parse_message(std::string_view bytes, std::size_t max_size);

}  // namespace rookproxy::mysql
