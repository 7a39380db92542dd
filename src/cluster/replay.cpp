#include "cluster/replay.h"

namespace rookproxy::cluster {
namespace {
constexpr std::uint64_t kWindowSize = 64;
}

ReplayWindow::ReplayWindow(std::size_t members, Duration ahead) : max_clock_skew_(ahead), senders_(members) {}

ReplayWindow::Result ReplayWindow::check(MemberId sender, Incarnation incarnation, std::uint64_t sequence,
                                         Time now) {
  const Result verdict = classify(sender, incarnation, sequence, now);
  ++counts_[static_cast<std::size_t>(verdict)];
  return verdict;
}

ReplayWindow::Result ReplayWindow::classify(MemberId sender, Incarnation incarnation, std::uint64_t sequence,
                                            Time now) {
  if (sender >= senders_.size()) return Result::kUnknownMember;
  SenderState& heard = senders_[sender];
  if (heard.window != 0 && incarnation < heard.incarnation) return Result::kOldIncarnation;
  if (heard.window == 0 || incarnation > heard.incarnation) {
    const auto latest = (now + max_clock_skew_).time_since_epoch().count();
    if (latest < 0 || incarnation > static_cast<std::uint64_t>(latest)) return Result::kFutureIncarnation;
    heard = {incarnation, sequence, 1};
    return Result::kNew;
  }
  if (sequence > heard.highest) {
    const std::uint64_t by = sequence - heard.highest;
    heard.window = by < kWindowSize ? heard.window << by | 1 : 1;
    heard.highest = sequence;
    return Result::kNew;
  }
  const std::uint64_t below = heard.highest - sequence;
  if (below >= kWindowSize) return Result::kTooOld;
  const std::uint64_t bit = std::uint64_t(1) << below;
  if ((heard.window & bit) != 0) return Result::kDuplicate;
  heard.window |= bit;
  return Result::kNew;
}

}  // namespace rookproxy::cluster
