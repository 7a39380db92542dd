#include "auth/base64url.h"

#include <array>
#include <cstdint>

namespace rookproxy::auth {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

constexpr std::array<std::int8_t, 256> make_decoding_table() {
  std::array<std::int8_t, 256> table{};
  for (auto& one : table) one = -1;
  for (std::size_t i = 0; i < kAlphabet.size(); ++i)
    table[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::int8_t>(i);
  return table;
}
constexpr auto kDecodingTable = make_decoding_table();

}  // namespace

std::string encode_base64url(std::string_view bytes) {
  std::string out;
  out.reserve((bytes.size() * 4 + 2) / 3);
  std::uint32_t bits = 0;
  int held = 0;
  for (const char c : bytes) {
    bits = bits << 8 | static_cast<unsigned char>(c);
    for (held += 8; held >= 6; held -= 6) out += kAlphabet[bits >> (held - 6) & 63];
  }
  if (held > 0) out += kAlphabet[bits << (6 - held) & 63];
  return out;
}

std::optional<std::string> decode_base64url(std::string_view text) {
  if (text.size() % 4 == 1) return std::nullopt;
  std::string out;
  out.reserve(text.size() * 3 / 4);
  std::uint32_t bits = 0;
  int held = 0;
  for (const char c : text) {
    const int value = kDecodingTable[static_cast<unsigned char>(c)];
    if (value < 0) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if ((held += 6) >= 8) {
      held -= 8;
      out += static_cast<char>(bits >> held & 255);
    }
  }
  if ((bits & ((1u << held) - 1)) != 0) return std::nullopt;
  return out;
}

}  // namespace rookproxy::auth
