// Who is calling: the decisions, without sockets.
#include <catch2/catch.hpp>

#include "policy/access.h"
#include "policy/check_queue.h"
#include "policy/revocation.h"
#include "policy/token.h"
#include "policy/token_cache.h"
#include "sql/tables.h"

namespace rookproxy {
namespace {

using namespace policy;
using namespace std::chrono_literals;
using sql::Dialect;

const Time kNow{std::chrono::hours(500'000)};

AccessPolicy example_policy() {
  AccessPolicy policy;
  policy.roles = {
      {"student", {"lookup"}, false}, {"teacher", {"lookup", "report"}, false}, {"officer", {"*"}, true}};
  policy.tenants = {{"addis", {"marks_*", "staging"}, {{1, 40}, {77, 77}}},
                    {"gondar", {"marks_*"}, {{41, 60}}}};
  return policy;
}

Identity caller(std::string role, std::string tenant = "addis") {
  Identity identity;
  identity.credential_kind = CredentialKind::kToken;
  identity.subject = "s-1";
  identity.tenant = std::move(tenant);
  identity.roles = {std::move(role)};
  identity.not_after = kNow + 60s;
  return identity;
}

Denial asks(const Identity& identity, const std::string& cls, const std::string& statement,
            const std::string& schema = "") {
  const auto facts = sql::analyze_statement(statement, schema, Dialect::kMysql);
  return authorize(example_policy(), identity, {cls, cls == "load", &facts}, kNow);
}

}  // namespace

TEST_CASE("access: a student reads his tenant's lookups, and nothing else") {
  const auto student = caller("student");
  CHECK(asks(student, "lookup", "SELECT a FROM marks_17.pupils") == Denial::kNone);
  CHECK(asks(student, "report", "SELECT a FROM marks_17.pupils") == Denial::kClassNotAllowed);
  CHECK(asks(student, "load", "INSERT INTO marks_17.pupils VALUES (1)") == Denial::kClassNotAllowed);
  // What the statement does decides, not what its sender calls it.
  CHECK(asks(student, "lookup", "INSERT INTO marks_17.pupils VALUES (1)") == Denial::kWriteInReadClass);
  CHECK(asks(student, "lookup", "SELECT a FROM marks_17.pupils; DELETE FROM marks_17.pupils") ==
        Denial::kWriteInReadClass);
  CHECK(asks(student, "lookup", "SELECT a FROM marks_41.pupils") == Denial::kSchemaNotAllowed);
  CHECK(asks(student, "lookup", "SELECT a FROM pupils") == Denial::kUnresolvedTables);
  CHECK(asks(student, "lookup", "SELECT a FROM pupils", "marks_17") == Denial::kNone);
  CHECK(asks(student, "lookup", "SELECT a FROM pupils", "marks_41") == Denial::kSchemaNotAllowed);
  CHECK(asks(student, "lookup", "SELECT 1") == Denial::kNone);
}

TEST_CASE("access: only officers load, and only their own tenant's data") {
  CHECK(asks(caller("officer"), "load", "INSERT INTO marks_17.pupils VALUES (1)") == Denial::kNone);
  CHECK(asks(caller("officer"), "lookup", "INSERT INTO marks_17.pupils VALUES (1)") ==
        Denial::kWriteInReadClass);
  CHECK(asks(caller("officer"), "load", "INSERT INTO marks_41.pupils VALUES (1)") ==
        Denial::kSchemaNotAllowed);
  CHECK(asks(caller("officer"), "load", "INSERT INTO staging.raw SELECT * FROM marks_41.pupils") ==
        Denial::kSchemaNotAllowed);
  CHECK(asks(caller("officer"), "load", "CALL marks_17.everything()") == Denial::kUnresolvedTables);
  CHECK(asks(caller("teacher"), "load", "INSERT INTO marks_17.pupils VALUES (1)") ==
        Denial::kClassNotAllowed);
  // Two roles do not add up to a right that neither has.
  auto both = caller("student");
  both.roles = {"student", "teacher"};
  CHECK(asks(both, "load", "INSERT INTO marks_17.pupils VALUES (1)") == Denial::kClassNotAllowed);
}

TEST_CASE("access: an identity is judged anew each time") {
  auto one = caller("student");
  one.not_after = kNow;
  CHECK(asks(one, "lookup", "SELECT 1") == Denial::kExpired);
  CHECK(asks(caller("janitor"), "lookup", "SELECT 1") == Denial::kNoKnownRole);
  CHECK(asks(caller("student", "mekelle"), "lookup", "SELECT 1") == Denial::kUnknownTenant);
  CHECK(asks(Identity(), "lookup", "SELECT 1") == Denial::kNoCredentials);
  auto nobody = caller("student");
  nobody.subject.clear();
  CHECK(asks(nobody, "lookup", "SELECT 1") == Denial::kNoSubject);
}

TEST_CASE("access: groups bound what a pattern stands for") {
  const Tenant tenant = example_policy().tenants[0];
  CHECK(tenant.owns_schema("marks_1"));
  CHECK(tenant.owns_schema("marks_40"));
  CHECK(tenant.owns_schema("marks_a_77"));
  CHECK(tenant.owns_schema("staging"));
  for (const char* other :
       {"marks_0", "marks_41", "marks_", "marks_x", "marks_017", "marks_1x", "marks_+1",
        "marks_99999999999999999999", "Marks_1", "staging2", "stagin", "", "information_schema"}) {
    INFO(other);
    CHECK_FALSE(tenant.owns_schema(other));
  }
}

TEST_CASE("access: each denial has a word of its own and a text") {
  std::vector<std::string_view> words;
  for (int i = static_cast<int>(kFirstDenial); i <= static_cast<int>(kLastDenial); ++i) {
    const auto word = reason_code(static_cast<Denial>(i));
    CHECK_FALSE(word.empty());
    CHECK_FALSE(reason_message(static_cast<Denial>(i)).empty());
    CHECK(std::find(words.begin(), words.end(), word) == words.end());
    words.push_back(word);
  }
}

TEST_CASE("sql: the schemas that a statement touches are made out") {
  using List = std::vector<std::string>;
  const std::vector<std::pair<const char*, List>> cases{
      {"SELECT a FROM x_1.t", {"x_1"}},
      {"SELECT a FROM `x_1` . `t` AS q WHERE q.a = 'FROM y_2.t'", {"x_1"}},
      {"SELECT 1 -- FROM y_2.t", {}},
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
      {"SELECT 'it''s', 'O\\'Brien' FROM x_1.t", {"x_1"}}};
  for (const auto& [statement, schemas] : cases) {
    const auto facts = sql::analyze_statement(statement, "", Dialect::kMysql);
    INFO(statement << " -- " << facts.unresolved_reason);
    CHECK(facts.tables_resolved);
    CHECK(facts.schemas == schemas);
  }
}

TEST_CASE("sql: what could hide a table is unknown, and counts as a write where it could hide one") {
  // Each of these is run by some server or mode as something else than it looks like, or names tables in a
  // form that is not read here: a caller must not reach another tenant's data by it.
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
    const auto facts = sql::analyze_statement(statement, "x_1", Dialect::kMysql);
    INFO(statement);
    CHECK_FALSE(facts.tables_resolved);
    CHECK_FALSE(facts.unresolved_reason.empty());
  }
  const std::string deep(5000, '(');
  CHECK_FALSE(sql::analyze_statement("SELECT " + deep, "", Dialect::kMysql).tables_resolved);
  CHECK_FALSE(sql::analyze_statement("SELECT a FROM " + deep, "", Dialect::kMysql).tables_resolved);
  CHECK_FALSE(sql::analyze_statement(deep, "", Dialect::kMysql).tables_resolved);
  // Of an unknown engine also what only other dialects read otherwise.
  for (const char* statement :
       {"SELECT 'a\\' FROM y_2.t -- '", "SELECT $$ ' $$ FROM y_2.t -- '", "SELECT 1 --1 FROM y_2.t",
        "SELECT 1 # FROM y_2.t", "SELECT a FROM x_1.t WHERE [b]"}) {
    INFO(statement);
    CHECK_FALSE(sql::analyze_statement(statement, "x_1", Dialect::kAny).tables_resolved);
    CHECK(sql::analyze_statement(statement, "x_1", Dialect::kAny).effect == StatementEffect::kWrites);
  }
}

TEST_CASE("token: the key is chosen by its id, and it says which algorithm is taken") {
  const std::vector<KeyMetadata> keys{{"old", Algorithm::kEs256, {}, kNow - 1s, "p1"},
                                      {"now", Algorithm::kEs256, kNow - 10s, kNow + 10s, "p2"},
                                      {"rsa", Algorithm::kRs256, {}, {}, "p3"},
                                      {"next", Algorithm::kEdDsa, kNow + 10s, {}, "p4"}};
  const auto choose = [&](TokenHeader header, Duration leeway = 0s) {
    return select_key(header, keys, kNow, leeway).denial;
  };
  CHECK(choose({"ES256", "now", "JWT"}) == Denial::kNone);
  CHECK(choose({"RS256", "rsa", ""}) == Denial::kNone);
  CHECK(choose({"ES256", "rsa", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"none", "now", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"HS256", "rsa", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"es256", "now", ""}) == Denial::kAlgorithmNotAccepted);
  CHECK(choose({"ES256", "", ""}) == Denial::kUnknownKey);
  CHECK(choose({"ES256", "old", ""}) == Denial::kUnknownKey);
  CHECK(choose({"ES256", "old", ""}, 2s) == Denial::kNone);
  CHECK(choose({"EdDSA", "next", ""}) == Denial::kUnknownKey);
  CHECK(choose({"EdDSA", "next", ""}, 11s) == Denial::kNone);
  CHECK(choose({"ES256", "now", "", true, false}) == Denial::kCriticalExtension);
  CHECK(choose({"ES256", "now", "", false, true}) == Denial::kUnknownKey);
}

namespace {

TokenRules rules() { return {{"https://id"}, "rookproxy", 5s, 0s}; }

TokenClaims claims() {
  const double now = static_cast<double>(kNow.time_since_epoch().count()) / 1e6;
  TokenClaims claims;
  claims.issuer = "https://id";
  claims.subject = "s-1";
  claims.tenant = "addis";
  claims.audience = {"other", "rookproxy"};
  claims.roles = {"student"};
  claims.expires = now + 60;
  claims.issued_at = now - 60;
  claims.id = "j-1";
  return claims;
}

}  // namespace

TEST_CASE("token: what it says is judged against rules and time") {
  const double now = *claims().expires - 60;
  const auto judge = [](auto change) {
    TokenClaims one = claims();
    change(one);
    return validate_claims(one, rules(), {{"j-bad"}, {"s-bad"}}, kNow);
  };
  CHECK(judge([](auto&) {}) == Denial::kNone);
  CHECK(judge([](auto& c) { c.issuer = "https://id/"; }) == Denial::kUntrustedIssuer);
  CHECK(judge([](auto& c) { c.issuer.clear(); }) == Denial::kUntrustedIssuer);
  CHECK(judge([](auto& c) { c.audience = {"other"}; }) == Denial::kWrongAudience);
  CHECK(judge([](auto& c) { c.audience.clear(); }) == Denial::kWrongAudience);
  CHECK(judge([](auto& c) { c.expires.reset(); }) == Denial::kNoExpiry);
  CHECK(judge([](auto& c) { c.expires = 1e300; }) == Denial::kNoExpiry);
  CHECK(judge([](auto& c) { c.expires = -1; }) == Denial::kNoExpiry);
  CHECK(judge([&](auto& c) { c.expires = now - 4; }) == Denial::kNone);
  CHECK(judge([&](auto& c) { c.expires = now - 5; }) == Denial::kExpired);
  CHECK(judge([&](auto& c) { c.not_before = now + 4; }) == Denial::kNone);
  CHECK(judge([&](auto& c) { c.not_before = now + 6; }) == Denial::kNotYetValid);
  CHECK(judge([](auto& c) { c.not_before = 1e300; }) == Denial::kNotYetValid);
  CHECK(judge([&](auto& c) { c.issued_at = now + 6; }) == Denial::kNotYetValid);
  CHECK(judge([](auto& c) { c.subject.clear(); }) == Denial::kNoSubject);
  CHECK(judge([](auto& c) { c.id = "j-bad"; }) == Denial::kRevoked);
  CHECK(judge([](auto& c) { c.subject = "s-bad"; }) == Denial::kRevoked);
  TokenRules bounded = rules();
  bounded.max_lifetime = 100s;
  CHECK(validate_claims(claims(), bounded, {}, kNow) == Denial::kNoExpiry);
  bounded.max_lifetime = 121s;
  CHECK(validate_claims(claims(), bounded, {}, kNow) == Denial::kNone);
  // A token is good no longer than its key.
  const auto identity =
      identity_from_claims(claims(), rules(), {"k", Algorithm::kEs256, {}, kNow + 10s, "p"});
  CHECK(*identity.not_after == kNow + 15s);
}

TEST_CASE("token cache: it holds what is good, within its bounds, and forgets what is over") {
  TokenCache cache({3, 1u << 20, 16, 5s}, 42);
  const auto entry = [](Duration life, const std::string& key = "k") {
    auto one = std::make_shared<VerifiedCredential>();
    one->claims = claims();
    one->identity = caller("student");
    one->identity.not_after = kNow + life;
    one->key_id = key;
    one->key_fingerprint = "p-" + key;
    return one;
  };
  cache.put("a", entry(10s));
  cache.put("b", entry(20s, "other"));
  cache.put("c", entry(30s));
  CHECK(cache.find("a", kNow));
  cache.put("d", entry(30s));  // 'b' is the longest unused
  CHECK(cache.size() == 3);
  CHECK_FALSE(cache.find("b", kNow));
  CHECK_FALSE(cache.find("aa", kNow));
  CHECK_FALSE(cache.find("", kNow));
  CHECK_FALSE(cache.find("a", kNow + 10s));
  CHECK(cache.size() == 2);
  cache.put("e", entry(30s, "other"));
  // A key that is gone takes its tokens along, and one that came back changed under its id as well.
  CHECK(cache.revalidate(
            {{"k", Algorithm::kEs256, {}, {}, "p-k"}, {"other", Algorithm::kEs256, {}, {}, "changed"}},
            rules(), {}, kNow) == 1);
  CHECK(cache.find("c", kNow));
  CHECK_FALSE(cache.find("e", kNow));
  CHECK(cache.revalidate({{"k", Algorithm::kEs256, {}, {}, "p-k"}}, rules(), {{"j-1"}, {}}, kNow) == 2);
  CHECK(cache.size() == 0);
  CHECK(cache.bytes() == 0);
  // Never more bytes than allowed, whatever the tokens' sizes.
  TokenCache small({1000, 10'000, 16, 5s}, 1);
  for (int i = 0; i < 300; ++i) {
    small.put(std::string(static_cast<std::size_t>(i * 37 % 900), 'x') + std::to_string(i), entry(10s));
    REQUIRE(small.bytes() <= 10'000);
  }
  CHECK(small.size() > 0);
  small.put_invalid("bad", kNow);
  CHECK(small.is_known_invalid("bad", kNow + 4s));
  CHECK_FALSE(small.is_known_invalid("bad", kNow + 5s));
  CHECK_FALSE(small.is_known_invalid("good", kNow));
  small.put_invalid("bad", kNow);
  small.revalidate({}, rules(), {}, kNow);
  CHECK_FALSE(small.is_known_invalid("bad", kNow));
}

TEST_CASE("check queue: a flood of bad tokens leaves proven and fresh sources their turn") {
  CheckQueue::Limits limits;
  CheckQueue queue(limits);
  Time now = kNow;
  CHECK(queue.admit(1, 1, now) == CheckQueue::Admission::kRunNow);
  CHECK_FALSE(queue.record_check(1, 100us, true, now));
  // 200 sources send a bad token each, far beyond the budget.
  std::uint64_t id = 100;
  for (CheckQueue::SourceId source = 1000; source < 1200; ++source) {
    if (queue.admit(id, source, now) == CheckQueue::Admission::kRunNow)
      queue.record_check(source, 500us, false, now);
    ++id;
  }
  CHECK(queue.waiting_count() > 100);
  // One that is proven needs no turn among them.
  CHECK(queue.admit(2, 1, now) == CheckQueue::Admission::kRunNow);
  queue.record_check(1, 100us, true, now);
  // A flood of one fresh source does not put another behind all of it.
  for (int i = 0; i < 20; ++i) queue.admit(id++, 5000, now);
  queue.admit(7, 6000, now);
  std::vector<CheckQueue::CheckId> order;
  while (order.size() < 200 && queue.waiting_count() > 0) {
    now += 5ms;
    while (const auto next = queue.take_next(now)) {
      order.push_back(*next);
      queue.record_check(*next == 7 ? 6000 : 1000 + (*next - 100), 500us, false, now);
    }
    if (std::find(order.begin(), order.end(), 7u) != order.end()) break;
  }
  REQUIRE(!order.empty());
  CHECK(order.back() == 7);
  CHECK(std::count_if(order.begin(), order.end(), [&](auto one) { return one >= 300; }) <= 2);
}

TEST_CASE("check queue: what checks take of the processor stays within its share") {
  CheckQueue::Limits limits;
  CheckQueue queue(limits);
  Time now = kNow;
  Duration spent{};
  std::uint64_t id = 1;
  for (int ms = 0; ms < 2000; ++ms, now += 1ms) {
    for (int i = 0; i < 10; ++i, ++id) {
      // 10,000 a second, each from a new source.
      if (queue.admit(id, id, now) != CheckQueue::Admission::kRunNow) continue;
      queue.record_check(id, 100us, false, now);
      spent += 100us;
    }
    while (const auto next = queue.take_next(now)) {
      queue.record_check(*next, 100us, false, now);
      spent += 100us;
    }
    for (const auto late : queue.take_overdue(now)) (void)late;
    REQUIRE(queue.waiting_count() <= limits.max_waiting + 1);
  }
  CHECK(spent <= 2000ms * limits.cpu_share + limits.burst + 100us);
  CHECK(spent >= 2000ms * limits.cpu_share * 0.9);
}

TEST_CASE("check queue: who waits too long is told, who is gone is forgotten, bad sources are closed") {
  CheckQueue queue(CheckQueue::Limits{});
  CHECK(queue.admit(1, 1, kNow) == CheckQueue::Admission::kRunNow);
  queue.record_check(1, 10s, false, kNow);  // deep in debt
  CHECK(queue.admit(2, 2, kNow) == CheckQueue::Admission::kWait);
  CHECK(queue.admit(3, 3, kNow + 500ms) == CheckQueue::Admission::kWait);
  CHECK(*queue.next_wake_time(kNow) == kNow + 1s);
  CHECK(queue.take_overdue(kNow + 999ms).empty());
  CHECK(queue.take_overdue(kNow + 1s) == std::vector<CheckQueue::CheckId>{2});
  queue.remove_source(3);
  CHECK(queue.waiting_count() == 0);
  CHECK_FALSE(queue.next_wake_time(kNow));
  CHECK_FALSE(queue.take_next(kNow + 200s));
  CHECK_FALSE(queue.record_check(9, 1us, false, kNow));
  CHECK_FALSE(queue.record_check(9, 1us, false, kNow));
  CHECK(queue.record_check(9, 1us, false, kNow));
  CHECK_FALSE(queue.record_check(9, 1us, true, kNow));
  queue.record_check(1, 10s, false, kNow + 200s);  // in debt again, and longer than these wait
  queue.record_check(9, 10s, true, kNow + 200s);
  for (std::uint64_t id = 10; id < 42; ++id) CHECK(queue.admit(id, 7, kNow) == CheckQueue::Admission::kWait);
  CHECK(queue.admit(50, 7, kNow) == CheckQueue::Admission::kRejected);
  CHECK(queue.retry_after() >= 50ms);
  queue.cancel(10);
  CHECK(queue.admit(50, 7, kNow) == CheckQueue::Admission::kWait);
}

TEST_CASE("revocation: a list that is missing or too old fails closed, after its grace") {
  const CrlTimes crl{kNow - 60s, kNow};
  const auto judge = [&](Time now) { return revocation_status(crl, now, 30s, 5s); };
  CHECK(judge(kNow - 1s) == RevocationStatus::kFresh);
  CHECK(judge(kNow) == RevocationStatus::kInGracePeriod);
  CHECK(judge(kNow + 29s) == RevocationStatus::kInGracePeriod);
  CHECK(judge(kNow + 30s) == RevocationStatus::kExpired);
  CHECK(judge(kNow - 66s) == RevocationStatus::kNotYetValid);
  CHECK(judge(kNow - 65s) == RevocationStatus::kFresh);
  CHECK(revocation_status(std::nullopt, kNow, 30s, 5s) == RevocationStatus::kMissing);
  CHECK(revocation_status(CrlTimes{kNow - 60s, {}}, kNow + 1000h, 30s, 5s) == RevocationStatus::kFresh);
  CHECK(fails_closed(RevocationStatus::kExpired));
  CHECK(fails_closed(RevocationStatus::kMissing));
  CHECK(fails_closed(RevocationStatus::kNotYetValid));
  CHECK_FALSE(fails_closed(RevocationStatus::kInGracePeriod));
  CHECK(may_replace(crl, {kNow - 60s, {}}));
  CHECK_FALSE(may_replace(crl, {kNow - 61s, {}}));
  CHECK(may_replace(std::nullopt, {kNow, {}}));
}

}  // namespace rookproxy
