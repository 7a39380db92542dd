// A request from its client to engines and back: retries, deadlines and cancellation, one answer each.
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "support/minimal_config.h"
#include "support/scenario.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a request is served, with all its pages in order") {
  // Guards against answers before the last page, and pages joined in the order in which they came.
  run_scenario(R"(
    frames-dispatcher a
    send c ready 7
    expect c ready 0
    send c request 1 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ queue=lookup
    send a data parts=3 r0\tx\n
    expect a FETCH 1
    expect a FETCH 2
    send a page part_no=2 r2\ty\n
    expect c nothing 50
    send a page part_no=1 r1\tz\n
    expect c served 1 r0\tx\nr1\tz\nr2\ty\n
    expect a END)");
}

TEST_CASE("a safe request that was turned away goes on to another engine") {
  // Guards against giving up, or against a second answer, after 'full'.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    send a full -
    expect a REQ
    answer a c 1 ok\n
    expect c nothing 50)");
}

TEST_CASE("a load whose connection broke is failed, never resent") {
  // Guards against a second run of what may have run.
  run_scenario(R"(
    frames-dispatcher a b
    send c request 1 load 5000 INSERT INTO sales_17.orders VALUES (1)
    expect a REQ queue=load
    close a
    expect c failed 1
    expect a nothing 200
    expect b nothing 1)");
}

TEST_CASE("a load whose pages are lost is failed, never resent") {
  // Guards against taking a lost page for a query that never ran.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 load 5000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    send a data parts=2 r0\n
    expect a FETCH 1
    send a failed -
    expect c failed 1
    expect a nothing 200)");
}

TEST_CASE("a load that no engine took is refused, with a time to come back") {
  // Guards against 'failed' where a retry is harmless, and against holding what has been given up on.
  run_scenario(R"(
    engines a
    set /settings/permissions/max_attempts 1
    start
    client c
    send c request 1 load 20000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    send a full -
    expect c refused 1)");
}

TEST_CASE("a request that nobody answers fails before its client gives up") {
  // Guards against late answers: the client's own clock runs out at 600 ms. (A low target, or the module
  // would see no time left for a load and refuse it at once.)
  run_scenario(R"(
    engines a
    set /settings/grades/1/target 60000
    start
    client c
    send c request 1 load 600 INSERT INTO s_1.t VALUES (1)
    expect a REQ budget=
    expect c failed 1 deadline
    expect a STOP)");
}

TEST_CASE("what a client abandons is stopped and not answered") {
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    send c abandon 1
    expect a STOP
    expect c nothing 50
    send c request 2 lookup 3000 SELECT 2
    expect a REQ
    answer a c 2 two\n)");
}

TEST_CASE("a load outlives its client") {
  // Guards against half a load: once begun it runs to its end, and only once.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 load 5000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    close c
    expect a nothing 200
    send a data parts=1 done\n
    expect a nothing 100)");
}

TEST_CASE("attempts of one request never share a connection") {
  // Guards against an answer to an abandoned attempt being taken for the answer to the next.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    send a failed -
    expect a REQ
    answer a c 1 second\n)");
}

TEST_CASE("refusals for lack of room say no longer than clients are ready to stay away") {
  run_scenario(R"(
    engines a
    set /settings/permissions/max_retry_after 300000
    start
    client c
    repeat 32 send c fields + op=lookup,call=new,ttl=3000 SELECT 1
    send c request 1 lookup 3000 SELECT 2
    expect c pushback 1 300)");
  // 0: clients follow no advice, which is no reason not to start.
  CHECK(read_config(minimal_config(R"({"settings":{"permissions":{"max_retry_after":0}}})"))
            .rejection_retry_after == 1s);
}

TEST_CASE("a keyed class's key against repeats goes on to engines with every attempt") {
  // Guards against a request that is not as its client sent it: an engine that is given no key knows no
  // repeat. A safe class has none, and a key that could break the line to the engine is told by name.
  run_scenario(R"(
    engines a
    set /settings/grades/1/effect "token"
    set /settings/grades/1/group "all"
    set /settings/grades/1/window 4000000
    set /settings/domain/is_load [false,false]
    set /settings/domain/priorities false
    start
    client c
    send c fields 1 op=load,call=new,ttl=3000,dedupe=eb45388962e73bd5 INSERT 1
    expect a REQ uniq=eb45388962e73bd5
    send a full -
    expect a REQ uniq=eb45388962e73bd5
    answer a c 1 done\n
    send c fields 2 op=load,call=new,ttl=3000,dedupe=a=b INSERT 2
    expect c failed 2 dedupe
    send c fields 3 op=lookup,call=new,ttl=3000,dedupe=a=b SELECT 1
    expect a REQ rank=1 8
    answer a c 3 done\n)");
}

}  // namespace
}  // namespace rookproxy::test
