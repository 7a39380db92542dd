// Parses JSON from untrusted senders.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace rookproxy::auth {

constexpr int kMaxJsonDepth = 16;

// Returns the document, or nothing if it is not JSON, is nested deeper than `max_depth`, or has an object
// with a duplicate member (RFC 8725, section 2.4, and RFC 7519, section 4).
[[nodiscard]] std::optional<nlohmann::json> parse_strict_json(std::string_view text,
                                                              int max_depth = kMaxJsonDepth);

}  // namespace rookproxy::auth
