// Tests of statement analysis: the schemas that a statement accesses, and the statements that are not
// resolved.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "sql/statement_analysis.h"

namespace rookproxy {
namespace {

using policy::StatementEffect;
using sql::Dialect;

}  // namespace

TEST_CASE("sql: analysis resolves the schemas that a statement accesses") {
  using List = std::vector<std::string>;
  const std::vector<std::pair<const char*, List>> cases{
      {"SELECT a FROM x_1.t", {"x_1"}},
      {"SELECT a FROM `x_1` . `t` AS q WHERE q.a = 'FROM y_2.t'", {"x_1"}},
      {"SELECT 1 -- FROM y_2.t", {}},
      {"SELECT IF(1*/*'*/1, (SELECT a FROM y_2.t), /*'*/0) FROM x_1.t", {"y_2", "x_1"}},
      {"SELECT a, (SELECT max(b) FROM y_2.t) FROM x_1.t, z_3.u JOIN w_4.v USING (a)",
       {"y_2", "x_1", "z_3", "w_4"}},
      {"SELECT a FROM (SELECT * FROM x_1.t) AS d LEFT JOIN y_2.u ON d.a = u.a AND u.b IN (SELECT c FROM "
       "z_3.w)",
       {"x_1", "y_2", "z_3"}},
      {"WITH c AS (SELECT * FROM x_1.t) SELECT * FROM c", {"x_1"}},
      {"WITH c AS (SELECT * FROM c) SELECT * FROM c", {""}},
      {"WITH RECURSIVE c AS (SELECT 1 UNION ALL SELECT a FROM c) SELECT * FROM c", {}},
      {"SELECT * FROM (WITH c AS (SELECT 1) SELECT * FROM c) d, c", {""}},
      {"(SELECT a FROM x_1.t) UNION ALL (SELECT a FROM y_2.t) ORDER BY a LIMIT 3", {"x_1", "y_2"}},
      {"SELECT a FROM x_1.t WHERE a = ((SELECT max(a) FROM y_2.t) + 1)", {"x_1", "y_2"}},
      {"SELECT a FROM x_1.t WHERE a IN ((SELECT 1 FROM y_2.t) UNION (SELECT 2 FROM z_3.t))",
       {"x_1", "y_2", "z_3"}},
      {"SELECT * FROM ((SELECT a FROM x_1.t) UNION (SELECT a FROM y_2.t)) q", {"x_1", "y_2"}},
      {"SELECT * FROM (x_1.t a JOIN (y_2.t b, z_3.t c) ON a.i = b.i)", {"x_1", "y_2", "z_3"}},
      {"SELECT x_1.t.a, EXTRACT(YEAR FROM t.d), TRIM(BOTH 'x' FROM t.b) FROM x_1.t", {"x_1"}},
      {"SELECT y_2.t.a FROM x_1.t", {"y_2", "x_1"}},
      {"SELECT a FROM x_1.t FORCE INDEX FOR ORDER BY (i) WHERE a > 1 GROUP BY a HAVING count(*) > 1 LIMIT 5",
       {"x_1"}},
      {"SELECT count(*) FROM x_1.t a NATURAL JOIN y_2.u STRAIGHT_JOIN z_3.v", {"x_1", "y_2", "z_3"}},
      {"SELECT LEFT(a, 3), rank() OVER (PARTITION BY b ORDER BY c) FROM x_1.t", {"x_1"}},
      {"INSERT INTO x_1.t (a, b) VALUES (1, (SELECT b FROM y_2.u)) ON DUPLICATE KEY UPDATE a = VALUES(a)",
       {"x_1", "y_2"}},
      {"REPLACE x_1.t SELECT * FROM y_2.u WHERE a = 1", {"x_1", "y_2"}},
      {"INSERT INTO x_1.t SET a = 1", {"x_1"}},
      {"INSERT x_1.t (SELECT a FROM y_2.u)", {"x_1", "y_2"}},
      {"UPDATE x_1.t a, y_2.u b SET a.c = b.c WHERE a.i = b.i", {"x_1", "y_2"}},
      {"DELETE FROM x_1.t WHERE a = 1 ORDER BY b LIMIT 1", {"x_1"}},
      {"DELETE FROM x_1.t, y_2.u USING x_1.t JOIN y_2.u", {"x_1", "y_2"}},
      {"DELETE a FROM x_1.t a JOIN y_2.u b", {"x_1", "y_2"}},
      {"TRUNCATE TABLE x_1.t", {"x_1"}},
      {"CREATE TABLE IF NOT EXISTS x_1.t (a INT DEFAULT (1), b DECIMAL(3, 1)) ENGINE = InnoDB", {"x_1"}},
      {"CREATE TABLE x_1.t AS SELECT * FROM y_2.u", {"x_1", "y_2"}},
      {"CREATE TABLE x_1.t LIKE y_2.u", {"x_1", "y_2"}},
      {"DROP TABLE IF EXISTS x_1.t, y_2.u", {"x_1", "y_2"}},
      {"EXPLAIN SELECT * FROM x_1.t", {"x_1"}},
      {"DESCRIBE x_1.t", {"x_1"}},
      {"SHOW SESSION VARIABLES LIKE 'version%'", {}},
      {"SELECT @@version_comment LIMIT 1;", {}},
      {"SELECT 1.5 + .5 FROM DUAL", {}},
      {"SELECT COUNT(a), CONCAT (a, b) FROM x_1.t WHERE a IN (1)", {"x_1"}},
      {"SELECT 'it''s', 'O\\'Brien' FROM x_1.t", {"x_1"}}};
  for (const auto& [statement, schemas] : cases) {
    const auto facts = sql::analyze_statement(statement, Dialect::kMysql);
    INFO(statement << " -- " << facts.unresolved_reason);
    CHECK(facts.tables_resolved);
    CHECK(facts.schemas == schemas);
  }
}

TEST_CASE("sql: a statement that could hide a table is unresolved, and a write if it is ambiguous") {
  // Some server or SQL mode runs each of these differently from how it is parsed, or they refer to tables in
  // an unsupported form. A caller must not gain access to another tenant's data with them.
  for (const char* statement : {"SELECT 1 FROM /*!99999 x_1.t WHERE x = */ y_2.t",
                                "SELECT 1 /*M! FROM y_2.t */",
                                "SELECT '",
                                "SELECT /* 1",
                                "SELECT 1 /* /* */ FROM y_2.t */",
                                "SELECT a FROM x_1.t FOR SYSTEM_TIME AS OF now(), y_2.t",
                                "SELECT a FROM x_1.t, \"y_2\".\"t\"",
                                "SELECT a FROM \"y_2\".t",
                                "SELECT a FROM x_1.t {y}, y_2.t",
                                "SELECT a FROM {oj x_1.t LEFT OUTER JOIN y_2.t ON 1}",
                                "SELECT a FROM JSON_TABLE('[]', '$' COLUMNS (a INT)) j",
                                "SELECT y_2.f(1)",
                                "SELECT f(1)",
                                "SELECT COUNT (a) FROM x_1.t",
                                "SELECT sum/**/(a) FROM x_1.t",
                                "SELECT y_2.upper(a) FROM x_1.t",
                                "SELECT LOAD_FILE('/etc/passwd')",
                                "SELECT `f`(1)",
                                "SELECT a INTO OUTFILE '/tmp/x' FROM x_1.t",
                                "SELECT a FROM x_1.t PROCEDURE ANALYSE()",
                                "SHOW TABLES FROM y_2",
                                "SHOW DATABASES",
                                "SHOW COLUMNS FROM x_1.t",
                                "CALL x_1.p()",
                                "DO f(1)",
                                "HANDLER x_1.t OPEN",
                                "LOAD DATA INFILE 'f' INTO TABLE x_1.t",
                                "ALTER TABLE x_1.t RENAME TO y_2.t",
                                "RENAME TABLE x_1.t TO y_2.t",
                                "CREATE TABLE x_1.t (a INT REFERENCES y_2.t (a))",
                                "GRANT ALL ON y_2.* TO a",
                                "CREATE VIEW x_1.v AS SELECT * FROM y_2.t",
                                "SELECT 1; SELECT 2",
                                "SELECT a FROM x_1.t FULL JOIN y_2.t",
                                "SELECT a FROM x_1.t b c, y_2.t",
                                "SELECT a FROM .t",
                                "SELECT a FROM x_1.t.u",
                                "",
                                ";",
                                "FROM",
                                "SELECT a FROM",
                                "SELECT a FROM (",
                                "SELECT a FROM x_1.t JOIN",
                                "WITH",
                                "WITH c",
                                "INSERT",
                                "DELETE FROM",
                                "SELECT 1 #\r FROM y_2.t",
                                "SELECT 1 \x01",
                                "SELECT a FROM x_1.t TABLESAMPLE (1)",
                                "SELECT a FROM x_1.t WHERE a = 1 UNION SELECT b FROM",
                                "TABLE",
                                "SELECT * FROM x_1.t@link"}) {
    const auto facts = sql::analyze_statement(statement, Dialect::kMysql);
    INFO(statement);
    CHECK_FALSE(facts.tables_resolved);
    CHECK_FALSE(facts.unresolved_reason.empty());
  }
  // The semicolons and comments after the last token are skipped without changing how that token is read.
  CHECK(sql::analyze_statement("---- \n;", Dialect::kMysql).unresolved_reason !=
        sql::analyze_statement("-- \n;", Dialect::kMysql).unresolved_reason);
  CHECK(sql::analyze_statement("SELECT a FROM x_1.t;;  ;", Dialect::kMysql).tables_resolved);
  CHECK_FALSE(sql::analyze_statement("SELECT a FROM x_1.t; 1;", Dialect::kMysql).tables_resolved);
  CHECK_FALSE(sql::analyze_statement("SELECT a FROM ``.t", Dialect::kMysql).tables_resolved);
  const std::string deep(5000, '(');
  CHECK_FALSE(sql::analyze_statement("SELECT " + deep, Dialect::kMysql).tables_resolved);
  CHECK_FALSE(sql::analyze_statement("SELECT a FROM " + deep, Dialect::kMysql).tables_resolved);
  CHECK_FALSE(sql::analyze_statement(deep, Dialect::kMysql).tables_resolved);
  // If the dialect is unknown, text that only other dialects read differently is ambiguous, too.
  for (const char* statement :
       {"SELECT 'a\\' FROM y_2.t -- '", "SELECT $$ ' $$ FROM y_2.t -- '", "SELECT 1 --1 FROM y_2.t",
        "SELECT 1 # FROM y_2.t", "SELECT a FROM x_1.t WHERE [b]"}) {
    INFO(statement);
    CHECK_FALSE(sql::analyze_statement(statement, Dialect::kAny).tables_resolved);
    CHECK(sql::analyze_statement(statement, Dialect::kAny).effect == StatementEffect::kWrites);
  }
}

}  // namespace rookproxy
