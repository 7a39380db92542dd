// Encoding and decoding of the packets of the MySQL protocol and their values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace rookproxy::mysql {

constexpr std::size_t kHeaderSize = 4;
constexpr std::size_t kMaxPayloadSize = 0xffffff;  // of one packet; a larger payload is split

// Thrown if bytes from the peer are not a valid packet or value.
struct MalformedPacketError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads values from the front of a payload. Each function throws MalformedPacketError if the payload ends too
// soon. The bytes must outlive the reader and the views that it returns.
class PayloadReader {
 public:
  explicit PayloadReader(std::string_view bytes) : bytes_(bytes) {}

  // Reads a little-endian integer of `size` bytes.
  std::uint64_t integer(std::size_t size);
  std::uint64_t length_encoded_integer();
  std::string_view length_encoded_string() { return take(length_encoded_integer()); }
  std::string_view null_terminated_string();
  std::string_view take(std::uint64_t size);
  std::string_view take_remaining() { return std::exchange(bytes_, {}); }
  // Returns the number of bytes not yet read.
  [[nodiscard]] std::size_t remaining() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};

void append_integer(std::string& out, std::uint64_t value, std::size_t size);
void append_length_encoded_integer(std::string& out, std::uint64_t value);
void append_length_encoded_string(std::string& out, std::string_view text);

// Splits the payload into packets. The first one has the sequence number `sequence`, which is advanced past
// the last one.
[[nodiscard]] std::string split_into_packets(std::string_view payload, std::uint8_t& sequence);

// A message, assembled from its packets.
struct Message {
  std::string payload;
  std::uint8_t first_sequence = 0;
  std::uint8_t next_sequence = 0;
  std::size_t consumed = 0;  // bytes of the input, or 0 if the message is incomplete
  bool too_large = false;
  bool out_of_order = false;
};
// Parses the message at the start of `bytes`, whose payload may have at most `max_size` bytes.
[[nodiscard]] Message parse_message(std::string_view bytes, std::size_t max_size);

}  // namespace rookproxy::mysql
