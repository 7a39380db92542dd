// The section [fleet]: the dispatchers as one cluster.
#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "config/sections.h"

namespace rookproxy {
namespace {

// This dispatcher's place in the list that all of them have: by the settings' number where that counts the
// same dispatchers, else by the address that it listens at.
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
    throw ConfigError("fleet.former_key", "there is no `key` beside it; name the present one there");
  }
  cluster.bytes_per_second = static_cast<std::uint32_t>(
      reader.integer_or("bytes_per_second", cluster.bytes_per_second, 1, 10'000'000));
  cluster.protocol_period = reader.milliseconds_or("period_ms", cluster.protocol_period, 1);
  cluster.lease_duration = reader.milliseconds_or("lease_ms", cluster.lease_duration, 1);
  if (cluster.lease_duration < 4 * cluster.protocol_period) {
    throw ConfigError("fleet.lease_ms",
                      "under four times period_ms: it would run out at every lost datagram");
  }
  if (config.peers_error) throw ConfigError("fleet", config.peers_error->what());
  if (!config.peers || config.peers->peers.empty()) {
    throw ConfigError("fleet", "needs `peers` and `peer_listen`, and settings.permissions.may_tell = true");
  }
  cluster.self_index = find_self(config);
  const std::size_t peer_count = config.peers->peers.size();
  if (cluster.self_index >= peer_count) {
    throw ConfigError("settings.ordinal", std::to_string(cluster.self_index) +
                                              ", and `peers` has places 0 to " +
                                              std::to_string(peer_count - 1));
  }
  return cluster;
}

}  // namespace rookproxy
