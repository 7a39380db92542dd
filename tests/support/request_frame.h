/// Requests in the platform's frame protocol, as its clients write them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "frontend/frames_frontend.h"

namespace rookproxy::test {

/// A whole request frame on that stream.
[[nodiscard]] std::string encode_request_frame(std::uint32_t stream_id, const frames::Fields& fields,
                                               std::string_view statement);

/// A call's id on the wire: 16 hexadecimal digits.
[[nodiscard]] std::string format_call_id(std::uint64_t number);

}  // namespace rookproxy::test
