#include "support/request_frame.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace rookproxy::test {

std::string encode_request_frame(std::uint32_t stream_id, const frames::Fields& fields,
                                 std::string_view statement) {
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [key, value] : fields) {
    payload += static_cast<char>(key.size());
    payload += key;
    payload += static_cast<char>(value.size() >> 8);
    payload += static_cast<char>(value.size());
    payload += value;
  }
  payload += statement;
  return frames::encode_frame(frames::kRequest, stream_id, payload);
}

std::string format_call_id(std::uint64_t number) {
  std::array<char, 17> digits;
  std::snprintf(digits.data(), digits.size(), "%016" PRIx64, number);
  return digits.data();
}

}  // namespace rookproxy::test
