// Decides which of two endpoint lists is the newer one.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace rookproxy::policy {

// Tracks the version of the newest endpoint list. Versions wrap around, and responses can arrive out of
// order.
class EndpointListVersion {
 public:
  // How a received list relates to the newest one known so far.
  enum class Ordering {
    kNewer,
    kSame,
    // An older list that answers a poll sent before the newest list was received, or an additional response
    // to its poll. It is ignored.
    kStale,
    // A list that answers a poll sent after the newest list was received and has an older version, or the
    // same version with different content. It comes from a server that lags or has its own sequence of
    // versions, or was made for a previous run of this dispatcher. It must not replace the newest list.
    kContradicting,
    // The first contradicting list, to be logged.
    kFirstContradicting,
    // The newest list was received once and followed by contradicting lists only, so it came from another
    // server or was made for a previous run. This list replaces it.
    kNewestDiscarded,
    // Only contradicting lists were received for so long that the server must have restarted its sequence of
    // versions. This list replaces the newest one.
    kServerRestarted,
  };

  // `version` is the version of the list known at `now`, when tracking starts.
  EndpointListVersion(std::uint32_t version, Time now) : version_(version), version_seen_at_(now) {}

  // Classifies a list received at `now` in response to the poll sent at `polled_at`, and records it.
  // `has_newest_content`: it has the same engines in the same states as the newest list.
  [[nodiscard]] Ordering classify(std::uint32_t version, bool has_newest_content, Time polled_at, Time now);

 private:
  // The number of consecutive contradicting responses that discard a list that was received once.
  static constexpr int kContradictionsToDiscard = 3;

  void accept(std::uint32_t version, Time now);

  std::uint32_t version_;
  // When a list with that version and content was last received.
  Time version_seen_at_;
  // Whether a second response had that version and content.
  bool is_confirmed_ = true;
  // The number of contradicting responses since `version_seen_at_`.
  int contradictions_ = 0;
  std::optional<Time> contradicted_since_;
  // The last poll that got a contradicting response. Further responses to it are not counted.
  Time last_contradicting_poll_ = Time::min();
};

}  // namespace rookproxy::policy
