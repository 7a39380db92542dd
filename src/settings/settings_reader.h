// Reads the settings of a deployment. The platform's JSON, the operator's TOML and the simulator's first
// message are all converted to pairs of a path and a text before.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::settings {

// Reads the router's settings from pairs like `grades.0.name=lookup`. Missing settings get their defaults and
// unknown ones are ignored; a malformed one throws FormatError with its path. The result does not refer to
// `pairs`.
[[nodiscard]] routing::Settings parse_settings(std::uint64_t seed,
                                               const std::vector<std::string_view>& pairs);

// The index of a name in a list of names, if it is in there.
template <class Names>
[[nodiscard]] std::optional<std::uint32_t> index_of(const Names& names, std::string_view name) {
  for (std::size_t index = 0; index < names.size(); ++index) {
    if (names[index] == name) return static_cast<std::uint32_t>(index);
  }
  return std::nullopt;
}

}  // namespace rookproxy::settings
