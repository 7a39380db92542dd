// Encodes requests of the frame protocol, as clients send them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "frontend/frames_frontend.h"

namespace rookproxy::test {

// Returns a complete request frame for that stream.
[[nodiscard]] std::string encode_request_frame(std::uint32_t stream_id, const frames::Fields& fields,
                                               std::string_view statement);

// Returns a call id as on the wire: 16 hexadecimal digits.
[[nodiscard]] std::string format_call_id(std::uint64_t number);

}  // namespace rookproxy::test
