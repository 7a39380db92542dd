// Stable hashes, identical in every process: instances rely on them to agree without communicating.
#pragma once

#include <cstdint>
#include <string_view>

namespace rookproxy::routing {

// Mixes all bits of `value` (splitmix64).
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Maps a hash to a number in [0, 1).
[[nodiscard]] constexpr double unit_interval(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1p-53;
}

// Returns a hash of `text` (FNV-1a, then mix()).
[[nodiscard]] constexpr std::uint64_t hash_text(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  return mix(hash);
}

}  // namespace rookproxy::routing
