// Reads integers, byte strings and names from a DNS message (RFC 1035).
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace rookproxy {

// Thrown if a DNS message is too short or has an invalid name.
struct MalformedDnsMessageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A cursor over the bytes of one DNS message, which must outlive it. A read past the end throws
// MalformedDnsMessageError. Not thread-safe.
class DnsMessageReader {
 public:
  explicit DnsMessageReader(std::string_view bytes) : bytes_(bytes) {}

  // The offset of the next byte to be read, from the start of the message.
  [[nodiscard]] std::size_t position() const { return position_; }
  // Moves the cursor to an offset that was returned by position().
  void seek(std::size_t position) { position_ = position; }

  // Read an unsigned integer in network byte order.
  std::uint8_t read_u8();
  std::uint16_t read_u16();
  std::uint32_t read_u32();
  // Reads `size` bytes; the view points into the message.
  std::string_view read_bytes(std::size_t size);
  // Reads a domain name, following compression pointers. Returns it in lower case, with dots between labels.
  std::string read_name();

 private:
  std::string_view bytes_;
  std::size_t position_ = 0;
};

}  // namespace rookproxy
