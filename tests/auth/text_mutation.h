// Random edits of texts and bytes, by a seed that the environment may set.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <random>
#include <string>

namespace rookproxy::test {

// How many mutations of each kind are tried (of key sets and files a part of it): ROOKPROXY_MUTATIONS.
inline int mutation_count() {
  const char* text = std::getenv("ROOKPROXY_MUTATIONS");
  return text ? std::atoi(text) : 3000;
}

// The seed of all runs: ROOKPROXY_SEED.
inline std::uint64_t seed() {
  const char* text = std::getenv("ROOKPROXY_SEED");
  return text ? std::strtoull(text, nullptr, 10) : 20261201;
}

// A seeded source of numbers, characters and choices.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  // A number from 0 to limit - 1.
  std::size_t below(std::size_t limit) { return static_cast<std::size_t>(engine_() % limit); }
  template <class List>
  const auto& one_of(const List& list) {
    return list[below(std::size(list))];
  }
  char byte() { return static_cast<char>(engine_()); }

 private:
  std::mt19937_64 engine_;
};

// Inserts, erases, replaces, flips a bit or repeats, somewhere in the text.
inline void edit_once(std::string& text, Random& random, bool printable) {
  static const std::string kCharacters = "ABCXYZabcxyz0189-_=.+/ \n";
  const std::size_t at = random.below(text.size() + 1);
  const char character = printable ? random.one_of(kCharacters) : random.byte();
  switch (random.below(5)) {
    case 0:
      text.insert(at, 1, character);
      break;
    case 1:
      if (at < text.size()) text.erase(at, 1 + random.below(3));
      break;
    case 2:
      if (at < text.size()) text[at] = character;
      break;
    case 3:
      if (at < text.size()) {
        text[at] = static_cast<char>(text[at] ^ (1 << random.below(printable ? 7 : 8)));
      }
      break;
    default:
      if (at < text.size()) text += text.substr(at, random.below(20));
  }
}

// The text after a few random edits; never the text itself.
inline std::string mutate(const std::string& text, Random& random, bool printable) {
  std::string mutated = text;
  while (mutated == text) {
    for (std::size_t edits = 1 + random.below(3); edits > 0; --edits) edit_once(mutated, random, printable);
  }
  return mutated;
}

}  // namespace rookproxy::test
