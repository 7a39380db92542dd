// Damaged input for parsers, which must survive anything: a good message cut off at each byte, and with
// random bytes changed.
#pragma once

#include <cstddef>
#include <random>
#include <string>

namespace rookproxy::test {

/// Calls `parse` with every prefix of `good` and with 20,000 copies of which up to four bytes were changed.
/// The damage is the same in every run.
template <class Parse>
void parse_damaged(const std::string& good, Parse parse) {
  std::mt19937 random(7);
  for (std::size_t size = 0; size < good.size(); ++size) parse(good.substr(0, size));
  for (int copy = 0; copy < 20'000; ++copy) {
    std::string damaged = good;
    for (unsigned changes = 1 + random() % 4; changes > 0; --changes) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    parse(damaged);
  }
}

}  // namespace rookproxy::test
