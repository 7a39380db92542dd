// Statements of MySQL clients: results, errors, prepared statements, and loads that run once.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("mysql: who does not log in gives way at the cap, who has is left alone") {
  // Guards against silent connections that shut out the school's own.
  run_scenario(R"(
    mysql-engines a
    set /mysql/most_connections 2
    start
    mysql m
    knock s
    mysql n
    expect s closed
    send m query INSERT INTO s_1.t VALUES (1)
    expect m ok
    send n query INSERT INTO s_1.t VALUES (2)
    expect n ok)");
}

TEST_CASE("mysql: statements, rows, errors and schemas pass through") {
  run_scenario(R"(
    mysql-dispatcher a b
    send m command 0e
    expect m ok
    send m query SELECT rows_3 FROM school_4.marks
    expect m rows 3
    send m query SELECT wide_70000 FROM school_4.marks
    expect m rows 1
    send m query SELECT bad FROM
    expect m error 1064 syntax
    send m query INSERT INTO school_4.marks VALUES (1)
    expect m ok
    send m command 026e6f7768657265
    expect m error 1049
    send m command 027363686f6f6c5f34
    expect m ok
    send m query
    expect m error 1065
    send m query SET NAMES utf8mb4
    expect m ok
    send m command 1f
    expect m ok
    send m command 63
    expect m error 1047
    expect executed 1 INSERT
    send m command 01
    expect m closed)");
}

TEST_CASE("mysql: large packets pass both ways") {
  // A result of more than one packet's 16 MB is refused by size, one of several packets' rows is not.
  run_scenario(R"(
    mysql-dispatcher a
    send m query SELECT wide_6000000 FROM school_4.marks
    expect m rows 1
    send m query SELECT wide_17000000 FROM school_4.marks
    expect m error 1153 more than
    send m query SELECT rows_2 FROM school_4.marks
    expect m rows 2)");
}

TEST_CASE("mysql: session state that engines can't share is refused, plainly") {
  // Guards against wrong results: the next statement may run on another engine.
  run_scenario(R"(
    mysql-dispatcher a b
    send m query BEGIN
    expect m error 1235 transactions
    send m query CREATE TEMPORARY TABLE t (a INT)
    expect m error 1235 temporary
    send m query SELECT GET_LOCK('x', 1)
    expect m error 1235 lock
    send m query SET @a = 1
    expect m error 1235 variables
    send m query SELECT LAST_INSERT_ID()
    expect m error 1235 earlier
    send m query SELECT 1; DROP TABLE x
    expect m error 1235 several
    send m command 1c0100000001000000
    expect m error 1235 cursors
    expect executed 0 T)");
}

TEST_CASE("mysql: autocommit is remembered, and only what needs a transaction is turned down") {
  // Client libraries switch it off as they open: their log-in must succeed, reads go on, and what they then
  // ask for is a true answer at the statement that can't have it.
  run_scenario(R"(
    mysql-dispatcher a b
    send m query SET AUTOCOMMIT = 0
    expect m ok
    send m query SET NAMES 'utf8mb4'
    expect m ok
    send m query SELECT rows_2 FROM school_4.marks
    expect m rows 2
    send m query INSERT INTO school_4.marks VALUES (1)
    expect m error 1235 autocommit is off
    send m query COMMIT
    expect m ok
    send m query ROLLBACK AND CHAIN
    expect m error 1235 transactions
    send m prepare UPDATE school_4.marks SET a = ?
    expect m prepared
    send m execute 1 5
    expect m error 1235 autocommit is off
    send m query CREATE TABLE school_4.fresh (a INT)
    expect m ok
    expect executed 0 INSERT
    send m query SET @@session.autocommit = ON
    expect m ok
    send m query INSERT INTO school_4.marks VALUES (1)
    expect m ok
    expect executed 1 INSERT
    send m query SET SESSION sql_mode = 'ANSI_QUOTES'
    expect m error 1235 variables)");
}

TEST_CASE("mysql: a load is run once, whatever goes wrong") {
  // 'full' never ran and may go on; 'cut' ran and must not.
  run_scenario(R"(
    mysql-dispatcher a b
    send m query INSERT INTO school_4.marks VALUES ('cut')
    expect m error 1105 may have run
    send m query INSERT INTO school_4.marks VALUES ('full')
    expect m error 3168 try again in
    wait 300
    expect executed 1 cut
    expect executed 0 full
    expect duplicates 0)");
}

