// The connection phase of the MySQL protocol: greeting, login and the proof of a password.
#include "mysql/handshake.h"

#include <catch2/catch.hpp>
#include <string>

#include "mysql/constants.h"
#include "mysql/packet.h"
#include "support/damaged_input.h"

namespace rookproxy {
namespace {

// Parses a payload that may be damaged: any result will do, and no error but MalformedPacketError.
template <class Parse>
void parse_leniently(Parse parse, const std::string& payload) {
  try {
    (void)parse(payload);
  } catch (const mysql::MalformedPacketError&) {
    // The damage was noticed.
  }
}

std::string to_hex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
}

TEST_CASE("mysql: greeting and log-in read back, in part or damaged they throw or are read as something") {
  mysql::Greeting greeting;
  greeting.connection_id = 9;
  greeting.capabilities = mysql::kCapabilities;
  greeting.nonce = mysql::generate_nonce();
  greeting.plugin = mysql::kCachingSha2;
  greeting.version = "8.0";
  const std::string greeting_payload = mysql::greeting_payload(greeting);
  const mysql::Greeting parsed = mysql::parse_greeting(greeting_payload);
  CHECK(parsed.nonce == greeting.nonce);
  CHECK(parsed.plugin == greeting.plugin);
  CHECK(parsed.capabilities == greeting.capabilities);

  mysql::Login login;
  login.capabilities = mysql::kCapabilities;
  login.user = "u";
  login.auth_response = std::string(32, 'p');
  login.schema = "s";
  login.plugin = mysql::kNativePassword;
  const std::string login_payload = mysql::login_payload(login);
  CHECK(mysql::parse_login(login_payload).schema == "s");
  CHECK(mysql::parse_login(login_payload).auth_response == login.auth_response);

  test::parse_damaged(greeting_payload, [](const std::string& damaged) {
    parse_leniently(mysql::parse_greeting, damaged);
  });
  test::parse_damaged(login_payload, [](const std::string& damaged) {
    parse_leniently(mysql::parse_login, damaged);
  });
}

TEST_CASE("mysql: proofs are those of the public specification") {
  // SHA1(password) XOR SHA1(nonce + SHA1(SHA1(password))), computed with another implementation.
  const std::string nonce = "abcdefghijklmnopqrst";
  CHECK(to_hex(*mysql::make_auth_response(mysql::kNativePassword, "secret", nonce)) ==
        "8817c50fa779daef010ee7577825b0847df9842e");
  CHECK(to_hex(*mysql::make_auth_response(mysql::kCachingSha2, "secret", nonce)) ==
        "c76e2898612a4cf042c77fa8c4702c4c64c0c2c557c53c4d75595aaa6abae809");
  CHECK(mysql::make_auth_response(mysql::kNativePassword, "", nonce) == "");
  CHECK_FALSE(mysql::make_auth_response("sha256_password", "secret", nonce));
}

}  // namespace
}  // namespace rookproxy
