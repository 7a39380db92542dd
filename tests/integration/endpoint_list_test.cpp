// The engines that service discovery lists: draining, replaced and avoided ones.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("an engine that drains gets nothing new") {
  // Guards against sends after the drain's grace, and against losing what waits.
  run_scenario(R"(
    engines a b
    start
    directory a=draining b=up
    wait 1700
    client c
    send c request 1 load 5000 INSERT INTO s_1.t VALUES (1)
    expect b REQ
    answer b c 1 ok\n
    expect a nothing 50)");
}

TEST_CASE("an address that passes to a new engine carries nothing of the old one's") {
  // Guards against knowing engines by address: 'b' answers where 'a' did.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 one\n
    directory a=draining
    directory a=up
    send c request 2 lookup 3000 SELECT 2
    expect a REQ
    answer a c 2 two\n)");
}

TEST_CASE("operators: an engine that is avoided shows") {
  run_scenario(R"(
    engines a b
    start
    directory a=up b=draining
    expect figure known_query_engines=2
    expect figure skipped_query_engines=1
    directory a=up
    expect figure known_query_engines=1
    expect figure skipped_query_engines=0)");
}

}  // namespace
}  // namespace rookproxy::test
