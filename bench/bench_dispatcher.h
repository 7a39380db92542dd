// A dispatcher process that is measured.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rookproxy::bench {

// The configuration of a dispatcher with these ports of engines that listens on `port`; without [access].
[[nodiscard]] nlohmann::json dispatcher_config(const std::vector<std::uint16_t>& engine_ports,
                                               std::uint16_t port);

// Runs the program until it is destroyed.
class BenchDispatcher {
 public:
  // Writes the configuration to `directory`/`name`.json.
  BenchDispatcher(const std::string& program, const std::string& directory, const std::string& name,
                  const nlohmann::json& config);
  ~BenchDispatcher();
  BenchDispatcher(const BenchDispatcher&) = delete;
  BenchDispatcher& operator=(const BenchDispatcher&) = delete;

 private:
  pid_t pid_;
};

}  // namespace rookproxy::bench
