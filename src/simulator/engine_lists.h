// The lists of engines that the instances of a session share.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::simulator {

// How many lists of engines the protocol numbers.
inline constexpr std::size_t kEngineListCount = 16;

// One engine of a list, with the names that each instance numbers for itself.
struct EngineRow {
  routing::EngineEntry entry;  // without its id, zone and machine type
  std::string zone;
  std::string machine_type;
};

// The lists by their numbers.
using EngineLists = std::array<std::vector<EngineRow>, kEngineListCount>;

// Reads the number of a list, which is an index of EngineLists. Throws FormatError for any other.
[[nodiscard]] std::size_t read_engine_list_number(std::string_view text);

}  // namespace rookproxy::simulator
