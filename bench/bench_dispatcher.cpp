#include "bench_dispatcher.h"

#include <sys/wait.h>
#include <unistd.h>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace rookproxy::bench {

namespace {

using nlohmann::json;

// The shell's own exit code for a program that could not be run.
constexpr int kProgramNotRun = 127;

constexpr const char* kSettings = R"({
  "name": "b",
  "seed": "1f",
  "limits": {"memory_mb": 192, "sockets": 1024},
  "log": {"level": "error"},
  "settings": {
    "fleet_size": 1,
    "ordinal": 0,
    "localities": ["z"],
    "zone": "z",
    "models": ["m"],
    "membership_mode": "automatic",
    "grades": [
      {"name": "lookup", "effect": "pure", "value": 1.0, "target": 600000, "deadline": 3000000},
      {"name": "load", "effect": "side_effect", "value": 6.0, "target": 4000000, "deadline": 25000000}
    ],
    "domain": {
      "cpu_of_kind": [64],
      "ram_of_kind_mb": [65536.0],
      "threads_by_class": [1, 2],
      "is_load": [false, true],
      "yields_to_loads": [true, false]
    },
    "permissions": {
      "cancel": true,
      "second_copies": true,
      "max_attempts": 6,
      "max_retry_after": 2000000,
      "keepalive": 30000000,
      "dial_timeout": 250000,
      "multiplex": 32
    },
    "report": {"source": "off"},
    "safety": {"drain_grace": 2000000}
  }
})";

json engine_config(std::size_t index, std::uint16_t port) {
  return {{"id", "e" + std::to_string(index)},
          {"host_port", "127.0.0.1:" + std::to_string(port)},
          {"locality", "z"},
          {"flavor", "m"},
          {"phase", "up"},
          {"size", 1},
          {"up_since_ms", 0}};
}

[[noreturn]] void execute(const std::string& program, const std::string& config_path,
                          const std::string& directory) {
  ::setenv("NODE_CONFIG", config_path.c_str(), 1);
  ::setenv("TMPDIR", directory.c_str(), 1);
  ::execl(program.c_str(), program.c_str(), nullptr);
  ::_exit(kProgramNotRun);
}

}  // namespace

json dispatcher_config(const std::vector<std::uint16_t>& engine_ports, std::uint16_t port) {
  json engines = json::array();
  for (std::size_t i = 0; i < engine_ports.size(); ++i) {
    engines.push_back(engine_config(i, engine_ports[i]));
  }
  json config = json::parse(kSettings);
  config["listen"] = "127.0.0.1:" + std::to_string(port);
  config["engines"] = std::move(engines);
  return config;
}

BenchDispatcher::BenchDispatcher(const std::string& program, const std::string& directory,
                                 const std::string& name, const json& config) {
  const std::string config_path = directory + "/" + name + ".json";
  std::ofstream(config_path) << config.dump();
  pid_ = ::fork();
  if (pid_ == 0) execute(program, config_path, directory);
}

BenchDispatcher::~BenchDispatcher() {
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

}  // namespace rookproxy::bench
