// SIGHUP: what a running process takes over from a changed configuration.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("SIGHUP: the directory moves, requests and the serial go on, a bad file changes nothing") {
  // Guards against ending on SIGHUP, and against a directory asked where nobody answers any more.
  run_scenario(R"(
    engines a b
    start
    directory a=up
    client c
    send c request 1 load 20000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    reload {"settings": 7}
    expect log configuration reload failed: settings
    move directory
    reload
    expect log configuration reloaded
    directory a=draining b=up
    send c request 2 lookup 3000 SELECT 2
    expect b REQ
    answer b c 2 two\n
    answer a c 1 done\n)");
}

TEST_CASE("SIGHUP: classes are added, changed and dropped, and broken settings change nothing") {
  // Guards against requests of a class that clients know and we don't, and against half a configuration.
  run_scenario(R"(
    frames-dispatcher a
    send c request 1 lookup 11000 SELECT 1
    expect a REQ queue=lookup
    send c fields 2 op=marks,call=00000000000000a1,ttl=3000 SELECT 2
    expect c failed 2 op
    set /settings/permissions/max_attempts 0
    reload
    expect log configuration reload failed: settings.permissions.max_attempts
    set /settings/permissions/max_attempts 2
    set /settings/grades/0/effect "side_effect"
    set /settings/grades/2 {"name":"marks","effect":"pure","value":1.0,"target":600000,"aim_stretch":1.5,"deadline":3000000,"late_worth":0.1}
    set /settings/grades/2/deadline -1
    reload
    expect log configuration reload failed: settings.grades.2.deadline
    expect figure load_errors=2
    set /settings/grades/2/deadline 3000000
    reload
    expect figure loads=1
    expect figure passed.marks=0
    send c request 3 marks 3000 SELECT 3
    expect a REQ queue=marks
    answer a c 3 three\n
    send c request 4 lookup 3000 UPDATE 4
    expect a REQ queue=lookup
    close a
    expect c failed 4
    expect a REQ queue=lookup
    answer a c 1 one\n
    expect log settings transition completed
    set /settings/grades [{"name":"marks","effect":"pure","value":1.0,"target":600000,"aim_stretch":1.5,"deadline":3000000,"late_worth":0.1}]
    reload
    expect figure loads=2
    send c request 5 load 3000 UPDATE 5
    expect a REQ queue=load
    answer a c 5 five\n
    wait 2500
    send c request 6 load 3000 UPDATE 6
    expect c failed 6 op
    expect figure passed.load=1)");
}

TEST_CASE("mysql: SIGHUP changes who may log in and leaves what runs alone") {
  run_scenario(R"(
    mysql-engines a
    set /mysql/users {"another":"other","school":"secret"}
    start
    mysql m
    send m query INSERT INTO s_1.t VALUES ('sleep_300')
    expect executed 1 sleep
    set /mysql/users {"school":"changed"}
    reload
    expect log configuration reloaded
    expect m ok
    mysql n denied
    send m query INSERT INTO s_1.t VALUES ('still in')
    expect m ok
    expect duplicates 0)");
}

TEST_CASE("mysql: SIGHUP leads statements to other classes, and the front stays") {
  run_scenario(R"(
    mysql-dispatcher a
    send m query INSERT INTO s_1.t VALUES ('one')
    expect m ok
    set /settings/grades/0 {"name":"marks","effect":"side_effect","value":1.0,"target":600000,"aim_stretch":1.5,"deadline":3000000,"late_worth":0.1}
    set /mysql/read_class "load"
    set /mysql/load_class "marks"
    reload
    expect figure loads=1
    send m query INSERT INTO s_1.t VALUES ('two')
    expect m ok
    expect figure passed.marks=1
    expect figure passed.load=1
    set /mysql null
    reload
    expect log configuration reload failed: mysql: missing
    send m query INSERT INTO s_1.t VALUES ('three')
    expect m ok
    expect figure passed.marks=2
    expect duplicates 0)");
}

}  // namespace
}  // namespace rookproxy::test
