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
    // Polled for before the newest list was seen, and overtaken on its way, or a second one to its poll: it
    // says nothing.
    kOvertaken,
    // Polled for after the newest list was seen, and still older, or another list under the same version:
    // from a server that lags or counts apart, or made for a former run. It must not replace the newest list.
    kContradicting,
    // The first of those, to be reported.
    kFirstContradicting,
    // The newest list came once, and only contradicting ones since: it was made for a former run, or by
    // another server. This one is used from now on.
    kNewestRefuted,
    // Only contradicting lists for so long that the server must have restarted its count; used from now on.
    kServerRestarted,
  };

  // `version` is that of the list known at `now`, when tracking starts.
  EndpointListVersion(std::uint32_t version, Time now) : version_(version), version_seen_at_(now) {}

  // Takes a list received at `now` in response to the poll sent at `polled_at`. `has_newest_content`: it says
  // the same of all engines as the newest list.
  [[nodiscard]] Ordering classify(std::uint32_t version, bool has_newest_content, Time polled_at, Time now);

 private:
  // So many responses in a row outweigh a list that came once.
  static constexpr int kContradictionsToRefute = 3;

  void accept(std::uint32_t version, Time now);

  std::uint32_t version_;
  Time version_seen_at_;      // when a list of that version and content was last received
  bool is_confirmed_ = true;  // a second response had that version and content
  int contradictions_ = 0;    // responses in a row, since it was seen
  std::optional<Time> contradicted_since_;
  Time contradicting_poll_ = Time::min();  // the last one; each counts once, however many responses it gets
};

}  // namespace rookproxy::policy
