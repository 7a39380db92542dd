// An engine as listed by service discovery.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "net/socket_address.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// One engine of the endpoint list. The id is permanent; the address may later be reused by another engine.
struct EngineEndpoint {
  std::string id;
  SocketAddress address;
  routing::EngineState state = routing::EngineState::kServing;
  std::string zone;
  std::string machine_type;
  std::uint32_t cell = 0;
  double weight = 1;
  // When its process started; absent if unknown, which is treated as long ago.
  std::optional<Time> started_at;
  bool operator==(const EngineEndpoint&) const = default;
};

}  // namespace rookproxy
