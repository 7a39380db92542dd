// A parser for one line of the scenario language.
#pragma once

#include <chrono>
#include <sstream>
#include <string>
#include <vector>

namespace rookproxy::test {

// Reads the words of a line from left to right. Words are separated by white space. A missing word is read as
// an empty string.
class StepReader {
 public:
  explicit StepReader(const std::string& line) : words_(line) {}

  std::string next_word();

  // Throws std::invalid_argument if the next word is not a number.
  int next_integer() { return std::stoi(next_word()); }
  std::chrono::milliseconds next_milliseconds() { return std::chrono::milliseconds(next_integer()); }

  std::vector<std::string> remaining_words();

  // Returns the rest of the line, with the escape sequences \t, \n and \r replaced by their characters.
  std::string remaining_text();

 private:
  std::istringstream words_;
};

// Decodes pairs of hexadecimal digits into bytes.
[[nodiscard]] std::string decode_hex(const std::string& digits);

}  // namespace rookproxy::test
