/// Reading one line of the scenario language.
#pragma once

#include <chrono>
#include <sstream>
#include <string>
#include <vector>

namespace rookproxy::test {

/// Takes a line apart from left to right. Words are separated by spaces; a missing one is empty.
class StepReader {
 public:
  explicit StepReader(const std::string& line) : words_(line) {}

  std::string next_word();

  /// Throws std::invalid_argument if the next word is no number.
  int next_integer() { return std::stoi(next_word()); }
  std::chrono::milliseconds next_milliseconds() { return std::chrono::milliseconds(next_integer()); }

  std::vector<std::string> remaining_words();

  /// All that is left, with \t, \n and \r turned into the characters that they stand for.
  std::string remaining_text();

 private:
  std::istringstream words_;
};

/// The bytes that the hexadecimal digits stand for.
[[nodiscard]] std::string decode_hex(const std::string& digits);

}  // namespace rookproxy::test
