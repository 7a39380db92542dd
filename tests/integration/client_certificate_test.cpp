// Callers of the frame protocol over TLS: client certificates, revocation lists, renewal.
#include <catch2/catch.hpp>
#include <string>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("frames: in TLS, a client certificate stands for its caller, and a token for another") {
  run_scenario(R"(
    engines a
    access-key k ES256
    tls frames optional
    certificate officer URI:urn:test:officer
    certificate pupil
    certificate unknown URI:urn:test:unknown
    start
    token student k student
    client o tls officer
    send o request 1 load 3000 INSERT INTO sales_17.orders VALUES (1)
    expect a REQ queue=load
    answer a o 1 ok\n
    send o request 2 load 3000 INSERT INTO sales_41.orders VALUES (1)
    expect o denied 2 schema
    send o as student request 3 load 3000 INSERT INTO sales_17.orders VALUES (1)
    expect o denied 3 class
    client p tls pupil
    send p request 1 load 3000 INSERT INTO sales_17.orders VALUES (1)
    expect p denied 1 class
    send p request 2 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ queue=lookup
    answer a p 2 ok\n
    client u tls unknown
    send u request 1 lookup 3000 SELECT 1
    expect u denied 1 unmapped
    expect u goaway
    client n tls
    send n request 1 lookup 3000 SELECT 1
    expect n denied 1 no_credentials
    client plain
    send plain request 1 lookup 3000 SELECT 1
    expect plain closed
    expect a nothing 50)");
}

TEST_CASE("frames: a large answer and a large request pass in TLS, in pieces") {
  const std::string wide(200'000, 'w');
  run_scenario(R"(
    engines a
    access
    tls frames required
    certificate officer URI:urn:test:officer
    key k ES256
    publish k
    start
    client o tls officer
    send o slowly 200 request 1 load 9000 INSERT INTO sales_17.orders VALUES (')" +
               wide + R"(')
    expect a REQ
    send a data parts=1 )" +
               wide.substr(0, 5000) + R"(
    expect o served 1 )" +
               wide.substr(0, 5000));
}

TEST_CASE(
    "frames: a certificate that was revoked asks for nothing more, and its connection ends once nothing is "
    "open") {
  run_scenario(R"(
    engines a
    access-key k ES256
    tls frames required crl
    certificate officer URI:urn:test:officer
    certificate pupil
    start
    client o tls officer
    client idle tls officer
    client p tls pupil
    send idle ready 1
    expect idle ready 0
    send o request 1 lookup 3000 SELECT 1
    expect a REQ
    revoke certificate officer
    expect log keys and access rights reloaded
    expect idle goaway
    expect idle error
    expect idle closed
    expect o goaway
    send o request 2 lookup 3000 SELECT 1
    expect o denied 2 revoked
    answer a o 1 ok\n
    expect o error
    expect o closed
    send p request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a p 1 ok\n
    client again tls officer
    send again request 1 lookup 3000 SELECT 1
    expect again closed
    expect a nothing 50)");
}

TEST_CASE("frames: certificates of strangers, of servers, over or not yet begun are not let in") {
  run_scenario(R"(
    engines a
    access-key k ES256
    tls frames required
    certificate foreign URI:urn:test:officer -10 100 stranger
    certificate serves URI:urn:test:officer -10 100 server
    certificate over URI:urn:test:officer -100 -10
    certificate early URI:urn:test:officer 100 200
    start
    client a1 tls foreign
    expect a1 closed
    client a2 tls serves
    expect a2 closed
    client a3 tls over
    expect a3 closed
    client a4 tls early
    expect a4 closed
    client a5 tls
    expect a5 closed)");
}

TEST_CASE("frames: a certificate that ends in mid-session asks for nothing more") {
  run_scenario(R"(
    engines a
    access-key k ES256
    tls frames required
    certificate officer URI:urn:test:officer -10 4
    start
    client o tls officer
    send o request 1 lookup 9000 SELECT 1
    expect a REQ
    wait 4100
    send o request 2 lookup 3000 SELECT 1
    expect o denied 2 expired
    answer a o 1 ok\n)");
}

TEST_CASE(
    "frames: with a list that is too old nobody is let in by a certificate, until a fresh one is there") {
  run_scenario(R"(
    engines a
    access-key k ES256
    tls frames required crl
    certificate officer URI:urn:test:officer
    crl 5
    start
    client o tls officer
    send o request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a o 1 ok\n
    wait 5100
    send o request 2 lookup 3000 SELECT 1
    expect o denied 2 revocation_unknown
    client late tls officer
    expect late closed
    crl 3600
    expect log keys and access rights reloaded
    client fresh tls officer
    send fresh request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a fresh 1 ok\n
    crl 3600 -60
    expect log older than the list
    expect figure load_errors=1)");
}

TEST_CASE("frames: the server's certificate is replaced in service, and connections under the former go on") {
  run_scenario(R"(
    engines a
    access-key k ES256
    tls frames required
    certificate officer URI:urn:test:officer
    start
    client o tls officer
    send o request 1 lookup 3000 SELECT 1
    expect a REQ
    renew
    expect log keys and access rights reloaded
    answer a o 1 ok\n
    send o request 2 lookup 3000 SELECT 1
    expect a REQ
    answer a o 2 ok\n
    client n tls officer
    send n request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a n 1 ok\n)");
}

}  // namespace
}  // namespace rookproxy::test
