// Which datagrams of a member are new: none takes effect twice, and none of a former process takes effect.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "cluster/member.h"

namespace rookproxy::cluster {

// A sliding window of 64 sequence numbers per member, as in RFC 4303, section 3.4.3. A datagram below the
// window can't be told from a replay and is too late to be of use.
class ReplayWindow {
 public:
  // The classification of one datagram.
  enum class Result : std::uint8_t {
    kNew = 0,
    kDuplicate = 1,          // this sequence number was accepted before
    kTooOld = 2,             // below the window
    kOldIncarnation = 3,     // of an earlier incarnation than the last one
    kFutureIncarnation = 4,  // of an incarnation that begins in the future
    kUnknownMember = 5,      // not configured
  };
  static constexpr std::size_t kResultCount = 6;

  // `max_clock_skew`: how far a member's clock may be ahead of this one's. An incarnation is the time of a
  // start; one in the far future, accepted once, would make every real one of that member an old one.
  ReplayWindow(std::size_t member_count, Duration max_clock_skew);

  // Classifies an authenticated, well-formed datagram. Only kNew is to be delivered, and only it changes the
  // window.
  [[nodiscard]] Result check(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now);
  // How many datagrams were classified as `result`.
  [[nodiscard]] std::uint64_t count(Result result) const { return counts_[static_cast<std::size_t>(result)]; }

 private:
  // What was accepted of one member.
  struct SenderState {
    Incarnation incarnation = 0;
    std::uint64_t highest = 0;  // sequence number
    std::uint64_t window = 0;   // bit n: `highest` - n was accepted; 0: nothing was received yet
  };

  Result classify(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now);
  [[nodiscard]] bool is_in_future(Incarnation incarnation, Time now) const;

  Duration max_clock_skew_;
  std::vector<SenderState> senders_;
  std::array<std::uint64_t, kResultCount> counts_{};
};

}  // namespace rookproxy::cluster
