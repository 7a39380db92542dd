// An engine as service discovery lists it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "net/socket_address.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// One engine of the endpoint list. The id stays with the engine; its address may pass to another engine.
struct EngineEndpoint {
  std::string id;
  SocketAddress address;
  routing::EngineState state = routing::EngineState::kServing;
  std::string zone;
  std::string machine_type;
  std::uint32_t cell = 0;
  double weight = 1;
  // When its process started; absent: long ago.
  std::optional<Time> started_at;
  bool operator==(const EngineEndpoint&) const = default;
};

}  // namespace rookproxy
