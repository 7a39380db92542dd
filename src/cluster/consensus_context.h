// The state that the parts of Consensus share while one event is handled.
#pragma once

#include <bitset>

#include "cluster/consensus_settings.h"
#include "cluster/jitter_source.h"
#include "cluster/monotonic_clock.h"
#include "cluster/outbox.h"

namespace rookproxy::cluster {

using MemberSet = std::bitset<kMaxMembers>;

// Valid for the handling of one event; refers to members of Consensus and to the event's outbox.
struct ConsensusContext {
  const ConsensusSettings& settings;
  Elapsed now;  // The time of the event.
  JitterSource& random;
  ConsensusMetrics& metrics;
  Outbox& outbox;
  // The incarnation of the sender of the message being handled; 0 for a timer or a call of propose().
  Incarnation sender_incarnation = 0;
};

}  // namespace rookproxy::cluster
