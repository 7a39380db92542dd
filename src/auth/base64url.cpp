#include "auth/base64url.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rookproxy::auth {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kBitsPerByte = 8;
constexpr int kBitsPerDigit = 6;
constexpr std::uint32_t kDigitMask = (1U << kBitsPerDigit) - 1;
constexpr std::uint32_t kByteMask = (1U << kBitsPerByte) - 1;
constexpr std::int8_t kNotADigit = -1;

constexpr std::array<std::int8_t, 256> make_decoding_table() {
  std::array<std::int8_t, 256> table{};
  for (auto& value : table) value = kNotADigit;
  for (std::size_t value = 0; value < kAlphabet.size(); ++value) {
    table[static_cast<unsigned char>(kAlphabet[value])] = static_cast<std::int8_t>(value);
  }
  return table;
}
constexpr auto kDecodingTable = make_decoding_table();

}  // namespace

std::string encode_base64url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  std::uint32_t bits = 0;
  int pending_bits = 0;
  for (const char byte : bytes) {
    bits = bits << kBitsPerByte | static_cast<unsigned char>(byte);
    pending_bits += kBitsPerByte;
    while (pending_bits >= kBitsPerDigit) {
      pending_bits -= kBitsPerDigit;
      text += kAlphabet[bits >> pending_bits & kDigitMask];
    }
  }
  if (pending_bits > 0) text += kAlphabet[bits << (kBitsPerDigit - pending_bits) & kDigitMask];
  return text;
}

std::optional<std::string> decode_base64url(std::string_view text) {
  // A single digit at the end encodes less than a byte.
  if (text.size() % 4 == 1) return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  std::uint32_t bits = 0;
  int pending_bits = 0;
  for (const char digit : text) {
    const std::int8_t value = kDecodingTable[static_cast<unsigned char>(digit)];
    if (value == kNotADigit) return std::nullopt;
    bits = bits << kBitsPerDigit | static_cast<std::uint8_t>(value);
    pending_bits += kBitsPerDigit;
    if (pending_bits >= kBitsPerByte) {
      pending_bits -= kBitsPerByte;
      bytes += static_cast<char>(bits >> pending_bits & kByteMask);
    }
  }
  const std::uint32_t stray_bits = bits & ((1U << pending_bits) - 1);
  if (stray_bits != 0) return std::nullopt;
  return bytes;
}

}  // namespace rookproxy::auth
