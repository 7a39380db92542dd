#include "cluster/replay_window.h"

namespace rookproxy::cluster {
namespace {

constexpr std::uint64_t kWindowSize = 64;

}  // namespace

ReplayWindow::ReplayWindow(std::size_t member_count, Duration max_clock_skew)
    : max_clock_skew_(max_clock_skew), senders_(member_count) {}

ReplayWindow::Result ReplayWindow::check(MemberId sender, Incarnation incarnation, std::uint64_t sequence,
                                         Time now) {
  const Result result = classify(sender, incarnation, sequence, now);
  ++counts_[static_cast<std::size_t>(result)];
  return result;
}

bool ReplayWindow::is_in_future(Incarnation incarnation, Time now) const {
  const auto latest = (now + max_clock_skew_).time_since_epoch().count();
  return latest < 0 || incarnation > static_cast<std::uint64_t>(latest);
}

ReplayWindow::Result ReplayWindow::classify(MemberId sender, Incarnation incarnation, std::uint64_t sequence,
                                            Time now) {
  if (sender >= senders_.size()) return Result::kUnknownMember;
  SenderState& state = senders_[sender];
  const bool is_first = state.window == 0;
  if (!is_first && incarnation < state.incarnation) return Result::kOldIncarnation;
  if (is_first || incarnation > state.incarnation) {
    if (is_in_future(incarnation, now)) return Result::kFutureIncarnation;
    state = {incarnation, sequence, 1};
    return Result::kNew;
  }
  if (sequence > state.highest) {
    const std::uint64_t shift = sequence - state.highest;
    state.window = shift < kWindowSize ? (state.window << shift) | 1 : 1;
    state.highest = sequence;
    return Result::kNew;
  }
  const std::uint64_t offset = state.highest - sequence;
  if (offset >= kWindowSize) return Result::kTooOld;
  const std::uint64_t bit = std::uint64_t{1} << offset;
  if ((state.window & bit) != 0) return Result::kDuplicate;
  state.window |= bit;
  return Result::kNew;
}

}  // namespace rookproxy::cluster
