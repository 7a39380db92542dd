// Packets of the MySQL protocol and the integers in them.
#include "mysql/packet.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rookproxy {
namespace {

TEST_CASE("mysql: length-encoded integers are read back, and cut ones are malformed") {
  for (const std::uint64_t value :
       {0ULL, 250ULL, 251ULL, 65535ULL, 65536ULL, 16777215ULL, 16777216ULL, ~0ULL}) {
    std::string bytes;
    mysql::append_length_encoded_integer(bytes, value);
    CHECK(mysql::PayloadReader(bytes).length_encoded_integer() == value);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      mysql::PayloadReader reader(std::string_view(bytes).substr(0, cut));
      CHECK_THROWS_AS(reader.length_encoded_integer(), mysql::MalformedPacketError);
    }
  }
}

TEST_CASE("mysql: a message is joined from its packets once all of them are there") {
  for (const std::size_t size :
       {std::size_t{0}, std::size_t{5}, mysql::kMaxPayloadSize, mysql::kMaxPayloadSize + 3}) {
    const std::string payload(size, 'x');
    std::uint8_t sequence = 0;
    const std::string packets = mysql::split_into_packets(payload, sequence);
    CHECK(sequence == (size < mysql::kMaxPayloadSize ? 1 : 2));
    const std::string_view cut = std::string_view(packets).substr(0, packets.size() - 1);
    CHECK(mysql::parse_message(cut, SIZE_MAX).consumed == 0);
    const mysql::Message message = mysql::parse_message(packets + "more", SIZE_MAX);
    CHECK(message.consumed == packets.size());
    CHECK(message.payload == payload);
    CHECK(message.next_sequence == sequence);
    if (size > 0) CHECK(mysql::parse_message(packets, size - 1).too_large);
  }
}

}  // namespace
}  // namespace rookproxy
