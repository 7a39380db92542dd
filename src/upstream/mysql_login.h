// How this dispatcher logs in at an engine that speaks MySQL's protocol.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rookproxy {

// How the dispatcher logs in at engines.
struct MysqlAccount {
  std::string user;
  std::string password;
  std::string schema;  // for requests that name none; empty: none
};

// What a packet of the engine leads to while a connection logs in.
struct MysqlLoginStep {
  // What is to be done next.
  enum class Kind {
    kSend,      // send `payload`, and wait for the next packet
    kWait,      // wait for the next packet
    kComplete,  // logged in
    kRejected   // `payload` is the engine's error packet
  };
  Kind kind = Kind::kWait;
  std::string payload;
};

// The client's side of the protocol's connection phase, free of any connection.
class MysqlLogin {
 public:
  // Takes the payload of the engine's next packet. Throws mysql::MalformedPacketError if it is not one that
  // the phase knows, or if the engine asks for what is not supported here.
  [[nodiscard]] MysqlLoginStep handle_packet(std::string_view payload, const MysqlAccount& account);
  // The engine's number for this connection; 0 before its greeting.
  [[nodiscard]] std::uint32_t engine_connection_id() const { return engine_connection_id_; }

 private:
  [[nodiscard]] MysqlLoginStep answer_greeting(std::string_view payload, const MysqlAccount& account);
  [[nodiscard]] MysqlLoginStep switch_auth_method(std::string_view payload, const MysqlAccount& account);
  [[nodiscard]] MysqlLoginStep encrypt_password(std::string_view public_key,
                                                const MysqlAccount& account) const;

  bool greeting_received_ = false;
  std::uint32_t engine_connection_id_ = 0;
  std::string nonce_;
};

}  // namespace rookproxy
