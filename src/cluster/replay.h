// Which datagrams of a member are new: none moves anything twice, and none of a former process anything at
// all.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "cluster/types.h"

namespace rookproxy::cluster {

// A window of 64 sequences below the highest that was taken, as in RFC 4303, section 3.4.3: what is older
// than the window can't be told from a repeat and is none the better for being late.
class ReplayWindow {
 public:
  enum class Result : std::uint8_t {
    kNew = 0,
    kDuplicate = 1,          // that very sequence was taken before
    kTooOld = 2,             // below the window
    kOldIncarnation = 3,     // of an incarnation before the one that was heard
    kFutureIncarnation = 4,  // of an incarnation that begins after now
    kUnknownMember = 5,      // no member
  };
  static constexpr std::size_t kResultCount = 6;

  // `members`: how many are configured, which bounds the table. `ahead`: how far a member's clock may be
  // before ours. An incarnation is the time of a start; one in the far future, believed once, would make
  // every real one of that member a former one for good.
  ReplayWindow(std::size_t members, Duration ahead);

  // Of a datagram whose proof and shape were found good: only kNew is to be handed on, and only it moves
  // anything here.
  Result check(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now);
  std::uint64_t count(Result verdict) const { return counts_[static_cast<std::size_t>(verdict)]; }

 private:
  struct SenderState {
    Incarnation incarnation = 0;
    std::uint64_t highest = 0;
    std::uint64_t window = 0;  // bit n: `highest` less n was taken. 0: nothing was heard yet
  };
  Result classify(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now);

  Duration max_clock_skew_;
  std::vector<SenderState> senders_;
  std::array<std::uint64_t, kResultCount> counts_{};
};

}  // namespace rookproxy::cluster
