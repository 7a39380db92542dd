// Tests of the parsers of the MySQL protocol and of SQL with complete, truncated, split and corrupted input.
#include <catch2/catch.hpp>

#include "discovery/dns.h"
#include "fakes/dns_response.h"
#include "frontend/frames_frontend.h"
#include "mysql/protocol.h"
#include "sql/lexer.h"
#include "sql/session_statement.h"
#include "sql/statement_class.h"
#include "sql/table_group.h"
#include "support/damaged_input.h"

using namespace rookproxy;

TEST_CASE("mysql: encoded integers and messages are parsed back, and truncated ones are not") {
  for (const std::uint64_t value :
       {0ull, 250ull, 251ull, 65535ull, 65536ull, 16777215ull, 16777216ull, ~0ull}) {
    std::string bytes;
    mysql::append_length_encoded_integer(bytes, value);
    CHECK(mysql::PayloadReader(bytes).length_encoded_integer() == value);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      mysql::PayloadReader reader(std::string_view(bytes).substr(0, cut));
      CHECK_THROWS_AS(reader.length_encoded_integer(), mysql::MalformedPacketError);
    }
  }
  for (const std::size_t size :
       {std::size_t{0}, std::size_t{5}, mysql::kMaxPayloadSize, mysql::kMaxPayloadSize + 3}) {
    const std::string payload(size, 'x');
    std::uint8_t sequence = 0;
    const std::string bytes = mysql::split_into_packets(payload, sequence);
    CHECK(sequence == (size < mysql::kMaxPayloadSize ? 1 : 2));
    CHECK(mysql::parse_message(std::string_view(bytes).substr(0, bytes.size() - 1), SIZE_MAX).consumed == 0);
    const auto message = mysql::parse_message(bytes + "more", SIZE_MAX);
    CHECK(message.consumed == bytes.size());
    CHECK(message.payload == payload);
    CHECK(message.next_sequence == sequence);
    if (size > 0) CHECK(mysql::parse_message(bytes, size - 1).too_large);
  }
}

TEST_CASE("mysql: greeting and login are parsed back, and corrupted ones throw or are parsed") {
  mysql::Greeting greeting;
  greeting.connection_id = 9;
  greeting.capabilities = mysql::kCapabilities;
  greeting.nonce = mysql::generate_nonce();
  greeting.plugin = mysql::kCachingSha2;
  greeting.version = "8.0";
  const std::string greeting_bytes = mysql::greeting_payload(greeting);
  const auto read = mysql::parse_greeting(greeting_bytes);
  CHECK(read.nonce == greeting.nonce);
  CHECK(read.plugin == greeting.plugin);
  CHECK(read.capabilities == greeting.capabilities);
  mysql::Login login;
  login.capabilities = mysql::kCapabilities;
  login.user = "u";
  login.auth_response = std::string(32, 'p');
  login.schema = "s";
  login.plugin = mysql::kNativePassword;
  const std::string bytes = mysql::login_payload(login);
  CHECK(mysql::parse_login(bytes).schema == "s");
  CHECK(mysql::parse_login(bytes).auth_response == login.auth_response);
  const auto ignore_malformed_packet = [](auto parse) {
    try {
      parse();
    } catch (const mysql::MalformedPacketError&) {
    }
  };
  test::parse_damaged(greeting_bytes, [&](const std::string& bad) {
    ignore_malformed_packet([&] { (void)mysql::parse_greeting(bad); });
  });
  test::parse_damaged(bytes, [&](const std::string& bad) {
    ignore_malformed_packet([&] { (void)mysql::parse_login(bad); });
  });
}

TEST_CASE("mysql: authentication responses match the published specification") {
  // The expected values were computed with another implementation. The first one is SHA1(password) XOR
  // SHA1(nonce + SHA1(SHA1(password))).
  const std::string nonce = "abcdefghijklmnopqrst";
  const auto hex = [](const std::string& bytes) {
    std::string out;
    for (const unsigned char c : bytes) {
      out += "0123456789abcdef"[c >> 4];
      out += "0123456789abcdef"[c & 15];
    }
    return out;
  };
  CHECK(hex(*mysql::make_auth_response(mysql::kNativePassword, "secret", nonce)) ==
        "8817c50fa779daef010ee7577825b0847df9842e");
  CHECK(hex(*mysql::make_auth_response(mysql::kCachingSha2, "secret", nonce)) ==
        "c76e2898612a4cf042c77fa8c4702c4c64c0c2c557c53c4d75595aaa6abae809");
  CHECK(mysql::make_auth_response(mysql::kNativePassword, "", nonce) == "");
  CHECK_FALSE(mysql::make_auth_response("sha256_password", "secret", nonce));
}

