// Tenants that requests name: quotas, unusable names, and changes in service.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "admin/admin_response.h"
#include "config/config.h"
#include "dispatcher/stricter_settings.h"
#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("org: a tenant within its quota goes before one that is beyond its own") {
  // Guards against tenants that the module never hears of: all would be within quota and go by their age. One
  // core and work of 2 s each: most of the eager one's requests have to wait.
  std::string spend;  // what the eager one has saved up of its quota, 5 requests, is within it
  for (int i = 0; i < 6; ++i) spend += "send a data parts=1 done\\n\nabsorb a 100\n";
  run_scenario(R"(
    engines a
    set /settings/domain/cpu_of_kind [1]
    set /settings/domain/ram_of_kind_mb [1024]
    set /settings/over_share_worth 0.05
    set /settings/parties [{"name":"eager","quota_rps":1,"fraction":0.5},{"name":"modest","quota_rps":100,"fraction":0.5}]
    start
    client c
    repeat 25 send c fields + op=lookup,call=new,ttl=9000,work=2000,org=eager SELECT 'eager'
    send c ready 1
    expect c ready 0
    absorb a 300
    )" + spend +
               R"(
    client m
    send m fields 1 op=lookup,call=new,ttl=9000,work=2000,org=modest SELECT 'modest'
    send m ready 2
    expect m ready 0
    send a data parts=1 done\n
    expect a REQ modest
    send a data parts=1 mine\n
    expect figure tenant.modest.passed.lookup=1)");
}

TEST_CASE("org: unusable tenants fail by name, and a request without one is served") {
  // Guards against a request lost, or a crash, for trouble with its tenant alone.
  const std::string overlong(300, 'x');
  run_scenario(R"(
    engines a
    set /settings/parties [{"name":"acme","quota_rps":9,"fraction":0.5}]
    start
    client c
    send c fields 1 op=lookup,call=new,ttl=3000,org=stranger SELECT 1
    expect c failed 1 field org: unknown tenant
    send c fields 2 op=lookup,call=new,ttl=3000,org=)" +
               overlong + R"( SELECT 2
    expect c failed 2 field org: longer than a name may be
    expect nolog xxxxx
    expect nolog stranger
    send c fields 3 op=lookup,call=new,ttl=3000 SELECT 3
    expect a REQ SELECT 3
    answer a c 3 three\n
    send c fields 4 op=lookup,call=new,ttl=3000,org= SELECT 4
    expect a REQ SELECT 4
    answer a c 4 four\n
    send c fields 5 op=lookup,call=new,ttl=3000,org=acme SELECT 5
    expect a REQ SELECT 5
    answer a c 5 five\n
    send c fields 6 op=lookup,call=new,ttl=0,org=acme SELECT 6
    expect c failed 6 field ttl
    expect figure passed.lookup=3
    expect figure bad_gateway.lookup=3
    expect figure tenant.acme.passed.lookup=1
    expect figure tenant.acme.bad_gateway.lookup=1)");
}

TEST_CASE("org: settings without tenants take no notice of it") {
  const std::string overlong(300, 'x');
  run_scenario(R"(
    engines a
    set /settings/parties []
    start
    client c
    send c fields 1 op=lookup,call=new,ttl=3000,org=)" +
               overlong + R"( SELECT 1
    expect a REQ SELECT 1
    answer a c 1 one\n
    expect figure passed.lookup=1)");
}

TEST_CASE("org: what a caller has proven wins, and the field is not looked at") {
  run_scenario(R"(
    engines a
    access
    set /settings/parties [{"name":"acme","quota_rps":9,"fraction":0.5}]
    key k ES256
    publish k
    start
    client c
    token t k student
    send c as t fields 1 op=lookup,call=new,ttl=3000,org=stranger SELECT x FROM sales_17.orders
    expect a REQ
    answer a c 1 one\n
    send c as t fields 2 op=lookup,call=new,ttl=3000,org=acme SELECT x FROM sales_17.orders
    expect a REQ
    answer a c 2 two\n
    expect figure tenant.addis.passed.lookup=2)");
}

TEST_CASE("org: tenants change in service, and former names are good until clients go by the new ones") {
  run_scenario(R"(
    engines a
    set /settings/parties [{"name":"old","quota_rps":9,"fraction":0.5}]
    start
    client c
    set /settings/parties [{"name":"new","quota_rps":9,"fraction":0.5}]
    reload
    expect log configuration reloaded
    send c fields 1 op=lookup,call=new,ttl=3000,org=old SELECT 1
    expect a REQ
    answer a c 1 one\n
    send c fields 2 op=lookup,call=new,ttl=3000,org=older SELECT 2
    expect a REQ
    answer a c 2 two\n
    expect log settings transition completed
    send c fields 3 op=lookup,call=new,ttl=3000,org=new SELECT 3
    expect a REQ
    answer a c 3 three\n
    send c fields 4 op=lookup,call=new,ttl=3000,org=old SELECT 4
    expect c failed 4 unknown tenant
    expect figure tenant.new.passed.lookup=1
    expect figure tenant.old.passed.lookup=1)");
}

TEST_CASE("org: a tenant is known by its name as the settings have it, and its figures are one word a line") {
  const Config config = read_config(nlohmann::json::parse(
      R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","settings":{"grades":[{"name":"q","effect":"pure",
      "target":1,"deadline":5}],"permissions":{"max_attempts":2},"parties":[{"name":"Ein, zwei","quota_rps":1}]}})"));
  REQUIRE(config.settings.tenants.size() == 1);
  CHECK(config.settings.tenants[0].name == "Ein, zwei");
  Metrics metrics;
  metrics.by_tenant["a b\nsvc.c=1"]["q"].served = 2;
  CHECK(format_metrics(metrics, {}).find("svc.tenant.a_b_svc.c_1.passed.q=2\n") != std::string::npos);
}

TEST_CASE("org: a dropped tenant keeps its quota until the new settings bind alone") {
  routing::Settings former;
  routing::Settings fresh;
  former.tenants = {{"kept", 1, 0.5}, {"gone", 2, 0.5}};
  fresh.tenants = {{"new", 3, 0.5}, {"kept", 4, 0.5}};
  const auto both = merge_stricter(former, fresh).tenants;
  REQUIRE(both.size() == 3);
  CHECK(both[1].quota_per_second == 4);
  CHECK(both[2].name == "gone");
}

}  // namespace
}  // namespace rookproxy::test
