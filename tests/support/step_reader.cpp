#include "support/step_reader.h"

namespace rookproxy::test {
namespace {

char unescape_character(char character) {
  switch (character) {
    case 't':
      return '\t';
    case 'n':
      return '\n';
    case 'r':
      return '\r';
    default:
      return character;
  }
}

std::string unescape_text(const std::string& text) {
  std::string unescaped;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_escape = text[i] == '\\' && i + 1 < text.size();
    unescaped += is_escape ? unescape_character(text[++i]) : text[i];
  }
  return unescaped;
}

}  // namespace

std::string StepReader::next_word() {
  std::string word;
  words_ >> word;
  return word;
}

std::vector<std::string> StepReader::remaining_words() {
  std::vector<std::string> words;
  for (std::string word = next_word(); !word.empty(); word = next_word()) words.push_back(word);
  return words;
}

std::string StepReader::remaining_text() {
  std::string text;
  std::getline(words_ >> std::ws, text);
  return unescape_text(text);
}

std::string decode_hex(const std::string& digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

}  // namespace rookproxy::test