TEST_CASE("mysql: the response tracker detects the end of a response") {
  using namespace std::string_view_literals;
  const std::string_view eof = "\xfe\0\0\2\0"sv;
  mysql::ResponseTracker ok, rows, prepare(mysql::ResponseTracker::Kind::kPrepare);
  CHECK(ok.on_packet("\0\1\0\2\0\0\0"sv));
  CHECK_FALSE(rows.on_packet("\1"sv));
  CHECK_FALSE(rows.on_packet("column"sv));
  CHECK_FALSE(rows.on_packet(eof));
  CHECK_FALSE(rows.on_packet("\xfe a row whose first value is long"sv));
  CHECK_FALSE(rows.on_packet("\xfb"sv));
  CHECK(rows.on_packet(eof));
  CHECK_FALSE(rows.failed());
  CHECK_FALSE(prepare.on_packet("\0\1\0\0\0\1\0\2\0\0\0\0"sv));
  CHECK_FALSE(prepare.on_packet("parameter"sv));
  CHECK_FALSE(prepare.on_packet("parameter"sv));
  CHECK_FALSE(prepare.on_packet(eof));
  CHECK_FALSE(prepare.on_packet("column"sv));
  CHECK(prepare.on_packet(eof));
  mysql::ResponseTracker local;
  CHECK_THROWS_AS(local.on_packet("\xfb/etc/passwd"sv), mysql::MalformedPacketError);
}

TEST_CASE("sql: the table group is the numeric suffix of the first table schema that has one") {
  using sql::table_group;
  CHECK(table_group("SELECT a FROM sales_17.orders") == 17);
  CHECK(table_group("select a from `sales_17`.`orders`") == 17);
  CHECK(table_group("INSERT INTO sales_17.orders SELECT * FROM staging.orders_9") == 17);
  CHECK(table_group("INSERT INTO staging.t SELECT * FROM big_3_12.orders") == 12);
  CHECK(table_group("SELECT 'x_1.y', \"z_2.w\" /* a_3.b */ -- c_4.d\n FROM e_5.f # g_6.h") == 5);
  CHECK(table_group("SELECT 'it''s \\' x_1.y' FROM e_5.f") == 5);
  CHECK(table_group("SELECT t_9.a FROM e_5.f AS t_9") == 5);  // An alias is not a schema.
  CHECK(table_group("SELECT a FROM (e_5.f)") == 5);
  CHECK(table_group("UPDATE `a``b_8`.t SET x = 1") == 8);
  CHECK(table_group("SELECT 1") == 0);
  CHECK(table_group("SELECT a FROM marks", "school_4") == 4);
  CHECK(table_group("SELECT a FROM other_6.marks", "school_4") == 6);
  test::parse_damaged("SELECT `a_1`.b, 'x' /* y */ FROM c_2.d -- z", [](const std::string& bytes) {
    (void)table_group(bytes);
    (void)sql::is_read_only(bytes);
    (void)sql::find_session_state(bytes);
  });
}

TEST_CASE("sql: only statements that are known to read are read-only") {
  using sql::is_read_only;
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
        "SELECT /*! 1; */ DELETE", "TRUNCATE t", "SELECT /*!99999 sleep(1), */ f(2)",
        "SELECT COUNT (a) FROM t", "SELECT y_2.upper(a) FROM t", "SELECT 1*/*'*/f(1)/*'*/"}) {
    INFO(write);
    CHECK_FALSE(is_read_only(write));
  }
}

TEST_CASE("sql: session statements are classified by their effect") {
  using sql::SessionStatement;
  const std::vector<std::pair<const char*, SessionStatement>> cases{
      {"SET AUTOCOMMIT = 0", SessionStatement::kAutocommitOff},
      {"set session autocommit=ON;", SessionStatement::kAutocommitOn},
      {"SET @@autocommit := false", SessionStatement::kAutocommitOff},
      {"SET GLOBAL autocommit = 0", SessionStatement::kNone},
      {"SET autocommit = 2", SessionStatement::kNone},
      {"SET autocommit = 0, sql_mode = ''", SessionStatement::kNone},
      {"SET NAMES utf8mb4", SessionStatement::kNoEffect},
      {"SET NAMES 'utf8'", SessionStatement::kNoEffect},
      {"SET NAMES latin1", SessionStatement::kNone},
      {"SET NAMES utf8mb4 COLLATE utf8mb4_bin", SessionStatement::kNone},
      {"SET character_set_results = NULL", SessionStatement::kNoEffect},
      {"COMMIT", SessionStatement::kEndTransaction},
      {"rollback work;", SessionStatement::kEndTransaction},
      {"COMMIT AND NO CHAIN NO RELEASE", SessionStatement::kEndTransaction},
      {"COMMIT AND CHAIN", SessionStatement::kNone},
      {"COMMIT RELEASE", SessionStatement::kNone},
      {"ROLLBACK TO SAVEPOINT a", SessionStatement::kNone},
      {"SET", SessionStatement::kNone},
      {"SET NAMES", SessionStatement::kNone},
      {"", SessionStatement::kNone}};
  for (const auto& [statement, expected] : cases) {
    INFO(statement);
    CHECK(sql::classify_session_statement(statement) == expected);
  }
}

