#include "decide/sending.h"

namespace rookproxy::decide {

Sending::Sending(const RepeatRule& rule, Place to, Time deadline, Time engine_until) : rule_(rule), to_(to) {
  until(deadline, "out of time");
  until(engine_until, engine_until == Time::min() ? "engine is gone" : "engine drains");
}

void Sending::until(Time end, std::string_view why) {
  if (end >= begin_by_) return;
  begin_by_ = end;
  why_ = why;
}

void Sending::beside(const SentAttempt& other) {
  if (other.is_out && !rule_.second_copies) forbidden_ = "an attempt is out";
  if (!other.may_have_run) return;
  if (rule_.place == RepeatPlace::kNowhere) forbidden_ = "it may have run";
  if (rule_.place == RepeatPlace::kZone && other.to.zone != to_.zone)
    forbidden_ = "it may have run elsewhere";
  if (rule_.place == RepeatPlace::kCell && other.to.cell != to_.cell)
    forbidden_ = "it may have run elsewhere";
  if (rule_.window) until(other.sent + *rule_.window, "the window for repeats is over");
}

std::string_view Sending::held_back(Time now) const {
  if (!forbidden_.empty()) return forbidden_;
  return now < begin_by_ ? std::string_view() : why_;
}

}  // namespace rookproxy::decide
