// Decides which of two endpoint lists is the newer one.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace rookproxy::policy {

// Tracks the version of the newest endpoint list. Versions wrap around, and responses can overtake each
// other.
class EndpointListVersion {
 public:
  // How a received list relates to the newest one known so far.
  enum class Ordering {
    kNewer,
    kSame,
    // Overtaken on its way, or sent by a server that lags: it must not replace the newer list.
    kOlder,
    // The first older list that can't have been overtaken; reported, but not used yet.
    kSuspectedRestart,
    // Only older lists for so long that the server must have restarted its count; used from now on.
    kServerRestarted,
  };

  // `version` is that of the list known at `now`, when tracking starts.
  EndpointListVersion(std::uint32_t version, Time now) : version_(version), version_seen_at_(now) {}

  // Takes a list received at `now` in response to the poll sent at `polled_at`.
  [[nodiscard]] Ordering classify(std::uint32_t version, Time polled_at, Time now);

 private:
  void accept(std::uint32_t version, Time now);

  std::uint32_t version_;
  Time version_seen_at_;             // when a list of that version was last received
  std::optional<Time> older_since_;  // when the first older list came whose poll was sent after that
};

}  // namespace rookproxy::policy
