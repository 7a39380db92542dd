// Damaged input for parser tests: a valid message truncated at each byte, and with random bytes changed.
#pragma once

#include <cstddef>
#include <random>
#include <string>

namespace rookproxy::test {

// Calls `parse` with every proper prefix of `valid` and with 20,000 copies in which one to four bytes were
// overwritten. The random seed is fixed, so that every run uses the same inputs.
template <class Parse>
void parse_damaged(const std::string& valid, Parse parse) {
  std::mt19937 random(7);
  for (std::size_t size = 0; size < valid.size(); ++size) parse(valid.substr(0, size));
  for (int copy = 0; copy < 20'000; ++copy) {
    std::string damaged = valid;
    for (unsigned changes = 1 + random() % 4; changes > 0; --changes) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    parse(damaged);
  }
}

}  // namespace rookproxy::test
