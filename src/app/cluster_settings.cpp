#include "app/cluster_settings.h"

#include <string>
#include <vector>

namespace rookproxy {
namespace {

// Appends the key in `file`, unless that is empty. `config_key` is the configuration key that names the file.
void append_key(const std::string& file, const char* config_key, std::vector<std::string>& keys) {
  if (file.empty()) return;
  try {
    keys.push_back(cluster::transport::read_peer_key(file));
  } catch (const cluster::transport::KeyError& error) {
    throw ConfigError(config_key, error.what());
  }
}

}  // namespace

ClusterSettings cluster_settings(const Config& config) {
  ClusterSettings settings;
  settings.peers.listen_address = config.peers->listen;
  for (const PeerConfig& peer : config.peers->peers) settings.peers.members.push_back(peer.address);
  settings.peers.self = static_cast<cluster::MemberId>(config.cluster->self_index);
  settings.peers.broadcast_address = config.peers->broadcast_address;
  settings.peers.bytes_per_second = config.cluster->bytes_per_second;
  // Sent messages are authenticated with the first key; received ones may use either.
  append_key(config.cluster->key_file, "fleet.key", settings.peers.keys);
  append_key(config.cluster->former_key_file, "fleet.former_key", settings.peers.keys);
  settings.probe_interval = config.cluster->protocol_period;
  settings.lease_duration = config.cluster->lease_duration;
  settings.zones = config.zones;
  static_cast<void>(make_membership_settings(settings));  // Throws if the times are inconsistent.
  return settings;
}

}  // namespace rookproxy
