// Parses JSON from untrusted senders.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace rookproxy::auth {

constexpr int kMaxJsonDepth = 16;

// The document, or nothing if it is not JSON, nests deeper than `max_depth`, or holds a member twice in one
// object (RFC 8725, 2.4 and RFC 7519, 4).
[[nodiscard]] std::optional<nlohmann::json> parse_strict_json(std::string_view text,
                                                              int max_depth = kMaxJsonDepth);

}  // namespace rookproxy::auth
