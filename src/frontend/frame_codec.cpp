#include "frontend/frame_codec.h"

#include <chrono>
#include <optional>

namespace rookproxy::frames {
namespace {

// Sizes and offsets are in bytes.
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kTypeOffset = 4;
constexpr std::size_t kStreamIdOffset = 5;
constexpr std::size_t kStreamIdSize = 4;
// Sizes of the length prefixes of a field's name and value.
constexpr std::size_t kNameLengthSize = 1;
constexpr std::size_t kValueLengthSize = 2;

std::uint32_t read_big_endian(std::string_view bytes, std::size_t offset, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t index = 0; index < size; ++index) {
    value = value << 8 | static_cast<unsigned char>(bytes[offset + index]);
  }
  return value;
}

void append_big_endian(std::string& out, std::size_t value, std::size_t size) {
  for (std::size_t remaining = size; remaining > 0; --remaining) {
    out += static_cast<char>(value >> (8 * (remaining - 1)));
  }
}

// Reads a length-prefixed string and removes it from `bytes`; empty if it is truncated.
std::optional<std::string_view> take_string(std::string_view& bytes, std::size_t length_size) {
  if (bytes.size() < length_size) return std::nullopt;
  const std::size_t size = read_big_endian(bytes, 0, length_size);
  bytes.remove_prefix(length_size);
  if (bytes.size() < size) return std::nullopt;
  const std::string_view text = bytes.substr(0, size);
  bytes.remove_prefix(size);
  return text;
}

}  // namespace

FrameHeader parse_frame_header(std::string_view bytes) {
  FrameHeader header;
  header.type = static_cast<std::uint8_t>(bytes[kTypeOffset]);
  header.stream_id = read_big_endian(bytes, kStreamIdOffset, kStreamIdSize);
  header.frame_size = kLengthSize + read_big_endian(bytes, 0, kLengthSize);
  return header;
}

ParseStatus parse_frame(std::string_view bytes, Frame& frame, std::size_t& consumed) {
  if (bytes.size() < kLengthSize) return ParseStatus::kIncomplete;
  const std::size_t length = read_big_endian(bytes, 0, kLengthSize);
  if (length < kMinFrameLength || length > kMaxSkippedLength) return ParseStatus::kMalformed;
  if (bytes.size() < kHeaderSize) return ParseStatus::kIncomplete;
  const FrameHeader header = parse_frame_header(bytes);
  frame.type = header.type;
  frame.stream_id = header.stream_id;
  consumed = header.frame_size;
  if (length > kMaxFrameLength) return ParseStatus::kOversized;
  if (bytes.size() < consumed) return ParseStatus::kIncomplete;
  frame.payload = bytes.substr(kHeaderSize, length - kMinFrameLength);
  return ParseStatus::kComplete;
}

bool parse_fields(std::string_view& payload, Fields& fields) {
  if (payload.empty()) return false;
  const int count = static_cast<unsigned char>(payload[0]);
  payload.remove_prefix(1);
  for (int index = 0; index < count; ++index) {
    const auto name = take_string(payload, kNameLengthSize);
    const auto value = name ? take_string(payload, kValueLengthSize) : std::nullopt;
    if (!value || !fields.emplace(std::string(*name), std::string(*value)).second) return false;
  }
  return true;
}

std::string encode_frame(std::uint8_t type, std::uint32_t stream_id, std::string_view payload) {
  std::string frame;
  frame.reserve(kHeaderSize + payload.size());
  append_big_endian(frame, payload.size() + kMinFrameLength, kLengthSize);
  frame += static_cast<char>(type);
  append_big_endian(frame, stream_id, kStreamIdSize);
  frame += payload;
  return frame;
}

std::string encode_response(std::uint32_t stream_id, ResponseCode code, const Fields& fields,
                            std::string_view body) {
  std::string payload;
  payload += static_cast<char>(code);
  payload += static_cast<char>(fields.size());
  for (const auto& [name, value] : fields) {
    append_big_endian(payload, name.size(), kNameLengthSize);
    payload += name;
    append_big_endian(payload, value.size(), kValueLengthSize);
    payload += value;
  }
  payload += body;
  return encode_frame(kResponse, stream_id, payload);
}

Fields::value_type retry_after_field(Duration pause) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(pause);
  return {"pushback", std::to_string(milliseconds.count())};
}

}  // namespace rookproxy::frames
