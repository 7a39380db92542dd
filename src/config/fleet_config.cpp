#include <nlohmann/json.hpp>

#include "config/reader.h"

namespace rookproxy {

ClusterOptions read_cluster(const nlohmann::json& section, const Config& config) {
  check_schema(section, "fleet");
  const ConfigReader reader(section, "fleet");
  ClusterOptions fleet;
  fleet.key_file = reader.text_or("key", "");
  fleet.former_key_file = reader.text_or("former_key", "");
  if (fleet.key_file.empty() && !fleet.former_key_file.empty())
    throw ConfigError("fleet.former_key", "there is no `key` beside it; name the present one there");
  fleet.bytes_per_second = static_cast<std::uint32_t>(
      reader.integer_or("bytes_per_second", fleet.bytes_per_second, 1, 10'000'000));
  fleet.protocol_period = reader.milliseconds_or("period_ms", fleet.protocol_period, 1);
  fleet.lease_duration = reader.milliseconds_or("lease_ms", fleet.lease_duration, 1);
  if (fleet.lease_duration < 4 * fleet.protocol_period)
    throw ConfigError("fleet.lease_ms",
                      "under four times period_ms: it would run out at every lost datagram");
  if (!config.peers_error.empty()) throw ConfigError("fleet", config.peers_error);
  if (!config.peers || config.peers->peers.empty()) {
    throw ConfigError("fleet", "needs `peers` and `peer_listen`, and settings.permissions.may_tell = true");
  }
  // All see one list, ours among them: by the settings' number where that counts the same dispatchers, else
  // by the address that we listen at.
  const auto& peers = config.peers->peers;
  if (config.settings.instance_count == peers.size()) {
    fleet.self_index = config.settings.instance_index;
  } else {
    const auto own = std::find_if(peers.begin(), peers.end(),
                                  [&](const auto& one) { return one.second == config.peers->listen; });
    if (own == peers.end()) {
      throw ConfigError("peers",
                        "has no place for this dispatcher: neither does settings.fleet_size count its " +
                            std::to_string(peers.size()) + " addresses, nor is peer_listen one of them");
    }
    fleet.self_index = static_cast<std::size_t>(own - peers.begin());
  }
  if (fleet.self_index >= peers.size())
    throw ConfigError("settings.ordinal", std::to_string(fleet.self_index) +
                                              ", and `peers` has places 0 to " +
                                              std::to_string(peers.size() - 1));
  return fleet;
}

}  // namespace rookproxy
