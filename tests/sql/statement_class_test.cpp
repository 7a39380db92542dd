// Whether a statement only reads, and whether it depends on its session.
#include "sql/statement_class.h"

#include <catch2/catch.hpp>

namespace rookproxy {
namespace {

using sql::find_session_state;
using sql::is_read_only;

TEST_CASE("sql: only what is known to read is no load") {
  for (const char* read :
       {"SELECT 1", " (select a from b)", "/* INSERT */ SELECT COUNT(*) FROM t", "SHOW TABLES",
        "WITH x AS (SELECT 1) SELECT * FROM x", "SELECT 'delete' FROM t;"}) {
    INFO(read);
    CHECK(is_read_only(read));
  }
  for (const char* write :
       {"INSERT INTO t VALUES (1)", "/*!50000 INSERT */ INTO t VALUES (1)",
        "SELECT a INTO OUTFILE 'x' FROM t", "WITH x AS (SELECT 1) DELETE FROM t", "SELECT my_function(1)",
        "SELECT `my_function`(1)", "CALL p()", "EXPLAIN ANALYZE UPDATE t SET a = 1", "SELECT 1; DROP TABLE t",
        "SELECT /*! 1; */ DELETE", "TRUNCATE t", "SELECT /*!99999 sleep(1), */ f(2)"}) {
    INFO(write);
    CHECK_FALSE(is_read_only(write));
  }
}

TEST_CASE("sql: session state is seen for what it is") {
  for (const char* stateful :
       {"begin", "START TRANSACTION", "SET autocommit=0", "LOCK TABLES t READ",
        "CREATE TEMPORARY TABLE t (a INT)", "SELECT @a", "SELECT GET_LOCK('a', 1)",
        "SELECT a FROM t FOR UPDATE", "SELECT a FROM t LOCK IN SHARE MODE", "PREPARE s FROM 'x'",
        "USE school_4", "SHOW WARNINGS", "SELECT FOUND_ROWS()"}) {
    INFO(stateful);
    CHECK(find_session_state(stateful));
  }
  for (const char* stateless : {"SELECT '@a begin'", "SELECT @@version_comment LIMIT 1",
                                "INSERT INTO t VALUES ('lock')", "SELECT a FROM t;"}) {
    INFO(stateless);
    CHECK_FALSE(find_session_state(stateless));
  }
}

}  // namespace
}  // namespace rookproxy
