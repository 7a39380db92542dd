#include <nlohmann/json.hpp>

#include "config/reader.h"

namespace rookproxy {

FleetConfig read_fleet(const nlohmann::json& section, const Config& config) {
  check_schema(section, "fleet");
  const Reader reader(section, "fleet");
  FleetConfig fleet;
  fleet.key = reader.text_or("key", "");
  fleet.former_key = reader.text_or("former_key", "");
  if (fleet.key.empty() && !fleet.former_key.empty())
    throw ConfigError("fleet.former_key", "there is no `key` beside it; name the present one there");
  fleet.bytes_per_second =
      static_cast<std::uint32_t>(reader.whole_or("bytes_per_second", fleet.bytes_per_second, 1, 10'000'000));
  fleet.period = reader.milliseconds_or("period_ms", fleet.period, 1);
  fleet.lease = reader.milliseconds_or("lease_ms", fleet.lease, 1);
  if (fleet.lease < 4 * fleet.period)
    throw ConfigError("fleet.lease_ms",
                      "under four times period_ms: it would run out at every lost datagram");
  if (!config.peers_fault.empty()) throw ConfigError("fleet", config.peers_fault);
  if (!config.peers || config.peers->peers.empty()) {
    throw ConfigError("fleet", "needs `peers` and `peer_listen`, and settings.permissions.may_tell = true");
  }
  // All see one list, ours among them: by the settings' number where that counts the same dispatchers, else
  // by the address that we listen at.
  const auto& peers = config.peers->peers;
  if (config.settings.routers == peers.size()) {
    fleet.self = config.settings.ordinal;
  } else {
    const auto own = std::find_if(peers.begin(), peers.end(),
                                  [&](const auto& one) { return one.second == config.peers->listen; });
    if (own == peers.end()) {
      throw ConfigError("peers",
                        "has no place for this dispatcher: neither does settings.fleet_size count its " +
                            std::to_string(peers.size()) + " addresses, nor is peer_listen one of them");
    }
    fleet.self = static_cast<std::size_t>(own - peers.begin());
  }
  if (fleet.self >= peers.size())
    throw ConfigError("settings.ordinal", std::to_string(fleet.self) + ", and `peers` has places 0 to " +
                                              std::to_string(peers.size() - 1));
  return fleet;
}

}  // namespace rookproxy
