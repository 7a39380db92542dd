#include "app/cluster_settings.h"

#include <string>
#include <vector>

namespace rookproxy {
namespace {

// Appends the key of a file, if one is named. `config_key` is the key of the configuration that names it.
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
  // The first key authenticates what is sent; each of them is accepted in what is received.
  append_key(config.cluster->key_file, "fleet.key", settings.peers.keys);
  append_key(config.cluster->former_key_file, "fleet.former_key", settings.peers.keys);
  settings.probe_interval = config.cluster->protocol_period;
  settings.lease_duration = config.cluster->lease_duration;
  settings.zones = config.zones;
  static_cast<void>(make_membership_settings(settings));  // throws for times that don't fit together
  return settings;
}

}  // namespace rookproxy