TEST_CASE("mysql: a deadline is an error of its own") {
  run_scenario(R"(
    mysql-engines a
    set /mysql/read_deadline_ms 400
    set /mysql/load_deadline_ms 400
    set /settings/grades/1/target 60000
    start
    mysql m
    send m query SELECT sleep_3000 FROM school_4.marks
    expect m error 3024 changed nothing
    send m query INSERT INTO school_4.marks VALUES ('sleep_3000')
    expect m error 3024 may have run
    send m command 0e
    expect m ok
    expect executed 1 INSERT)");
}

TEST_CASE("mysql: prepared on an engine that drains before the execute") {
  // The first hard case: the statement's id outlives the engine that gave it, the types bound there too.
  run_scenario(R"(
    mysql-engines a b
    start
    directory a=up
    mysql m
    send m prepare INSERT INTO school_4.marks VALUES (?)
    expect m prepared
    send m execute 1 first
    expect m ok
    directory a=draining b=up
    wait 1700
    send m again 1 second
    expect m ok
    expect prepared 2 INSERT
    expect executed 1 <- first
    expect executed 1 <- second
    expect duplicates 0
    send m command 19ffffffff
    send m command 1affffffff
    expect m error 1243)");
}

TEST_CASE("mysql: a client that vanishes halfway through a load") {
  // The second hard case: the load runs to its end, once, and its engine serves on.
  run_scenario(R"(
    mysql-dispatcher a b
    send m prepare INSERT INTO school_4.marks VALUES (?, 'sleep_400')
    expect m prepared
    send m prepare INSERT INTO school_4.marks VALUES (?)
    expect m prepared
    send m execute 2 before
    expect m ok
    send m query INSERT INTO school_4.marks VALUES ('gone', 'sleep_400')
    expect executed 1 gone
    close m
    mysql n
    send n query SELECT rows_1 FROM school_4.marks
    expect n rows 1
    wait 600
    expect executed 1 gone
    expect duplicates 0)");
}

TEST_CASE("mysql: long data is sent ahead, reset and sent again") {
  run_scenario(R"(
    mysql-dispatcher a b
    send m prepare INSERT INTO school_4.marks VALUES (?)
    expect m prepared
    send m long 1 0 dropped
    send m command 1a01000000
    expect m ok
    send m long 1 0 part one,
    send m long 1 0  part two
    send m execute 1 LONG
    expect m ok
    expect executed 1 <- part one,part two)");
}

TEST_CASE("mixed: both fronts on one core and the same engines, no load twice") {
  run_scenario(R"(
    mysql-engines a b
    start
    client c
    mysql m
    mysql n school_4
    send m prepare INSERT INTO school_4.marks VALUES (?)
    expect m prepared
    send c request 1 load 5000 INSERT INTO school_4.marks VALUES ('frames', 'sleep_100')
    send m execute 1 prepared
    send n query INSERT INTO marks VALUES ('text')
    send c request 2 lookup 3000 SELECT rows_2 FROM school_4.marks
    expect m ok
    expect n ok
    send c request 3 load 5000 INSERT INTO school_5.marks VALUES ('cut by the engine')
    send n query INSERT INTO marks VALUES ('cut as well')
    expect n error 1105 may have run
    send m execute 1 after
    expect m ok
    expect executed 1 'frames'
    expect executed 1 'text'
    expect executed 1 <- prepared
    expect executed 1 <- after
    expect executed 1 cut by
    expect executed 1 cut as
    wait 300
    expect duplicates 0)");
}

TEST_CASE("the count of duplicate loads would catch one") {
  // A check that can't fail proves nothing: the same load asked for twice is counted.
  run_scenario(R"(
    mysql-dispatcher a b
    send m query INSERT INTO school_4.marks VALUES ('again')
    expect m ok
    send m query INSERT INTO school_4.marks VALUES ('again')
    expect m ok
    expect duplicates 1)");
}

}  // namespace
}  // namespace rookproxy::test
