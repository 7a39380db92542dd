// The identity of a session at an engine that speaks MySQL.
#pragma once

#include <cstdint>

namespace rookproxy {

// Identifies a session at an engine. Another process at the engine's address may have a session with the same
// number, but not from the same port, as long as the connection of the first one is open.
struct MysqlSessionId {
  std::uint32_t number = 0;
  // The dispatcher's port.
  std::uint16_t client_port = 0;
};

}  // namespace rookproxy
