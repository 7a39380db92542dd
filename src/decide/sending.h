// Whether an attempt may go to an engine, until when its first byte may leave for it, and whether its request
// may still be refused. Decides from what may be repeated, the request's other attempts, its deadline and the
// engine's end. Asked when an attempt is ordered and once more as its first byte is handed to the kernel: a
// connection may take long to come up, and what was right when it was ordered need not be so any more.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace rookproxy::decide {

// Where a request that may have run may go once more, from wide to narrow.
enum class RepeatPlace { kAnywhere, kZone, kCell, kNowhere };

struct RepeatRule {
  RepeatPlace place = RepeatPlace::kNowhere;
  std::optional<Duration> window;  // from the send of what may have run; absent: at any time
  bool second_copies = false;      // may two attempts be out at once?
};

struct Place {
  std::string_view zone;
  std::uint32_t cell = 0;
  bool operator==(const Place&) const = default;
};

struct SentAttempt {
  Time sent;  // ordered: no later than its first byte, so a window that counts from it ends no later
  Place to;
  bool is_out = false, may_have_run = false;
};

class Sending {
 public:
  // `engine_until`: when the engine's grace ends; Time::max() while it serves, Time::min() once it is gone.
  Sending(const RepeatRule& rule, Place to, Time deadline, Time engine_until);
  // Another attempt of the same request, sent before or after.
  void beside(const SentAttempt& other);
  // Why no byte may leave at `now`; empty: it may.
  std::string_view held_back(Time now) const;
  // From then on it may never begin.
  Time begin_by() const { return begin_by_; }

 private:
  void until(Time end, std::string_view why);
  RepeatRule rule_;
  Place to_;
  Time begin_by_ = Time::max();
  std::string_view why_, forbidden_;
};

// What may have run is refused only where a repeat does no harm on any engine, whatever the time.
inline bool may_refuse(const RepeatRule& rule, bool may_have_run) {
  return !may_have_run || rule.place == RepeatPlace::kAnywhere;
}

}  // namespace rookproxy::decide
