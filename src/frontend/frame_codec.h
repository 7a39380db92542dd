// The platform's client protocol: binary frames over TCP. Encodes and parses them, without any I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace rookproxy::frames {

/// Types of frames, as they stand on the wire. Unscoped, since a frame that was received may hold any number.
enum FrameType : std::uint8_t {
  kRequest = 2,
  kResponse = 4,
  kCancel = 8,
  kReadinessQuery = 16,
  kReadiness = 32,
  kGoAway = 64
};
/// The first byte of a response, as it stands on the wire.
enum ResponseCode : std::uint8_t { kServed = 0, kRejected = 1, kFailed = 2 };

/// Bytes of a frame's length, type and stream id together.
constexpr std::size_t kHeaderSize = 9;
/// Bounds of the length that a frame announces, which counts all that follows the length itself.
constexpr std::size_t kMinFrameLength = 5;
constexpr std::size_t kMaxFrameLength = 262'144;
/// A longer frame is still skipped, so that its stream can be given a response, up to this length.
constexpr std::size_t kMaxSkippedLength = 1u << 20;

/// One whole frame; the payload is a view of the bytes it was parsed from.
struct Frame {
  std::uint8_t type = 0;
  std::uint32_t stream_id = 0;
  std::string_view payload;
};

/// What the header of a frame says before the whole frame has arrived.
struct FrameHeader {
  std::uint8_t type = 0;
  std::uint32_t stream_id = 0;
  std::size_t frame_size = 0;  // bytes, with the header
};
/// Parses the header at the front of `bytes`, which hold at least kHeaderSize bytes.
[[nodiscard]] FrameHeader parse_frame_header(std::string_view bytes);

/// What stands at the front of the bytes received; after kMalformed no further frame can be found.
enum class ParseStatus { kIncomplete, kComplete, kOversized, kMalformed };
/// Parses one frame off the front of `bytes`; `used` is its size in bytes. Of an oversized frame `used` and
/// the header's fields are set; otherwise both are set only if the frame is complete.
ParseStatus parse_frame(std::string_view bytes, Frame& frame, std::size_t& used);

/// Named fields in front of the body of a request or a response.
using Fields = std::map<std::string, std::string, std::less<>>;
/// Parses the fields and leaves the body in `payload`; false if they are cut off or a name comes twice.
bool parse_fields(std::string_view& payload, Fields& fields);

/// Encodes a frame of any type.
std::string encode_frame(std::uint8_t type, std::uint32_t stream_id, std::string_view payload);
/// Encodes the response on a stream; 0 is the connection itself.
std::string encode_response(std::uint32_t stream_id, ResponseCode code, const Fields& fields,
                            std::string_view body);
/// The field that tells a client when to come back, in milliseconds, rounded up.
Fields::value_type retry_after_field(Duration pause);

}  // namespace rookproxy::frames
