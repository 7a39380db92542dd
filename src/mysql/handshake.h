// The connection phase of the MySQL protocol: greeting, login and password authentication.
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
// Encodes a greeting.
[[nodiscard]] std::string greeting_payload(const Greeting& greeting);
// Decodes a greeting. Throws MalformedPacketError.
[[nodiscard]] Greeting parse_greeting(std::string_view payload);

// The client's answer (Protocol::HandshakeResponse41).
struct Login {
  std::uint32_t capabilities = 0;
  std::uint8_t charset = kUtf8mb4;
  std::string user;
  std::string auth_response;  // in the format of the plugin
  std::string schema;
  std::string plugin;
};
// Encodes a login.
[[nodiscard]] std::string login_payload(const Login& login);
// Decodes a login. Throws MalformedPacketError.
[[nodiscard]] Login parse_login(std::string_view payload);

// The size of the part of a login, in bytes, that a client sends unencrypted to request TLS.
constexpr std::size_t kSslRequestSize = 32;
// Returns whether the payload is a request for TLS.
[[nodiscard]] bool is_ssl_request(std::string_view payload);
// Parses the payload of COM_CHANGE_USER after its first byte, given the capabilities of the login. Throws
// MalformedPacketError.
[[nodiscard]] Login parse_change_user(std::string_view payload, std::uint32_t capabilities);

// Computes the response that authenticates the password with the plugin, or nothing if the plugin is not
// supported.
[[nodiscard]] std::optional<std::string> make_auth_response(std::string_view plugin,
                                                            std::string_view password,
                                                            std::string_view nonce);
// Compares in a time that does not depend on the position of the first difference.
[[nodiscard]] bool constant_time_equal(std::string_view a, std::string_view b);
// Returns 20 random bytes in the form that servers send. Throws std::runtime_error if the random number
// generator fails.
[[nodiscard]] std::string generate_nonce();
// Encrypts the password with the public key (PEM) of a server that requires the password itself over an
// unencrypted connection. Returns nothing if the key cannot be used.
[[nodiscard]] std::optional<std::string> encrypt_password(std::string_view password, std::string_view nonce,
                                                          const std::string& public_key);

}  // namespace rookproxy::mysql
