// The login at an engine: what is sent for each packet of the connection phase.
#include "upstream/mysql_login.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "mysql/protocol.h"

namespace rookproxy {
namespace {

using Kind = MysqlLoginStep::Kind;

constexpr std::string_view kNonce = "abcdefghijklmnopqrst";
const MysqlAccount kAccount{"rookproxy", "engine-secret", "school"};

std::string make_greeting(std::string_view plugin, std::uint32_t capabilities = mysql::kCapabilities) {
  mysql::Greeting greeting;
  greeting.connection_id = 9;
  greeting.capabilities = capabilities;
  greeting.nonce = kNonce;
  greeting.plugin = plugin;
  greeting.version = "8.0";
  return mysql::greeting_payload(greeting);
}

// A login that has answered a greeting.
MysqlLogin make_greeted_login() {
  MysqlLogin login;
  (void)login.handle_packet(make_greeting(mysql::kCachingSha2), kAccount);
  return login;
}

TEST_CASE("mysql login: a greeting is answered with the account and the proof of its password") {
  MysqlLogin login;
  const MysqlLoginStep step = login.handle_packet(make_greeting(mysql::kCachingSha2), kAccount);
  REQUIRE(step.kind == Kind::kSend);
  const mysql::Login sent = mysql::parse_login(step.payload);
  CHECK(sent.user == kAccount.user);
  CHECK(sent.plugin == mysql::kCachingSha2);
  CHECK(sent.auth_response == mysql::make_auth_response(mysql::kCachingSha2, kAccount.password, kNonce));
  CHECK(sent.schema.empty());  // chosen for each statement
  CHECK(login.engine_connection_id() == 9);
  CHECK(login.handle_packet(mysql::ok_payload(), kAccount).kind == Kind::kComplete);
}

TEST_CASE("mysql login: an unknown plugin of the greeting is replaced, one that is asked for is an error") {
  MysqlLogin login;
  const MysqlLoginStep step = login.handle_packet(make_greeting("sha256_password"), kAccount);
  CHECK(mysql::parse_login(step.payload).plugin == mysql::kNativePassword);
  const std::string switch_request = "\xfesha256_password" + std::string(1, '\0') + std::string(kNonce);
  CHECK_THROWS_AS(login.handle_packet(switch_request, kAccount), mysql::MalformedPacketError);
}

TEST_CASE("mysql login: a switch of the plugin is answered with the proof for its nonce") {
  MysqlLogin login = make_greeted_login();
  const std::string other_nonce(mysql::kNonceSize, 'n');
  std::string request(1, '\xfe');
  request += mysql::kNativePassword;
  request += '\0';
  request += other_nonce;
  request += '\0';
  const MysqlLoginStep step = login.handle_packet(request, kAccount);
  REQUIRE(step.kind == Kind::kSend);
  CHECK(step.payload == mysql::make_auth_response(mysql::kNativePassword, kAccount.password, other_nonce));
}

TEST_CASE("mysql login: the password itself is sent only to a key that can be read") {
  MysqlLogin login = make_greeted_login();
  const MysqlLoginStep step = login.handle_packet("\x01\x04", kAccount);
  REQUIRE(step.kind == Kind::kSend);
  CHECK(step.payload == "\x02");
  CHECK_THROWS_AS(login.handle_packet("\x01no key", kAccount), mysql::MalformedPacketError);
}

TEST_CASE("mysql login: a password that is known already is waited for, an error ends the login") {
  MysqlLogin login = make_greeted_login();
  CHECK(login.handle_packet("\x01\x03", kAccount).kind == Kind::kWait);
  const std::string error = mysql::error_payload(mysql::kAccessDenied, "no");
  const MysqlLoginStep step = login.handle_packet(error, kAccount);
  CHECK(step.kind == Kind::kRejected);
  CHECK(step.payload == error);
}

TEST_CASE("mysql login: a server that is too old, or an empty packet, is an error") {
  MysqlLogin login;
  CHECK_THROWS_AS(login.handle_packet("", kAccount), mysql::MalformedPacketError);
  const std::string greeting = make_greeting(mysql::kNativePassword, mysql::kProtocol41);
  CHECK_THROWS_AS(login.handle_packet(greeting, kAccount), mysql::MalformedPacketError);
}

}  // namespace
}  // namespace rookproxy
