/// One direction between two nodes of a fault-injecting network.
#pragma once

#include <optional>
#include <string>

#include "fakes/fault_generator.h"
#include "fakes/link_rule.h"

namespace rookproxy::test {

/// The state of a direction.
struct LinkDirection {
  FaultGenerator faults;
  std::optional<LinkRule> own_rule = {};             // instead of the network's default rule
  std::optional<std::string> delayed_datagram = {};  // waits until the next one has passed it
  LinkStatistics statistics = {};
};

}  // namespace rookproxy::test
