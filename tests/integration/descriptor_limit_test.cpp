// Descriptor exhaustion: the reserved shares, the reports, and the parts that continue to work.
#include "support/descriptor_limit.h"

#include <sys/socket.h>
#include <catch2/catch.hpp>
#include <string>

#include "fakes/sockets.h"
#include "net/stream.h"
#include "policy/descriptor_budget.h"
#include "support/scenario.h"

namespace rookproxy {
namespace {

TEST_CASE("descriptors: all shares together stay within the limit, and clients have a third of it") {
  for (std::size_t limit = 32; limit <= 4096; ++limit) {
    const auto shares = policy::descriptor_budget(limit);
    const std::size_t sum = shares.reserved + shares.admin + shares.clients + shares.engines;
    // The reserve covers a dispatcher with frames, operators and discovery: descriptors 0 to 2, epoll,
    // signals, two listeners with their reserve descriptors, and two discovery sockets.
    const bool fits = sum <= limit && shares.reserved >= 12 && shares.admin >= 2 && shares.engines >= 9;
    const bool third = shares.clients > limit / 3 || (limit < 64 && shares.clients >= 9);
    if (!fits || !third) FAIL_CHECK("a limit of " << limit);
  }
  CHECK(policy::descriptor_budget(1024).clients == 409);
  CHECK(policy::descriptor_budget(1024).engines == 409);
  CHECK(policy::descriptor_budget(8).clients >= 1);  // a process with too few still accepts a client
  CHECK(policy::descriptor_budget(8).engines >= 1);
}

TEST_CASE(
    "descriptors: with the clients' share used by idle ones, discovery, engines and operators still work") {
  // The limit is set in the configuration, or as the process's own limit below the configured one.
  for (const std::string sockets : {"64", "1024"}) {
    INFO(sockets);
    test::run_scenario("engines b\nlines-engines a\nset /limits/sockets " + sockets + R"(
    descriptors 64
    move directory silent
    start
    hold 4
    idlers 80
    expect idler0 closed
    expect log service discovery does not respond
    move directory
    configure
    signal HUP
    expect log reread
    directory b=up
    call STATUS
    expect answer +OK ready
    client c
    send c request 1 lookup 3000 SELECT 1
    expect b REQ SELECT 1
    send b data parts=1 one\n
    expect c served 1 one\n
    expect nolog cannot open a UDP socket)");
  }
}

}  // namespace
}  // namespace rookproxy
