// SIGTERM: who is still served, and when the process ends.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("SIGTERM: not ready, told to go away, stragglers served, then gone") {
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    signal TERM
    expect c goaway
    send c ready 3
    expect c ready 1
    send c request 2 lookup 3000 SELECT 2
    expect a REQ
    answer a c 2 two\n
    client d
    expect d goaway
    close a
    expect a REQ SELECT 1
    answer a c 1 one\n
    expect dispatcher exit 0)");
}

TEST_CASE("SIGTERM waits for a load that its client has left") {
  // Guards against half a load: ending would close the engine's connection, which abandons what runs on it.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 load 5000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    close c
    signal TERM
    expect a nothing 1500
    send a data parts=1 done\n
    expect dispatcher exit 0)");
}

TEST_CASE("upgrade: half a request on its way in is waited for") {
  // Guards against leaving with a request unread that is written in pieces.
  run_scenario(R"(
    frames-dispatcher a
    signal TERM
    expect c goaway
    send c slowly 1500 request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 one\n
    expect dispatcher exit 0)");
}

}  // namespace
}  // namespace rookproxy::test