TEST_CASE("mysql: the autocommit flag is cleared in every status, and all other bytes are unchanged") {
  std::uint8_t sequence = 1;
  std::string ok = mysql::split_into_packets(mysql::ok_payload(300, 70000), sequence);
  const std::string off = ok;
  mysql::clear_autocommit_status(ok);
  sequence = 1;
  CHECK(ok == mysql::split_into_packets(mysql::ok_payload(300, 70000, 0), sequence));
  sequence = 1;
  std::string rows =
      mysql::split_into_packets("\1", sequence) + mysql::split_into_packets("column", sequence);
  const std::string end(mysql::split_into_packets(std::string("\xfe\0\0\2\0", 5), sequence));
  // A row may begin with 0xfe or 0 and contain the same bit.
  const std::string row = mysql::split_into_packets(std::string("\0\xff\2\2\2", 5), sequence);
  std::string whole = rows + end + row + end;
  mysql::clear_autocommit_status(whole);
  std::string cleared = end;
  cleared[cleared.size() - 2] = '\0';
  CHECK(whole == rows + cleared + row + cleared);
}

TEST_CASE("sql: statements that depend on session state are detected") {
  using sql::find_session_state;
  for (const char* state :
       {"begin", "START TRANSACTION", "SET autocommit=0", "LOCK TABLES t READ",
        "CREATE TEMPORARY TABLE t (a INT)", "SELECT @a", "SELECT GET_LOCK('a', 1)",
        "SELECT a FROM t FOR UPDATE", "SELECT a FROM t LOCK IN SHARE MODE", "PREPARE s FROM 'x'",
        "USE school_4", "SHOW WARNINGS", "SELECT FOUND_ROWS()", "KILL 5", "/* a */ kill query 5"}) {
    INFO(state);
    CHECK(find_session_state(state));
  }
  for (const char* stateless :
       {"SELECT '@a begin'", "SELECT @@version_comment LIMIT 1", "INSERT INTO t VALUES ('lock')",
        "SELECT a FROM t;", "SELECT identity, `row_count` FROM t", "SELECT @@session.autocommit"}) {
    INFO(stateless);
    CHECK_FALSE(find_session_state(stateless));
  }
}

TEST_CASE("sql: every spelling of what an earlier statement left in its session is detected") {
  // Guards against the id or the warnings of another client's statement.
  for (const std::string name : {"identity", "last_insert_id", "Insert_Id", "warning_count", "ERROR_COUNT"}) {
    for (const std::string scope : {"@@", "@@session.", "@@LOCAL."}) {
      for (const std::string& variable : {scope + name, scope + "`" + name + "`"}) {
        INFO(variable);
        CHECK(sql::find_session_state("SELECT mark, " + variable + " FROM t"));
      }
    }
  }
  for (const char* state : {"SELECT `LAST_INSERT_ID`()", "SELECT `found_rows` ()", "SHOW COUNT(*) WARNINGS",
                            "show /* all */ count ( * ) errors", "SELECT `get_lock`('a', 1)",
                            "SELECT @@session .identity", "SELECT @@local. `identity`"}) {
    INFO(state);
    CHECK(sql::find_session_state(state));
  }
}

TEST_CASE("sql: a statement that may leave state in its session is recognized by its first words") {
  // Guards against a session with the open transaction of a procedure that is given to another client.
  using sql::may_change_session;
  for (const char* changing : {"CALL p()", "/* x */ call p()", "-- x\n CALL p()", "/*!50000 CALL p() */",
                               "(CALL p())", "SET a = 1", "BEGIN", "DO 1", "EXECUTE s",
                               "CREATE /* x */ TEMPORARY TABLE t (a INT)", "`CALL` p()", "XA START 'a'"}) {
    INFO(changing);
    CHECK(may_change_session(changing));
  }
  for (const char* neutral : {"SELECT 1", "((SELECT 1))", "/* CALL */ insert INTO t VALUES (1)", "",
                              "WITH a AS (SELECT 1) SELECT * FROM a", "CREATE TABLE t (a INT)"}) {
    INFO(neutral);
    CHECK_FALSE(may_change_session(neutral));
  }
  const std::string comment = "/*" + std::string(2000, 'x') + "*/";
  CHECK(may_change_session(comment + "SELECT 1"));
  CHECK(may_change_session("CREATE " + comment + " TEMPORARY TABLE t (a INT)"));
  CHECK_FALSE(may_change_session("SELECT '" + std::string(2000, 'x') + "'"));
}
