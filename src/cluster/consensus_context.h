// What the parts of Consensus share while one event is handled.
#pragma once

#include <bitset>

#include "cluster/consensus_settings.h"
#include "cluster/monotonic_clock.h"
#include "cluster/outbox.h"
#include "cluster/random_pauses.h"

namespace rookproxy::cluster {

using MemberSet = std::bitset<kMaxMembers>;

// Valid for the handling of one event; refers to members of Consensus and to the event's outbox.
struct ConsensusContext {
  const ConsensusSettings& settings;
  Elapsed now;  // time of the event
  RandomPauses& random;
  ConsensusMetrics& metrics;
  Outbox& outbox;
  Incarnation sender_incarnation = 0;  // of the message that is handled; 0: a timer or a request
};

}  // namespace rookproxy::cluster
