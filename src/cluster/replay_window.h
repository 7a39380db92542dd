// Replay protection: no datagram is delivered twice, and none of an earlier process of a member.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "cluster/member.h"

namespace rookproxy::cluster {

// A sliding window of 64 sequence numbers per member, as in RFC 4303, section 3.4.3. A datagram below the
// window can't be distinguished from a replay and is dropped.
class ReplayWindow {
 public:
  // The classification of one datagram.
  enum class Result : std::uint8_t {
    kNew = 0,
    kDuplicate = 1,          // The sequence number was accepted before.
    kTooOld = 2,             // The sequence number is below the window.
    kOldIncarnation = 3,     // The incarnation is lower than the last one.
    kFutureIncarnation = 4,  // The incarnation is a start time in the future.
    kUnknownMember = 5,      // The sender is not configured.
  };
  static constexpr std::size_t kResultCount = 6;

  // `max_clock_skew`: how far a member's clock may be ahead of this one's. An incarnation is a start time: if
  // one in the far future were accepted, all later processes of that member would be rejected as old.
  ReplayWindow(std::size_t member_count, Duration max_clock_skew);

  // Classifies an authenticated, well-formed datagram. The caller must deliver only kNew; other results do
  // not change the window.
  [[nodiscard]] Result check(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now);
  // The number of datagrams that were classified as `result`.
  [[nodiscard]] std::uint64_t count(Result result) const { return counts_[static_cast<std::size_t>(result)]; }

 private:
  // The datagrams accepted from one member.
  struct SenderState {
    Incarnation incarnation = 0;
    std::uint64_t highest = 0;  // The highest sequence number accepted.
    std::uint64_t window = 0;   // Bit n is set if `highest` - n was accepted; 0 if nothing was received.
  };

  Result classify(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now);
  [[nodiscard]] bool is_in_future(Incarnation incarnation, Time now) const;

  Duration max_clock_skew_;
  std::vector<SenderState> senders_;
  std::array<std::uint64_t, kResultCount> counts_{};
};

}  // namespace rookproxy::cluster
