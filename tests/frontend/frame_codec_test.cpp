// Tests of the frame codec: complete, truncated and corrupted frames and fields.
#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "frontend/frame_codec.h"
#include "support/damaged_input.h"

namespace rookproxy {
namespace {

std::string encode_fields(std::initializer_list<std::pair<std::string, std::string>> fields) {
  std::string out(1, static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    out += static_cast<char>(name.size()) + name + '\0';
    out += static_cast<char>(value.size()) + value;
  }
  return out;
}

TEST_CASE("frames: a frame is parsed only when it is complete") {
  const std::string encoded = frames::encode_frame(frames::kRequest, 0x01020304, "payload");
  frames::Frame frame;
  std::size_t consumed = 0;
  for (std::size_t cut = 0; cut < encoded.size(); ++cut) {
    CHECK(frames::parse_frame(encoded.substr(0, cut), frame, consumed) == frames::ParseStatus::kIncomplete);
  }
  const std::string two = encoded + "next";
  REQUIRE(frames::parse_frame(two, frame, consumed) == frames::ParseStatus::kComplete);
  CHECK(consumed == encoded.size());
  CHECK(frame.stream_id == 0x01020304);
  CHECK(frame.payload == "payload");
}

TEST_CASE("frames: a frame whose length is out of bounds is malformed or oversized") {
  frames::Frame frame;
  std::size_t consumed = 0;
  const auto parse = [&](std::string_view bytes) { return frames::parse_frame(bytes, frame, consumed); };
  using namespace std::string_view_literals;
  CHECK(parse("\0\0\0\4\2\0\0\0\1"sv) == frames::ParseStatus::kMalformed);
  CHECK(parse("\xff\xff\xff\xff\2\0\0\0\1"sv) == frames::ParseStatus::kMalformed);
  // The length 262,144 is the longest allowed.
  CHECK(parse("\0\4\0\0\2\0\0\0\1"sv) == frames::ParseStatus::kIncomplete);
  CHECK(parse("\0\4\0\1\2\0\0\0\1"sv) == frames::ParseStatus::kOversized);
}

TEST_CASE("frames: fields that are truncated or repeated are rejected") {
  const std::string valid = encode_fields({{"op", "lookup"}, {"ttl", "1500"}});
  for (std::size_t cut = 0; cut <= valid.size(); ++cut) {
    frames::Fields fields;
    std::string_view payload = std::string_view(valid).substr(0, cut);
    CHECK(frames::parse_fields(payload, fields) == (cut == valid.size()));
  }
  frames::Fields fields;
  std::string repeated = encode_fields({{"op", "a"}, {"op", "b"}});
  std::string_view payload = repeated;
  CHECK_FALSE(frames::parse_fields(payload, fields));
  test::parse_damaged(valid + "body", [](const std::string& bytes) {
    frames::Fields corrupted_fields;
    std::string_view view = bytes;
    frames::parse_fields(view, corrupted_fields);
  });
}

}  // namespace
}  // namespace rookproxy
