// The case of ASCII letters, whatever the locale.
#pragma once

#include <string>
#include <string_view>

namespace rookproxy {

// The lower-case letter of an upper-case one; any other character unchanged.
[[nodiscard]] constexpr char ascii_to_lower(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A')) : character;
}

// The upper-case letter of a lower-case one; any other character unchanged.
[[nodiscard]] constexpr char ascii_to_upper(char character) {
  return character >= 'a' && character <= 'z' ? static_cast<char>(character - ('a' - 'A')) : character;
}

// A copy with its letters in lower case.
[[nodiscard]] inline std::string to_ascii_lowercase(std::string_view text) {
  std::string lower(text);
  for (char& character : lower) character = ascii_to_lower(character);
  return lower;
}

}  // namespace rookproxy
