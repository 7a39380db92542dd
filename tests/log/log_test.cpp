// Tests of the logger: the message format, the level and rate limit, and the syslog collector.
#include "log/log.h"

#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "fakes/sockets.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

using namespace rookproxy;
using namespace std::chrono_literals;

TEST_CASE("log: a message has the format of RFC 5424, with structured data escaped") {
  const std::string line =
      format_rfc5424(LogLevel::kWarning, 16, Time(1'767'225'600'000'042us), "a host", "rookproxy", "7", "",
                     {{"key", "say \"hi\" [\\] \n"}, {"b=d", ""}}, "text\nof two lines");
  CHECK(line ==
        "<132>1 2026-01-01T00:00:00.000042Z a_host rookproxy 7 - "
        "[rookproxy@32473 key=\"say \\\"hi\\\" [\\\\\\]  \" b_d=\"\"] text of two lines");
}

TEST_CASE("log: messages below the minimum level are dropped, and a burst of messages is limited") {
  std::ostringstream out;
  Logger log(out, LogLevel::kNotice, "h", "a");
  log.write(LogLevel::kInfo, "x", "unwanted", {});
  CHECK(out.str().empty());
  for (int i = 0; i < 1000; ++i) log.write(LogLevel::kError, "x", "wanted", {});
  const std::string text = out.str();
  CHECK(std::count(text.begin(), text.end(), '\n') < 500);
}

TEST_CASE("log: a syslog collector receives the same message by UDP") {
  const FileDescriptor collector(::socket(AF_INET, SOCK_DGRAM, 0));
  const sockaddr_in any = SocketAddress{0x7f000001, 0}.to_sockaddr();
  REQUIRE(::bind(collector.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0);
  std::ostringstream out;
  Logger log(out, LogLevel::kInfo, "h", "a");
  log.set_syslog_target(SocketAddress{0x7f000001, local_port(collector)}, 3);
  log.write(LogLevel::kNotice, "id", "text", {{"k", "v"}});
  REQUIRE(test::wait_until_readable(collector, test::kWaitLimit));
  char bytes[512];
  const auto got = ::recv(collector.get(), bytes, sizeof bytes, 0);
  CHECK(std::string(bytes, static_cast<std::size_t>(got)) + "\n" == out.str());
  CHECK(out.str().starts_with("<29>1 "));
}
