#include <nlohmann/json.hpp>
#include <set>

#include "config/reader.h"

namespace rookproxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxPeers = 1024;

SocketAddress read_address(const json& value, const std::string& path) {
  if (!value.is_string()) throw ConfigError(path, "not an address like 10.0.0.1:7000");
  const auto at = parse_socket_address(value.get<std::string>());
  if (!at || at->port == 0 || at->ip == 0) {
    throw ConfigError(path, "not an address like 10.0.0.1:7000 ('" + value.get<std::string>() + "')");
  }
  return *at;
}

// An element of a list: the address itself, or a table with it and perhaps a name.
std::pair<std::string, SocketAddress> read_peer(const json& value, std::size_t number,
                                                const std::string& path) {
  if (!value.is_object()) return {std::to_string(number), read_address(value, path)};
  std::string name = std::to_string(number);
  for (const char* key : {"name", "id"}) {
    if (!value.contains(key)) continue;
    if (!value[key].is_string() && !value[key].is_number_unsigned())
      throw ConfigError(path + "." + key, "neither a text nor a number");
    name = value[key].is_string() ? value[key].get<std::string>() : value[key].dump();
    break;
  }
  for (const char* key : {"address", "host_port", "addr"}) {
    if (value.contains(key)) return {name, read_address(value[key], path + "." + key)};
  }
  throw ConfigError(path, "names no `address`");
}

// Absent, nothing may be sent.
json peer_messages_allowed(const json& document) {
  return document.value(json::json_pointer("/settings/permissions/may_tell"), json(false));
}

}  // namespace

std::optional<PeersConfig> read_peers(const json& document) {
  const ConfigReader reader(document, "");
  PeersConfig config;
  if (reader.has("peers")) {
    const json& peers = reader.required("peers");
    if (!peers.is_array() && !peers.is_object())
      throw ConfigError("peers", "neither a list of addresses nor a table of them by name");
    if (peers.size() > kMaxPeers)
      throw ConfigError("peers",
                        "more than " + std::to_string(kMaxPeers) + " (" + std::to_string(peers.size()) + ")");
    std::size_t number = 0;
    for (const auto& [key, value] : peers.items()) {
      const std::string path = "peers." + key;
      config.peers.push_back(peers.is_array() ? read_peer(value, number++, path)
                                              : std::pair(key, read_address(value, path)));
    }
    // A table has no order of its own: n2 comes before n10.
    if (peers.is_object()) {
      std::sort(config.peers.begin(), config.peers.end(), [](const auto& a, const auto& b) {
        return std::pair(a.first.size(), a.first) < std::pair(b.first.size(), b.first);
      });
    }
    std::set<SocketAddress> addresses;
    std::set<std::string> names;
    for (const auto& [name, at] : config.peers) {
      if (!addresses.insert(at).second) throw ConfigError("peers", "there twice: " + at.to_string());
      if (!names.insert(name).second) throw ConfigError("peers", "two are named '" + name + "'");
    }
  }
  if (reader.has("peers_all"))
    config.broadcast_address = read_address(reader.required("peers_all"), "peers_all");
  const bool any = !config.peers.empty() || config.broadcast_address;
  if (reader.has("peer_listen")) {
    config.listen = read_address(reader.required("peer_listen"), "peer_listen");
  } else if (any) {
    throw ConfigError("peer_listen", "missing, and there are `peers`");
  }
  const json allowed = peer_messages_allowed(document);
  if (!allowed.is_boolean()) throw ConfigError("settings.permissions.may_tell", "neither true nor false");
  if (!any || allowed == json(false)) return std::nullopt;
  return config;
}

std::optional<PeersConfig> peers_after_reload(const Config& running, const Config& fresh) {
  const json& document = *fresh.document;
  const bool told = document.contains("peers") || document.contains("peers_all");
  auto peers = fresh.peers;
  if (!peers && (!told || !fresh.peers_error.empty()) && peer_messages_allowed(document) == json(true))
    peers = running.peers;
  if (!peers) return std::nullopt;
  if (running.peers) peers->listen = running.peers->listen;
  return peers;
}

}  // namespace rookproxy
