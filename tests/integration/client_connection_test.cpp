// Frame connections of clients: unusable frames, slow writers, silent crowds and the caps that they share.
#include <catch2/catch.hpp>
#include <string>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("requests that can't be sent on are answered on their stream") {
  // Guards against garbage reaching an engine, and against one bad request costing its neighbours the
  // connection.
  run_scenario(R"(
    frames-dispatcher a
    send c fields 1 op=nonsense,call=00000000000000a1,ttl=500 SELECT 1
    expect c failed 1 op
    send c fields 2 op=lookup,call=xyz,ttl=500 SELECT 1
    expect c failed 2 call
    send c fields 3 op=lookup,call=00000000000000a1,ttl=-4 SELECT 1
    expect c failed 3 ttl
    send c fields 4 op=lookup,call=00000000000000a1,ttl=500,work=nan SELECT 1
    expect c failed 4 work
    send c hex 000000070200000005ff01
    expect c failed 5 fields
    expect a nothing 50
    send c hex 000000010200000005
    expect c error
    expect c closed)");
}

TEST_CASE("an oversized request is answered on its stream and skipped") {
  run_scenario(R"(
    frames-dispatcher a
    send c hex 0004000802000000090000
    expect c failed 9 larger
    expect a nothing 50)");
}

TEST_CASE("a request under the id of an open one, or with figures beyond all bounds, goes nowhere") {
  // Guards against another statement under a usual client's id, and against estimates spoilt by one client.
  run_scenario(R"(
    frames-dispatcher a
    client d
    send c fields 1 op=lookup,call=00000000000000a1,ttl=3000 SELECT 1
    expect a REQ
    send d fields 1 op=lookup,call=00000000000000a1,ttl=3000 SELECT 2
    expect d failed 1 call
    send d fields 2 op=lookup,call=00000000000000a2,ttl=4294967295 SELECT 2
    expect d failed 2 ttl
    send d fields 3 op=lookup,call=00000000000000a3,ttl=3000,work=1e12 SELECT 2
    expect d failed 3 work
    send d fields 4 op=lookup,call=00000000000000a4,ttl=3000,memory=1e300 SELECT 2
    expect d failed 4 memory
    expect a nothing 50
    answer a c 1 one\n
    send d fields 5 op=lookup,call=00000000000000a1,ttl=3000 SELECT 1
    expect a REQ)");
}

TEST_CASE("a client that sends an unreadable frame still gets the answers to what it asked before") {
  // Guards against a connection ended with requests open on it: their answers were lost (the full-size days).
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ queue=lookup
    send c hex 000000010200000005
    expect c error
    answer a c 1 ok\n
    expect c eof)");
}

TEST_CASE("the rest of a frame that comes late, behind requests that are open, is taken like any other") {
  // Guards against a connection that went deaf after 2.6 s of half a frame: the rest, and whatever was asked
  // behind it, was dropped unheard and lost, for as long as something was open there.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 9000 SELECT 1
    expect a REQ queue=lookup
    send c begin request 2 lookup 9000 SELECT 2
    wait 2900
    send c finish
    expect a REQ queue=lookup
    answer a c 2 two\n
    send c request 3 lookup 9000 SELECT 3
    expect a REQ queue=lookup
    answer a c 3 three\n)");
}

TEST_CASE("who goes on asking behind a frame that can't be used is refused at once") {
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ queue=lookup
    send c hex 000000050900000007
    expect c error
    send c request 2 lookup 3000 SELECT 2
    expect c refused 2
    answer a c 1 ok\n
    expect c closed)");
}

TEST_CASE("who says nothing, or half a frame, is closed and gives way to who asks") {
  // Guards against silent connections that shut out usual clients: 12 is the cap here.
  run_scenario(R"(
    engines a
    set /limits/sockets 32
    start
    clients s0 s1 s2 s3 s4 s5 s6 s7 s8 s9 s10 s11 s12 c
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 one\n
    expect s0 closed
    expect s12 closed
    client h
    send h hex 0000
    expect h closed)");
}

TEST_CASE("who writes a request slowly is waited for, also in a crowd of silent ones") {
  // Guards against closing on a request that takes 2 s to write, and against a crowd that pushes its writer
  // out.
  run_scenario(R"(
    engines a
    set /limits/sockets 32
    start
    client c
    send c slowly 2200 request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 one\n
    client w
    client v
    send w begin request 1 lookup 3000 SELECT 2
    crowd 40
    send w finish
    expect a REQ
    answer a w 1 two\n
    expect v closed)");
}

TEST_CASE("a crowd does not push out who has sent a request that is not yet read") {
  // Guards against closing on a request that waits in the kernel behind hundreds that connect at once: 12 is
  // the cap here.
  run_scenario(R"(
    engines a
    set /limits/sockets 32
    start
    signal STOP
    crowd 100
    client w
    send w request 1 lookup 9000 SELECT 1
    crowd 100
    signal CONT
    expect a REQ
    answer a w 1 one\n)");
}

// Connects a client that sends the header of a large request, and nothing of its payload.
std::string begin_large_frame(const std::string& client) {
  return "client " + client + "\nsend " + client + " hex 000400000200000001\n";
}

TEST_CASE("frames that begin large and never end share one budget") {
  // Guards against 266 kB a connection, more than the memory holds: 2 MB of it are for such frames here.
  std::string large_frames;
  for (int i = 0; i < 8; ++i) large_frames += begin_large_frame("b" + std::to_string(i));
  run_scenario(R"(
    engines a
    set /limits/memory_mb 16
    start
    )" + large_frames +
               begin_large_frame("c") + R"(
    expect c refused 1 room
    client d
    send d request 1 lookup 3000 SELECT 1
    expect a REQ)");
}

}  // namespace
}  // namespace rookproxy::test
