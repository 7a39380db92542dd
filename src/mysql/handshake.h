// The connection phase of the MySQL protocol: greeting, login and the proof of a password.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mysql/constants.h"
#include "mysql/packet.h"

namespace rookproxy::mysql {

// The server's first message (Protocol::HandshakeV10).
struct Greeting {
  std::uint32_t connection_id = 0;
  std::uint32_t capabilities = 0;
  std::string nonce;  // 20 bytes
  std::string plugin;
  std::string version;
};
[[nodiscard]] std::string greeting_payload(const Greeting& greeting);
// Throws MalformedPacketError.
[[nodiscard]] Greeting parse_greeting(std::string_view payload);

// The client's answer (Protocol::HandshakeResponse41).
struct Login {
  std::uint32_t capabilities = 0;
  std::uint8_t charset = kUtf8mb4;
  std::string user;
  std::string auth_response;  // what proves the password, in the form of the plugin
  std::string schema;
  std::string plugin;
};
[[nodiscard]] std::string login_payload(const Login& login);
// Throws MalformedPacketError.
[[nodiscard]] Login parse_login(std::string_view payload);

// A client that asks for TLS sends only this much of its login in the clear.
constexpr std::size_t kSslRequestSize = 32;
[[nodiscard]] bool is_ssl_request(std::string_view payload);
// COM_CHANGE_USER behind its first byte, with the capabilities of the login. Throws MalformedPacketError.
[[nodiscard]] Login parse_change_user(std::string_view payload, std::uint32_t capabilities);

// What proves the password under that plugin; nothing if the plugin is not supported.
[[nodiscard]] std::optional<std::string> make_auth_response(std::string_view plugin,
                                                            std::string_view password,
                                                            std::string_view nonce);
// Compares in a time that does not depend on where the two differ.
[[nodiscard]] bool constant_time_equal(std::string_view a, std::string_view b);
// 20 random bytes as servers send them. Throws std::runtime_error if there is no randomness.
[[nodiscard]] std::string generate_nonce();
// The password, encrypted to the public key (PEM) of a server that asks for the password itself over a plain
// connection; nothing if the key can't be used.
[[nodiscard]] std::optional<std::string> encrypt_password(std::string_view password, std::string_view nonce,
                                                          const std::string& public_key);

}  // namespace rookproxy::mysql
