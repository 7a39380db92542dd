// Connections to engines: answers that are unreadable, incomplete or too many, and connections that fail.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("an engine's answer that can't be read costs the connection, not the dispatcher") {
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    send a raw this is not an answer at all\r\n
    expect a REQ
    answer a c 1 fine\n)");
}

TEST_CASE("a spoilt answer costs its own request and no other") {
  // Guards against many requests on one connection: the lookup is neither lost nor run again with the load.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ SELECT 1
    send c request 2 load 5000 INSERT INTO s_2.t VALUES (1)
    expect a REQ INSERT
    send a raw \t\t what is this\r\n
    expect c failed 2
    send c abandon 1
    expect a STOP)");
}

TEST_CASE("an answer that stops halfway or never comes whole is waited for no longer than it takes") {
  // Guards against a connection that stays open and is of no use: first an answer is cut, then a page is
  // missing. (With a target of the second that this takes, the module would refuse it now and then: work that
  // is late for sure.)
  run_scenario(R"(
    engines a
    set /settings/grades/0/target 8000000
    start
    client c
    send c request 1 lookup 9000 SELECT 1
    expect a REQ
    send a raw 0123456789abcdef data parts=1 100\r\nnot all of it
    expect a REQ
    send a data parts=2 r0\n
    expect a FETCH 1
    expect a REQ
    answer a c 1 whole\n)");
}

TEST_CASE("a good answer with more than belongs to it is still good") {
  // Guards against ending the attempt over a second copy, or over an answer to somebody else's question.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 load 5000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    send a raw ffffffffffffffff data parts=1 2\r\nno\r\n
    send a data parts=2 r0\n
    expect a FETCH 1
    send a data parts=2 r0\n
    send a page part_no=1 r1\n
    send a page part_no=1 r1\n
    expect c served 1 r0\nr1\n)");
}

TEST_CASE("a connection on which an attempt was given up unheard is not used again") {
  // Guards against sending the next request after an answer that was lost, into the same hole.
  run_scenario(R"(
    engines a
    set /settings/grades/0/target 60000
    start
    client c
    send c request 1 lookup 800 SELECT 1
    expect a REQ
    expect c failed 1
    expect a STOP
    expect a closed)");
}

TEST_CASE("an engine that takes no more connections is served over those it has") {
  // Guards against taking a full table of connections for an engine that is gone.
  run_scenario(R"(
    engines a
    set /settings/permissions/dial_timeout 5000000
    start
    client c
    send c request 1 lookup 9000 SELECT 1
    expect a REQ
    send a news detail=frac,value=0.1
    close a door
    send c request 2 load 20000 INSERT INTO s_2.t VALUES (1)
    expect a REQ INSERT
    answer a c 2 two\n)");
}

TEST_CASE("an engine that refuses connections gets a request nowhere near it") {
  // Guards against 'may have run' where nothing was sent: the load goes on to the other engine.
  run_scenario(R"(
    engines a b
    close a listener
    start
    client c
    send c request 1 load 5000 INSERT INTO s_1.t VALUES (1)
    send c request 2 load 5000 INSERT INTO s_2.t VALUES (1)
    expect b REQ
    send b data parts=1 ok\n
    expect b REQ
    send b data parts=1 ok\n)");
}

}  // namespace
}  // namespace rookproxy::test
