// Configurations for dispatchers that are started by tests.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rookproxy::test {

// Returns a complete JSON configuration with the classes `lookup` and `load`. The kernel chooses every port;
// there are no engines and no discovery server.
[[nodiscard]] nlohmann::json default_dispatcher_config();

// An engine that listens on 127.0.0.1.
struct LocalEngine {
  std::string id;
  std::uint16_t port;
};

// Returns a value of /known/batch that lists these engines as serving.
[[nodiscard]] nlohmann::json make_known_batch(const std::vector<LocalEngine>& engines);

// Returns "127.0.0.1:PORT".
[[nodiscard]] std::string loopback_address(std::uint16_t port);

}  // namespace rookproxy::test
