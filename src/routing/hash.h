// Stable hashes, the same in every process: what gateways agree on without a word rests on them.
#pragma once

#include <cstdint>
#include <string>

namespace rookproxy::routing {

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
inline double unit(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1p-53; }  // 0 to 1

inline std::uint64_t hash_text(const std::string& text) {  // FNV-1a
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const unsigned char c : text) hash = (hash ^ c) * 0x100000001b3ULL;
  return mix(hash);
}

}  // namespace rookproxy::routing
