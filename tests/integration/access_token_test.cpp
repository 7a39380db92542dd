// Callers of the frame protocol who identify themselves by a token: rights, keys and revocations.
#include <catch2/catch.hpp>

#include "support/scenario.h"

namespace rookproxy::test {
namespace {

TEST_CASE("frames: a token lets its caller do what its role may, with its tenant's data alone") {
  run_scenario(R"(
    engines a
    access-key k ES256
    start
    token student k student
    token officer k officer
    client c
    send c as student request 1 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ queue=lookup
    answer a c 1 ok\n
    send c as student request 2 load 3000 INSERT INTO sales_17.orders VALUES (1)
    expect c denied 2 class
    send c as student request 3 lookup 3000 INSERT INTO sales_17.orders VALUES (1)
    expect c denied 3 write_as_read
    send c as student request 4 lookup 3000 SELECT x FROM sales_41.orders
    expect c denied 4 schema
    send c as student request 5 lookup 3000 SELECT x FROM orders
    expect c denied 5 tables
    send c as officer request 6 load 3000 INSERT INTO sales_41.orders VALUES (1)
    expect c denied 6 schema
    send c request 7 lookup 3000 SELECT x FROM sales_17.orders
    expect c denied 7 no_credentials
    expect a nothing 100
    send c as officer request 8 load 3000 INSERT INTO sales_17.orders VALUES (1)
    expect a REQ queue=load
    answer a c 8 ok\n
    expect figure denied.class=1
    expect figure tenant.addis.passed.lookup=1
    expect figure tenant.addis.dropped.load=2
    expect log denied="schema" subject="s-1" tenant="addis")");
}

TEST_CASE("frames: the token goes no further than the front, and no log has it") {
  run_scenario(R"(
    engines a
    access-key k EdDSA
    start
    token student k student {"sub":"the-subject"}
    client c
    send c as student request 1 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ queue=lookup
    answer a c 1 ok\n
    send c as student request 2 load 3000 SELECT 1
    expect c denied 2 class
    expect log the-subject
    expect nolog eyJ)");
}

TEST_CASE("frames: a token that expires in mid-session ends its next request, and a fresh one goes on") {
  // What is open when it expires ends as it would.
  run_scenario(R"(
    engines a
    access-key k RS256
    start
    token short k student {"exp":"+3"}
    client c
    send c as short request 1 lookup 9000 SELECT x FROM sales_17.orders
    expect a REQ
    wait 3100
    send c as short request 2 lookup 3000 SELECT x FROM sales_17.orders
    expect c denied 2 expired
    answer a c 1 ok\n
    token fresh k student
    send c as fresh request 3 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ
    answer a c 3 ok\n)");
}

TEST_CASE(
    "frames: keys overlap in a rotation, and a key that leaves takes its tokens along, also checked ones") {
  run_scenario(R"(
    engines a
    access
    key old ES256
    key new EdDSA
    publish old
    start
    token one old student
    token two new student
    client c
    send c as one request 1 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ
    answer a c 1 ok\n
    send c as two request 2 lookup 3000 SELECT x FROM sales_17.orders
    expect c denied 2 unknown_key
    publish old new
    expect log keys="2"
    send c as one request 3 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ
    answer a c 3 ok\n
    send c as two request 4 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ
    answer a c 4 ok\n
    publish new
    expect log keys="1" tenants="2" dropped_tokens="1"
    send c as one request 5 lookup 3000 SELECT x FROM sales_17.orders
    expect c denied 5 unknown_key
    send c as two request 6 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ
    answer a c 6 ok\n)");
}

TEST_CASE("frames: a token that was taken back, or whose subject was, is refused though it was checked") {
  run_scenario(R"(
    engines a
    access-key k ES256
    start
    token one k student
    token two k student {"jti":"j-2","sub":"s-2"}
    client c
    send c as one request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 ok\n
    revoke jti j-1
    expect log dropped_tokens="1"
    denied-lookup c one 2 revoked
    send c as two request 3 lookup 3000 SELECT 1
    expect a REQ
    answer a c 3 ok\n
    revoke sub s-2
    wait 300
    denied-lookup c two 4 revoked)");
}

TEST_CASE("frames: keys and rights are taken whole or not at all, and what is open goes on") {
  run_scenario(R"(
    engines a
    access-key k ES256
    start
    token one k student
    client c
    send c as one request 1 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ
    configure {"broken
    expect log configuration reload failed
    spoil {"keys":[{"kty":"EC"
    expect log credential reload failed
    answer a c 1 ok\n
    send c as one request 2 lookup 3000 SELECT x FROM sales_17.orders
    expect a REQ
    publish k
    expect log keys and access rights reloaded
    set /access/tenants/0/groups ["1-16"]
    configure
    expect log configuration reloaded
    answer a c 2 ok\n
    send c as one request 3 lookup 3000 SELECT x FROM sales_17.orders
    expect c denied 3 schema
    expect figure load_errors=2)");
}

TEST_CASE("frames: what is no token of ours is refused by name, and who sends nothing else is let go") {
  run_scenario(R"(
    engines a
    access
    key k ES256
    key other ES256
    publish k
    start
    token good k student
    token foreign k student {"iss":"https://elsewhere"}
    token meant k student {"aud":["a","b"]}
    token endless k student {"exp":null}
    token early k student {"nbf":"+60"}
    token nobody k student {"sub":null}
    token janitor k janitor
    token nowhere k student {"tenant":"mekelle"}
    token stranger other student
    client c
    denied-lookup c foreign 1 issuer
    denied-lookup c meant 2 audience
    denied-lookup c endless 3 no_expiry
    denied-lookup c early 4 not_yet
    denied-lookup c nobody 5 no_subject
    denied-lookup c janitor 6 no_role
    denied-lookup c nowhere 7 tenant
    denied-lookup c stranger 8 unknown_key
    send c as good request 9 lookup 3000 SELECT 1
    expect a REQ
    denied-lookup c a.b.c 10 malformed
    denied-lookup c x 11 malformed
    denied-lookup c .. 12 malformed
    expect c goaway
    denied-lookup c good 13 malformed
    answer a c 9 ok\n
    expect c error
    expect c closed
    expect a nothing 50)");
}

TEST_CASE("frames: keys rotate under load from 50 connections, and no valid caller is refused") {
  run_scenario(R"(
    lines-engines a b
    access
    key old ES256
    key new EdDSA
    key stranger ES256
    publish old
    start
    rotate under load from 50)");
}

}  // namespace
}  // namespace rookproxy::test
