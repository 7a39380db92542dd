// The operators' address: STATUS, METRICS, and callers that hold it.
#include <catch2/catch.hpp>
#include <string>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("operators: STATUS, figures of every outcome, and an error for anything else") {
  // Guards against figures counted twice, or not at all where a front turns a request away itself.
  run_scenario(R"(
    engines a
    start
    call STATUS
    expect answer +OK
    expect figure passed.lookup=0
    client c
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    expect figure in_progress=1
    expect figure upstream_tries=1
    answer a c 1 one\n
    send c fields 2 op=lookup,call=00000000000000a1,ttl=-4 SELECT 1
    expect c failed 2 ttl
    send c request 3 load 20000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    close a listener
    expect c failed 3
    send c request 4 lookup 3000 SELECT 4
    send c abandon 4
    expect figure in_progress=0
    expect figure passed.lookup=1
    expect figure bad_gateway.lookup=1
    expect figure bad_gateway.load=1
    expect figure dropped.lookup=0
    expect figure known_query_engines=1
    expect figure loads=0
    reload
    expect figure loads=1
    reload {"settings
    expect figure load_errors=1
    expect figure loads=1
    call METRICS
    expect answer +OK\nsvc.
    expect answer \n.\n
    call STATUS now
    expect answer -ERR
    call nonsense
    expect answer -ERR)");
}

TEST_CASE("operators: neither callers that hold connections nor endless lines keep an answer away") {
  // Guards against a cap that holders fill, and against a line without an end that grows the memory.
  run_scenario(R"(
    engines a
    set /limits/sockets 64
    start
    hold 200
    hold 20 METR
    call STATUS
    expect answer +OK
    call )" + std::string(300, 'x') +
               R"(
    expect answer -ERR the line is too long)");
}

TEST_CASE("mysql: outcomes are counted on the same core") {
  run_scenario(R"(
    mysql-dispatcher a
    send m query INSERT INTO s_1.t VALUES (1)
    expect m ok
    expect figure passed.load=1
    expect figure upstream_tries=1
    expect figure in_progress=0)");
}

}  // namespace
}  // namespace rookproxy::test
