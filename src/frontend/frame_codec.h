// Encodes and parses the binary frames of the client protocol, without any I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace rookproxy::frames {

// Frame types with their values on the wire. Unscoped, because a received frame may contain any number.
enum FrameType : std::uint8_t {
  kRequest = 2,
  kResponse = 4,
  kCancel = 8,
  kReadinessQuery = 16,
  kReadiness = 32,
  kGoAway = 64
};
// The first byte of a response, with its values on the wire.
enum ResponseCode : std::uint8_t { kServed = 0, kRejected = 1, kFailed = 2 };

// The size of a frame's length, type and stream id together, in bytes.
constexpr std::size_t kHeaderSize = 9;
// Limits of a frame's length field, in bytes. The length does not include the length field itself.
constexpr std::size_t kMinFrameLength = 5;
constexpr std::size_t kMaxFrameLength = 262'144;
// A frame that is longer than kMaxFrameLength, up to this length, is skipped and its stream receives a
// response.
constexpr std::size_t kMaxSkippedLength = 1u << 20;

// A complete frame. The payload is a view of the bytes that it was parsed from.
struct Frame {
  std::uint8_t type = 0;
  std::uint32_t stream_id = 0;
  std::string_view payload;
};

// The header of a frame, which can be parsed before the frame is complete.
struct FrameHeader {
  std::uint8_t type = 0;
  std::uint32_t stream_id = 0;
  // The size of the frame in bytes, including the header.
  std::size_t frame_size = 0;
};
// Parses the header at the front of `bytes`, which must contain at least kHeaderSize bytes.
[[nodiscard]] FrameHeader parse_frame_header(std::string_view bytes);

// The state of the frame at the front of the received bytes. After kMalformed no further frame can be parsed.
enum class ParseStatus { kIncomplete, kComplete, kOversized, kMalformed };
// Parses one frame at the front of `bytes`; `consumed` is its size in bytes. For an oversized frame only
// `consumed` and the header's fields are valid; otherwise the output parameters are valid only for a complete
// frame.
ParseStatus parse_frame(std::string_view bytes, Frame& frame, std::size_t& consumed);

// The named fields that precede the body of a request or a response.
using Fields = std::map<std::string, std::string, std::less<>>;
// Parses the fields and leaves the body in `payload`. Returns false if they are truncated or a name is
// repeated.
bool parse_fields(std::string_view& payload, Fields& fields);

// Encodes a frame of any type.
std::string encode_frame(std::uint8_t type, std::uint32_t stream_id, std::string_view payload);
// Encodes a response on a stream. Stream 0 is the connection itself.
std::string encode_response(std::uint32_t stream_id, ResponseCode code, const Fields& fields,
                            std::string_view body);
// Returns the field that tells a client after how many milliseconds to retry, rounded up.
Fields::value_type retry_after_field(Duration pause);

}  // namespace rookproxy::frames
