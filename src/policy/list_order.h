// Which of a directory's lists is the newer one, from their serials and from when they were asked for; and
// since when a list that comes now may count as told.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace rookproxy::policy {

class EndpointListVersion {
 public:
  enum class Ordering {
    kNewer,
    kSame,
    kOlder,             // overtaken on its way, or from a server that lags: it must not undo the newer one
    kSuspectedRestart,  // the first older one that can't have been overtaken: told, not yet believed
    kServerRestarted,   // older ones alone for so long that the directory counts anew: from now on it goes by
                        // these
  };
  // `serial`: of the list known at the start, `now`.
  EndpointListVersion(std::uint32_t serial, Time now) : version_(serial), version_seen_at_(now) {}
  // The list with that serial was read now, in answer to a question of the time `asked`.
  Ordering classify(std::uint32_t serial, Time asked, Time now);

 private:
  std::uint32_t version_;
  Time version_seen_at_;             // a list with that serial
  std::optional<Time> older_since_;  // the first answer since then that was older, though asked for later
};

// Since when an answer that holds what we read now may have been sent to us: the time of the first question
// that was asked after all heard answers' and itself not answered, if there is one. `pause`: the longest
// between two questions, which the margin of a drain covers already (drains.h).
Time announced_since(std::optional<Time> first_unheard, Duration pause, Time now);

}  // namespace rookproxy::policy
