#include "support/dispatcher_config.h"

namespace rookproxy::test {
namespace {

using nlohmann::json;

constexpr const char* kDefaultConfig = R"({
  "name": "t1",
  "listen": "127.0.0.1:0",
  "ops": "127.0.0.1:0",
  "seed": "1f",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
  "directory_poll_ms": 20,
  "log": {"level": "debug"},
  "known": {"offset": 1, "batch": []},
  "settings": {
    "fleet_size": 1,
    "ordinal": 0,
    "localities": ["z"],
    "zone": "z",
    "models": ["m"],
    "membership_mode": "automatic",
    "grades": [
      {"name": "lookup", "effect": "pure", "value": 1.0, "target": 600000, "aim_stretch": 1.5,
       "deadline": 3000000, "late_worth": 0.1},
      {"name": "load", "effect": "side_effect", "value": 6.0, "target": 4000000, "aim_stretch": 2.5,
       "deadline": 25000000, "late_worth": 0.5}
    ],
    "domain": {
      "cpu_of_kind": [8],
      "ram_of_kind_mb": [16384.0],
      "threads_by_class": [1, 2],
      "is_load": [false, true],
      "yields_to_loads": [true, false],
      "takes_grants": true,
      "priorities": true,
      "tells_every": 500000,
      "out_of_memory": "page"
    },
    "permissions": {
      "cancel": true,
      "probes": false,
      "second_copies": true,
      "max_attempts": 6,
      "max_retry_after": 2000000,
      "keepalive": 30000000,
      "dial_timeout": 250000,
      "multiplex": 32
    },
    "report": {"source": "inline", "fields": ["backlog", "x0", "x1"]},
    "safety": {"drain_grace": 2000000, "grace_to_answer": 20000}
  }
})";

}  // namespace

json default_dispatcher_config() { return json::parse(kDefaultConfig); }

std::string loopback_address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

json make_known_batch(const std::vector<LocalEngine>& engines) {
  json members = json::array();
  for (const LocalEngine& engine : engines) {
    members.push_back({{"id", engine.id},
                       {"host_port", loopback_address(engine.port)},
                       {"locality", "z"},
                       {"flavor", "m"},
                       {"phase", "up"},
                       {"size", 1},
                       {"up_since_ms", 0}});
  }
  const json topology{{"revision", 1}, {"complete", true}, {"members", std::move(members)}};
  return json::array({{{"offset", 1}, {"topology", topology}}});
}

}  // namespace rookproxy::test
