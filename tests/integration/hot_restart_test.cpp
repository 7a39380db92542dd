// Hot restart: a second process takes over the sockets of the first.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("upgrade: the successor takes the door, the former answers what it took and leaves") {
  // Guards against requests that end at the door: the former accepts nothing once a successor is ready.
  run_scenario(R"(
    engines a
    pass sockets
    start
    client c
    send c request 1 load 20000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    upgrade
    call STATUS
    expect answer +OK
    call old STATUS
    expect answer +OK
    signal old TERM
    expect c goaway
    call old STATUS
    expect answer -ERR not ready: draining
    send c request 2 lookup 3000 SELECT 2
    expect a REQ
    answer a c 2 two\n
    client d
    send d request 1 lookup 3000 SELECT 3
    expect a REQ
    answer a d 1 three\n
    expect figure passed.lookup=1
    expect d nothing 50
    client h
    send h request 1 load 20000 INSERT INTO s_1.t VALUES (2)
    expect a REQ
    close h
    close a
    expect c failed 1
    expect old exit 0
    call STATUS
    expect answer +OK)");
}

TEST_CASE("upgrade: without a successor newcomers are served, and what waits is left to the next process") {
  // Guards against a door that is shut while nobody else opens it, and against a lock that the dead hold.
  run_scenario(R"(
    engines a
    pass sockets
    start
    upgrade
    signal KILL
    expect dispatcher exit 137
    signal old TERM
    client c
    expect c goaway
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 one\n
    expect old exit 0
    client d
    send d request 1 lookup 9000 SELECT 2
    start
    expect a REQ
    answer a d 1 two\n)");
}

TEST_CASE("upgrade: two processes share one limit on descriptors and memory") {
  // Guards against shares that don't fit twice. Of 32 descriptors a process itself holds 12 and sets 2 aside
  // for operators: 9 are for clients, one of them for who is on his way out; beside another process 4, with
  // one for that.
  run_scenario(R"(
    engines a
    set /limits/sockets 32
    pass sockets
    start
    upgrade
    expect log another process is running, resource limits halved
    signal old STOP
    ready-clients c0 c1 c2 c3
    expect c0 closed
    signal old KILL
    expect old exit 137
    expect log no other process is running, resource limits restored
    ready-clients d0 d1 d2 d3 d4
    expect c1 nothing 1
    ready-clients d5
    expect c1 closed)");
}

TEST_CASE("mysql: an upgrade ends no statement, and who is answered logs in anew at the successor") {
  // Guards against loads cut in half, run twice, or sent to a process that has gone.
  run_scenario(R"(
    mysql-engines a
    pass sockets
    start
    mysql m
    mysql idle
    send m query INSERT INTO s_1.t VALUES ('sleep_3000')
    expect executed 1 sleep
    upgrade
    signal old TERM
    expect old log graceful shutdown started
    call old STATUS
    expect answer -ERR not ready: draining
    mysql n
    send n query INSERT INTO s_1.t VALUES ('new')
    expect n ok
    expect figure passed.load=1
    send idle query INSERT INTO s_1.t VALUES ('last')
    expect idle ok
    expect idle closed
    expect m ok
    expect m closed
    expect old exit 0
    send n query INSERT INTO s_1.t VALUES ('more')
    expect n ok
    expect duplicates 0)");
}

}  // namespace
}  // namespace rookproxy::test
