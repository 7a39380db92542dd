// The one reader of a deployment's settings: the platform's JSON, operators' TOML and the simulator's first
// message all come to it as pairs of a path and a text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::settings {

// Reads the router's settings from pairs like `grades.0.name=lookup`. Settings that are missing get their
// defaults and unknown ones are skipped; malformed ones throw FormatError with their path. Keeps no view into
// `pairs`.
[[nodiscard]] routing::Settings parse_settings(std::uint64_t seed,
                                               const std::vector<std::string_view>& pairs);

// The place of a name in a list of names, if it is there.
template <class Names>
[[nodiscard]] std::optional<std::uint32_t> index_of(const Names& names, std::string_view name) {
  for (std::size_t index = 0; index < names.size(); ++index) {
    if (names[index] == name) return static_cast<std::uint32_t>(index);
  }
  return std::nullopt;
}

}  // namespace rookproxy::settings
