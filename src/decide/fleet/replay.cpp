#include "decide/fleet/replay.h"

namespace rookproxy::decide::fleet {
namespace {
constexpr std::uint64_t kWindow = 64;
}

Replay::Replay(std::size_t members, Duration ahead) : ahead_(ahead), heard_(members) {}

Replay::Verdict Replay::take(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now) {
  const Verdict verdict = judge(sender, incarnation, sequence, now);
  ++counts_[static_cast<std::size_t>(verdict)];
  return verdict;
}

Replay::Verdict Replay::judge(MemberId sender, Incarnation incarnation, std::uint64_t sequence, Time now) {
  if (sender >= heard_.size()) return Verdict::kStranger;
  Heard& heard = heard_[sender];
  if (heard.window != 0 && incarnation < heard.incarnation) return Verdict::kFormer;
  if (heard.window == 0 || incarnation > heard.incarnation) {
    const auto latest = (now + ahead_).time_since_epoch().count();
    if (latest < 0 || incarnation > static_cast<std::uint64_t>(latest)) return Verdict::kAhead;
    heard = {incarnation, sequence, 1};
    return Verdict::kNew;
  }
  if (sequence > heard.highest) {
    const std::uint64_t by = sequence - heard.highest;
    heard.window = by < kWindow ? heard.window << by | 1 : 1;
    heard.highest = sequence;
    return Verdict::kNew;
  }
  const std::uint64_t below = heard.highest - sequence;
  if (below >= kWindow) return Verdict::kTooOld;
  const std::uint64_t bit = std::uint64_t(1) << below;
  if ((heard.window & bit) != 0) return Verdict::kSeen;
  heard.window |= bit;
  return Verdict::kNew;
}

}  // namespace rookproxy::decide::fleet
