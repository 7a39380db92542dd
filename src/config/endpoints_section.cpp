// The engines in a configuration: the platform's `known` and the operator's `engines`.
#include <cstddef>
#include <cstdint>
#include <utility>

#include "config/sections.h"

namespace rookproxy {
namespace {

using nlohmann::json;

routing::EngineState read_engine_state(const std::string& word, const std::string& path) {
  if (word == "up") return routing::EngineState::kServing;
  if (word == "draining") return routing::EngineState::kDraining;
  if (word == "removed") return routing::EngineState::kRemoved;
  throw ConfigError(path, "unknown state '" + word + "'");
}

// Adds an engine, or replaces the one with the same id.
void update_endpoint(EngineEndpoint endpoint, std::vector<EngineEndpoint>& endpoints) {
  std::erase_if(endpoints, [&](const EngineEndpoint& former) { return former.id == endpoint.id; });
  if (endpoint.state != routing::EngineState::kRemoved) endpoints.push_back(std::move(endpoint));
}

// The first event contains the whole list; later ones contain the changes or, if `complete`, the whole list.
std::vector<EngineEndpoint> read_known_endpoints(const json& events) {
  std::vector<EngineEndpoint> endpoints;
  std::size_t event_index = 0;
  for (const json& event : events) {
    const std::string path = "known.batch." + std::to_string(event_index++);
    const ConfigReader topology = ConfigReader(event, path).table("topology");
    if (topology.json().value("complete", false)) endpoints.clear();
    std::size_t number = 0;
    for (const json& entry : topology.required("members")) {
      const std::string entry_path = topology.path("members." + std::to_string(number++));
      update_endpoint(read_engine_endpoint(entry, entry_path), endpoints);
    }
  }
  return endpoints;
}

}  // namespace

EngineEndpoint read_engine_endpoint(const json& entry, const std::string& path) {
  constexpr std::int64_t kMaxStartTimeMs = 1'000'000'000'000'000;
  const ConfigReader reader(entry, path);
  EngineEndpoint endpoint;
  endpoint.id = reader.text("id");
  if (endpoint.id.empty()) throw ConfigError(reader.path("id"), "empty");
  endpoint.state = read_engine_state(reader.text_or("phase", "up"), reader.path("phase"));
  if (endpoint.state != routing::EngineState::kRemoved || reader.has("host_port")) {
    endpoint.address = reader.endpoint("host_port");
  }
  endpoint.zone = reader.text_or("locality", "");
  endpoint.machine_type = reader.text_or("flavor", "");
  endpoint.cell = static_cast<std::uint32_t>(reader.integer_or("cell", 0, 0, UINT32_MAX));
  endpoint.weight = reader.has("size") ? reader.number("size", 0, 1e9) : 1;
  const auto started = reader.integer_or("up_since_ms", 0, 0, kMaxStartTimeMs);
  if (started > 0) endpoint.started_at = Time(std::chrono::milliseconds(started));
  return endpoint;
}

void read_initial_endpoints(const ConfigReader& document, Config& config) {
  constexpr std::int64_t kMaxVersion = 1'000'000'000'000;
  if (document.has("known")) {
    const ConfigReader known = document.table("known");
    config.initial_endpoints_version =
        static_cast<std::uint64_t>(known.integer_or("offset", 0, 0, kMaxVersion));
    config.initial_endpoints = read_known_endpoints(known.required("batch"));
  }
  if (!document.has("engines")) return;
  std::size_t number = 0;
  config.initial_endpoints.clear();
  for (const json& entry : document.required("engines")) {
    config.initial_endpoints.push_back(read_engine_endpoint(entry, "engines." + std::to_string(number++)));
  }
}

}  // namespace rookproxy
