// Callers of the MySQL protocol: tokens and client certificates over TLS.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("mysql: callers log in by token in TLS alone, as themselves, and may what their roles may") {
  run_scenario(R"(
    mysql-engines a b
    access-key k ES256
    tls mysql
    start
    token student k student
    token officer k officer {"sub":"s-2"}
    token over k student {"exp":"-1"}
    mysql m denied
    mysql w tls s-2 as student denied
    mysql x tls s-1 as over denied
    mysql y tls s-1 as nonsense denied
    mysql m tls s-1 as student in sales_17
    send m query SELECT rows_2 FROM orders
    expect m rows 2
    send m query SELECT rows_2 FROM sales_41.orders
    expect m error 1142 not the caller's
    send m query INSERT INTO orders VALUES (1)
    expect m error 1142 may not ask
    send m query SELECT f(1)
    expect m error 1142
    send m command 0273616c65735f3431
    expect m error 1044 sales_41
    send m prepare SELECT rows_2 FROM sales_41.orders WHERE a = ?
    expect m error 1142 not the caller's
    send m prepare SELECT rows_2 FROM orders WHERE a = ?
    expect m prepared
    send m execute 1 5
    expect m rows 2
    mysql o tls s-2 as officer
    send o query INSERT INTO sales_17.orders VALUES (1)
    expect o ok
    send o query INSERT INTO sales_41.orders VALUES (1)
    expect o error 1142
    mysql p tls school
    send p query INSERT INTO sales_17.orders VALUES (2)
    expect p ok
    expect executed 2 INSERT
    expect executed 0 sales_41
    expect prepared 1 orders
    expect figure denied.wrong_user=1
    expect figure tenant.addis.passed.load=2
    expect nolog eyJ)");
}

TEST_CASE(
    "mysql: a token that expires in mid-session is refused, and a fresh one goes on in the same session") {
  run_scenario(R"(
    mysql-engines a b
    access-key k EdDSA
    tls mysql
    start
    token short k student {"exp":"+3"}
    mysql m tls s-1 as short in sales_17
    wait 1500
    send m query SELECT sleep_2000 rows_1 FROM orders
    wait 1700
    expect m rows 1
    send m query SELECT rows_1 FROM orders
    expect m error 1045 expired
    token fresh k student
    send m user s-1 fresh
    send m query SELECT rows_1 FROM sales_17.orders
    expect m rows 1
    send m query SELECT rows_1 FROM orders
    expect m error 1142
    send m user s-1 short denied
    expect m closed)");
}

TEST_CASE("mysql: keys rotate and revocations hold in open sessions") {
  run_scenario(R"(
    mysql-engines a b
    access
    key old ES256
    key new RS256
    publish old new
    tls mysql
    start
    token one old student
    token two new student {"jti":"j-2"}
    mysql m tls s-1 as one in sales_17
    mysql n tls s-1 as two in sales_17
    send m query SELECT rows_1 FROM orders
    expect m rows 1
    publish new
    expect log keys="1"
    send m query SELECT rows_1 FROM orders
    expect m error 1045 no key
    send n query SELECT rows_1 FROM orders
    expect n rows 1
    revoke jti j-2
    expect log dropped_tokens="1"
    wait 300
    send n query SELECT rows_1 FROM orders
    expect n error 1045 revoked)");
}

TEST_CASE("mysql: a client certificate stands for its caller until it is revoked, also in an idle session") {
  run_scenario(R"(
    mysql-engines a b
    access-key k ES256
    tls mysql optional crl
    certificate officer URI:urn:test:officer
    certificate pupil
    start
    mysql m tls anybody with officer in sales_17
    send m query INSERT INTO orders VALUES (1)
    expect m ok
    mysql p tls anybody with pupil in sales_17
    send p query INSERT INTO orders VALUES (1)
    expect p error 1142
    send p query SELECT rows_1 FROM orders
    expect p rows 1
    mysql busy tls anybody with officer in sales_17
    send busy query SELECT sleep_1000 rows_1 FROM orders
    revoke certificate officer
    expect log keys and access rights reloaded
    expect m closed
    expect busy rows 1
    expect busy closed
    send p query SELECT rows_1 FROM orders
    expect p rows 1
    mysql again tls anybody with pupil in sales_17
    send again query SELECT rows_1 FROM orders
    expect again rows 1)");
}

TEST_CASE("mysql: PyMySQL logs in by token over TLS") {
  run_scenario(R"(
    mysql-engines a b
    access-key k ES256
    tls mysql
    start
    token t k student
    driver pymysql_token.py t s-1)");
}

}  // namespace
}  // namespace rookproxy::test
