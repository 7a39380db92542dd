// The section [fleet]: the dispatchers of a deployment as one cluster.
#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "config/sections.h"

namespace rookproxy {
namespace {

// This dispatcher's index in the list of peers, which is the same for all of them: the settings' ordinal if
// fleet_size equals the length of the list, else the index of the address that it listens on.
std::size_t find_self(const Config& config) {
  const std::vector<PeerConfig>& peers = config.peers->peers;
  if (config.settings.instance_count == peers.size()) return config.settings.instance_index;
  const auto own = std::find_if(peers.begin(), peers.end(),
                                [&](const PeerConfig& peer) { return peer.address == config.peers->listen; });
  if (own == peers.end()) {
    throw ConfigError("peers",
                      "has no place for this dispatcher: neither does settings.fleet_size count its " +
                          std::to_string(peers.size()) + " addresses, nor is peer_listen one of them");
  }
  return static_cast<std::size_t>(own - peers.begin());
}

}  // namespace

ClusterOptions read_cluster(const nlohmann::json& section, const Config& config) {
  check_schema(section, "fleet");
  const ConfigReader reader(section, "fleet");
  ClusterOptions cluster;
  cluster.key_file = reader.text_or("key", "");
  cluster.former_key_file = reader.text_or("former_key", "");
  if (cluster.key_file.empty() && !cluster.former_key_file.empty()) {
    throw ConfigError("fleet.former_key", "requires `key`, which must name the current key");
  }
  cluster.bytes_per_second = static_cast<std::uint32_t>(
      reader.integer_or("bytes_per_second", cluster.bytes_per_second, 1, 10'000'000));
  cluster.protocol_period = reader.milliseconds_or("period_ms", cluster.protocol_period, 1);
  cluster.lease_duration = reader.milliseconds_or("lease_ms", cluster.lease_duration, 1);
  if (cluster.lease_duration < 4 * cluster.protocol_period) {
    throw ConfigError("fleet.lease_ms",
                      "less than four times period_ms: a lost datagram would let the lease expire");
  }
  if (config.peers_error) throw ConfigError("fleet", config.peers_error->what());
  if (!config.peers || config.peers->peers.empty()) {
    throw ConfigError("fleet", "needs `peers`, `peer_listen` and settings.permissions.may_tell = true");
  }
  cluster.self_index = find_self(config);
  const std::size_t peer_count = config.peers->peers.size();
  if (cluster.self_index >= peer_count) {
    throw ConfigError("settings.ordinal", std::to_string(cluster.self_index) +
                                              " is out of range: `peers` has entries 0 to " +
                                              std::to_string(peer_count - 1));
  }
  return cluster;
}

}  // namespace rookproxy
