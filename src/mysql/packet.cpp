#include "mysql/packet.h"

#include <vector>

namespace rookproxy::mysql {
namespace {

// Values of the first byte of a length-encoded integer. Up to kMaxOneByteLength it is the integer itself.
constexpr std::uint8_t kMaxOneByteLength = 0xfa;
constexpr std::uint8_t kTwoByteLength = 0xfc;
constexpr std::uint8_t kThreeByteLength = 0xfd;
constexpr std::uint8_t kEightByteLength = 0xfe;

}  // namespace

std::uint64_t PayloadReader::integer(std::size_t size) {
  const auto bytes = take(size);
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < size; ++index) {
    value |= std::uint64_t{static_cast<unsigned char>(bytes[index])} << (8 * index);
  }
  return value;
}

std::uint64_t PayloadReader::length_encoded_integer() {
  const std::uint64_t first = integer(1);
  if (first <= kMaxOneByteLength) return first;
  if (first == kTwoByteLength) return integer(2);
  if (first == kThreeByteLength) return integer(3);
  if (first == kEightByteLength) return integer(8);
  throw MalformedPacketError("not a length");
}

std::string_view PayloadReader::null_terminated_string() {
  const auto end = bytes_.find('\0');
  if (end == bytes_.npos) throw MalformedPacketError("a text without its end");
  const auto text = bytes_.substr(0, end);
  bytes_.remove_prefix(end + 1);
  return text;
}

std::string_view PayloadReader::take(std::uint64_t size) {
  if (size > bytes_.size()) throw MalformedPacketError("a packet that ends too soon");
  const auto taken = bytes_.substr(0, size);
  bytes_.remove_prefix(size);
  return taken;
}

void append_integer(std::string& out, std::uint64_t value, std::size_t size) {
  for (std::size_t index = 0; index < size; ++index) out += static_cast<char>(value >> (8 * index));
}

void append_length_encoded_integer(std::string& out, std::uint64_t value) {
  if (value <= kMaxOneByteLength) {
    append_integer(out, value, 1);
  } else if (value <= 0xffff) {
    append_integer(out, kTwoByteLength, 1);
    append_integer(out, value, 2);
  } else if (value <= 0xffffff) {
    append_integer(out, kThreeByteLength, 1);
    append_integer(out, value, 3);
  } else {
    append_integer(out, kEightByteLength, 1);
    append_integer(out, value, 8);
  }
}

void append_length_encoded_string(std::string& out, std::string_view text) {
  append_length_encoded_integer(out, text.size());
  out += text;
}

std::string split_into_packets(std::string_view payload, std::uint8_t& sequence) {
  std::string packets;
  for (;;) {
    const auto part = payload.substr(0, kMaxPayloadSize);
    append_integer(packets, part.size(), 3);
    packets += static_cast<char>(sequence++);
    packets += part;
    payload.remove_prefix(part.size());
    // A payload that fills its last packet is terminated by an empty packet.
    if (part.size() < kMaxPayloadSize) return packets;
  }
}

Message parse_message(std::string_view bytes, std::size_t max_size) {
  Message message;
  std::size_t position = 0;
  std::size_t total_size = 0;
  // Assembled only when complete, because a large message arrives in many pieces.
  std::vector<std::string_view> parts;
  for (bool is_first = true;; is_first = false) {
    if (bytes.size() - position < kHeaderSize) return message;
    PayloadReader header(bytes.substr(position, kHeaderSize));
    const std::size_t size = header.integer(3);
    const auto sequence = static_cast<std::uint8_t>(header.integer(1));
    if (is_first) message.first_sequence = sequence;
    if (!is_first && sequence != message.next_sequence) message.out_of_order = true;
    message.next_sequence = static_cast<std::uint8_t>(sequence + 1);
    total_size += size;
    if (total_size > max_size) message.too_large = true;
    if (message.too_large || message.out_of_order) {
      message.consumed = bytes.size();
      return message;
    }
    if (bytes.size() - position - kHeaderSize < size) return message;
    parts.push_back(bytes.substr(position + kHeaderSize, size));
    position += kHeaderSize + size;
    if (size < kMaxPayloadSize) break;
  }
  message.payload.reserve(total_size);
  for (const auto part : parts) message.payload += part;
  message.consumed = position;
  return message;
}

}  // namespace rookproxy::mysql
