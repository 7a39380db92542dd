// The other dispatchers: `peers`, `peers_all` and `peer_listen`.
#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

#include "config/sections.h"
#include "net/socket_address.h"

namespace rookproxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxPeers = 1024;

SocketAddress read_address(const json& value, const std::string& path) {
  if (!value.is_string()) throw ConfigError(path, "not an address like 10.0.0.1:7000");
  const auto text = value.get<std::string>();
  const auto address = parse_socket_address(text);
  if (!address || address->port == 0 || address->ip == 0) {
    throw ConfigError(path, "not an address like 10.0.0.1:7000 ('" + text + "')");
  }
  return *address;
}

// The name in the table of a peer; `fallback` if it has none.
std::string read_peer_name(const json& table, const std::string& fallback, const std::string& path) {
  for (const char* key : {"name", "id"}) {
    if (!table.contains(key)) continue;
    const json& name = table[key];
    if (name.is_string()) return name.get<std::string>();
    if (name.is_number_unsigned()) return name.dump();
    throw ConfigError(path + "." + key, "neither a string nor a number");
  }
  return fallback;
}

// Reads an entry of a list: an address, or a table with an address and optionally a name.
PeerConfig read_peer(const json& value, std::size_t index, const std::string& path) {
  const std::string default_name = std::to_string(index);
  if (!value.is_object()) return {default_name, read_address(value, path)};
  std::string name = read_peer_name(value, default_name, path);
  for (const char* key : {"address", "host_port", "addr"}) {
    if (value.contains(key)) return {std::move(name), read_address(value[key], path + "." + key)};
  }
  throw ConfigError(path, "names no `address`");
}

void check_unique(const std::vector<PeerConfig>& peers) {
  std::set<SocketAddress> addresses;
  std::set<std::string> names;
  for (const PeerConfig& peer : peers) {
    if (!addresses.insert(peer.address).second) {
      throw ConfigError("peers", "there twice: " + peer.address.to_string());
    }
    if (!names.insert(peer.name).second) throw ConfigError("peers", "two are named '" + peer.name + "'");
  }
}

std::vector<PeerConfig> read_peer_list(const json& value) {
  if (!value.is_array() && !value.is_object()) {
    throw ConfigError("peers", "neither a list of addresses nor a table of them by name");
  }
  if (value.size() > kMaxPeers) {
    throw ConfigError("peers",
                      "more than " + std::to_string(kMaxPeers) + " (" + std::to_string(value.size()) + ")");
  }
  std::vector<PeerConfig> peers;
  for (const auto& [key, entry] : value.items()) {
    const std::string path = "peers." + key;
    peers.push_back(value.is_array() ? read_peer(entry, peers.size(), path)
                                     : PeerConfig{key, read_address(entry, path)});
  }
  // The entries of a table are sorted by length and then by name, so that n2 comes before n10.
  if (value.is_object()) {
    std::sort(peers.begin(), peers.end(), [](const PeerConfig& left, const PeerConfig& right) {
      if (left.name.size() != right.name.size()) return left.name.size() < right.name.size();
      return left.name < right.name;
    });
  }
  check_unique(peers);
  return peers;
}

// Whether the settings allow messages to peers; false if they do not say.
json peer_messages_allowed(const json& document) {
  return document.value(json::json_pointer("/settings/permissions/may_tell"), json(false));
}

}  // namespace

std::optional<PeersConfig> read_peers(const json& document) {
  const ConfigReader reader(document, "");
  PeersConfig config;
  if (reader.has("peers")) config.peers = read_peer_list(reader.required("peers"));
  if (reader.has("peers_all")) {
    config.broadcast_address = read_address(reader.required("peers_all"), "peers_all");
  }
  const bool has_peers = !config.peers.empty() || config.broadcast_address;
  if (reader.has("peer_listen")) {
    config.listen = read_address(reader.required("peer_listen"), "peer_listen");
  } else if (has_peers) {
    throw ConfigError("peer_listen", "missing, but required by `peers`");
  }
  const json allowed = peer_messages_allowed(document);
  if (!allowed.is_boolean()) throw ConfigError("settings.permissions.may_tell", "neither true nor false");
  if (!has_peers || !allowed.get<bool>()) return std::nullopt;
  return config;
}

std::optional<PeersConfig> peers_after_reload(const Config& running, const Config& fresh) {
  const json& document = *fresh.document;
  const bool named = document.contains("peers") || document.contains("peers_all");
  const bool retains_former = !named || fresh.peers_error;
  std::optional<PeersConfig> peers = fresh.peers;
  if (!peers && retains_former && peer_messages_allowed(document) == json(true)) peers = running.peers;
  if (peers && running.peers) peers->listen = running.peers->listen;
  return peers;
}

}  // namespace rookproxy
