/// Configurations of dispatchers that tests start.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rookproxy::test {

/// A complete configuration in the platform's JSON, with the classes lookup and load, every port chosen by
/// the kernel, and neither engines nor a name server.
[[nodiscard]] nlohmann::json default_dispatcher_config();

/// An engine that listens on 127.0.0.1.
struct LocalEngine {
  std::string id;
  std::uint16_t port;
};

/// The value of /known/batch that lists these engines as serving.
[[nodiscard]] nlohmann::json make_known_batch(const std::vector<LocalEngine>& engines);

/// "127.0.0.1:PORT".
[[nodiscard]] std::string loopback_address(std::uint16_t port);

}  // namespace rookproxy::test
