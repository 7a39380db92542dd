#include "support/flood_messages.h"

#include <atomic>

#include "frontend/frame_codec.h"
#include "support/mysql_client.h"
#include "support/request_frame.h"
#include "support/require.h"

namespace rookproxy::test {
namespace {

constexpr std::size_t kBytesPerSend = 64 * 1024;

}  // namespace

FloodingClient::MakeBytes repeat(MakeMessage make_message) {
  return [make_message, number = std::uint32_t{0}]() mutable {
    std::string bytes;
    while (bytes.size() < kBytesPerSend) bytes += make_message(++number);
    return bytes;
  };
}

std::string random_name() {
  static std::atomic<std::uint64_t> state{0x9e3779b97f4a7c15};
  return format_call_id(state += 0x9e3779b97f4a7c15);
}

std::string readiness_query(std::uint32_t number) {
  return frames::encode_frame(frames::kReadinessQuery, number, std::string(1, '\0'));
}

std::string request_without_id(std::uint32_t number) {
  return encode_request_frame(number, {{"op", "lookup"}}, "SELECT 1");
}

std::string request_of_unknown_class(std::uint32_t number) {
  return encode_request_frame(number, {{"op", random_name()}, {"call", random_name()}, {"ttl", "2000"}}, "");
}

std::string request_of_new_table(std::uint32_t number) {
  return encode_request_frame(number, {{"op", "lookup"}, {"call", random_name()}, {"ttl", "2000"}},
                              "SELECT a FROM marks_" + std::to_string(number) + ".t");
}

// The request has the longest timeout that its class may have.
std::string cancelled_request(std::uint32_t number) {
  return encode_request_frame(number, {{"op", "lookup"}, {"call", random_name()}, {"ttl", "12000"}},
                              "SELECT a FROM marks_1.t") +
         frames::encode_frame(frames::kCancel, number, "");
}

namespace {

std::string mysql_command(char code, const std::string& arguments = "") {
  std::uint8_t sequence = 0;
  return mysql::split_into_packets(code + arguments, sequence);
}

}  // namespace

std::string ping(std::uint32_t) { return mysql_command('\x0e'); }
std::string unknown_command(std::uint32_t) { return mysql_command('\x77'); }
std::string close_unknown_statement(std::uint32_t) { return mysql_command('\x19', std::string(4, '\x09')); }
std::string query_of_new_table(std::uint32_t number) {
  return mysql_command('\x03', "SELECT rows_1 FROM marks_" + std::to_string(number) + ".t");
}

TestConnection connect_and_log_in(std::uint16_t port) {
  MysqlClient client(TestConnection::connect(port));
  if (!client.log_in({}).was_accepted()) fail_test("not logged in");
  return std::move(client.connection());
}

}  // namespace rookproxy::test
