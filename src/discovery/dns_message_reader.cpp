#include "discovery/dns_message_reader.h"

#include <cctype>

namespace rookproxy {
namespace {

// The number of compression pointers that a name may have.
constexpr int kMaxCompressionPointers = 32;
// RFC 1035, 2.3.4.
constexpr std::size_t kMaxNameLength = 255;
// The two highest bits of a length byte distinguish a label (00) from a compression pointer (11).
constexpr std::uint8_t kLabelTypeMask = 0xc0;
constexpr std::uint8_t kPointerOffsetMask = 0x3f;

}  // namespace

std::uint8_t DnsMessageReader::read_u8() {
  if (position_ >= bytes_.size()) throw MalformedDnsMessageError("message ends within an integer");
  return static_cast<std::uint8_t>(bytes_[position_++]);
}

std::uint16_t DnsMessageReader::read_u16() {
  const std::uint16_t high = read_u8();
  return static_cast<std::uint16_t>(high << 8 | read_u8());
}

std::uint32_t DnsMessageReader::read_u32() {
  const std::uint32_t high = read_u16();
  return high << 16 | read_u16();
}

std::string_view DnsMessageReader::read_bytes(std::size_t size) {
  if (size > bytes_.size() - position_) throw MalformedDnsMessageError("message ends within a field");
  const std::string_view field = bytes_.substr(position_, size);
  position_ += size;
  return field;
}

// Compression pointers must point backwards, and their number is limited, so that the loop terminates.
std::string DnsMessageReader::read_name() {
  std::string name;
  std::size_t end_of_name = 0;  // The offset after the first pointer; 0 if no pointer was followed.
  std::size_t pointer_limit = position_;
  int pointers = 0;
  for (std::uint8_t size = read_u8(); size != 0; size = read_u8()) {
    if ((size & kLabelTypeMask) == kLabelTypeMask) {
      const std::size_t target = static_cast<std::size_t>(size & kPointerOffsetMask) << 8 | read_u8();
      if (end_of_name == 0) end_of_name = position_;
      if (++pointers > kMaxCompressionPointers || target >= pointer_limit) {
        throw MalformedDnsMessageError("compression pointer points forwards, or there are too many");
      }
      pointer_limit = target;
      position_ = target;
      continue;
    }
    if ((size & kLabelTypeMask) != 0) throw MalformedDnsMessageError("unknown label type");
    if (!name.empty()) name += '.';
    for (const char character : read_bytes(size)) {
      name += static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    if (name.size() > kMaxNameLength) throw MalformedDnsMessageError("name longer than 255 bytes");
  }
  if (end_of_name != 0) position_ = end_of_name;
  return name;
}

}  // namespace rookproxy
