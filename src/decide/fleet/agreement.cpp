#include "decide/fleet/agreement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <limits>
#include <type_traits>
#include <utility>

namespace rookproxy::decide::fleet {

namespace {

constexpr Duration kCatchUp(100'000);                // between two questions of who has fallen behind
constexpr std::uint32_t kMostRound = 1'000'000'000;  // beyond it a ballot is no honest one
constexpr Duration kNever = Duration::max() / 4;

bool fits(const FleetPlan& plan) {
  return plan.zones.size() <= kMostZones && plan.retirements.size() <= kMostRetirements;
}

void put(std::string& out, std::uint64_t value) {
  do {
    out.push_back(static_cast<char>(value % 128 + (value >= 128 ? 128 : 0)));
    value /= 128;
  } while (value != 0);
}
void put(std::string& out, const FleetPlan& plan) {
  put(out, plan.epoch);
  put(out, plan.fingerprint);
  put(out, plan.zones.size());
  for (const auto& zone : plan.zones) {
    put(out, zone.zone);
    put(out, static_cast<std::uint64_t>(zone.state));
    put(out, zone.share);
    put(out, zone.step);
    put(out, static_cast<std::uint64_t>(zone.since.time_since_epoch().count()));
  }
  put(out, plan.retirements.size());
  for (const auto& one : plan.retirements) {
    put(out, one.site);
    put(out, static_cast<std::uint64_t>(one.state));
    put(out, one.weight);
    put(out, one.order);
    put(out, static_cast<std::uint64_t>(one.since.time_since_epoch().count()));
  }
}
void put(std::string& out, const Ballot& ballot) {
  put(out, ballot.round);
  put(out, ballot.member);
}
template <typename T>
void put(std::string& out, const std::optional<T>& value) {
  put(out, std::uint64_t{value.has_value()});
  if (value) put(out, *value);
}
template <std::size_t n>
void put(std::string& out, const std::bitset<n>& set) {
  put(out, set.count());
  for (std::size_t i = 0; i < n; ++i) {
    if (set[i]) put(out, i);
  }
}

}  // namespace

Agreement::Agreement(const Settings& settings, FleetPlan settings_plan, Time now)
    : settings_(settings), seen_(now), plan_(std::move(settings_plan)) {
  settings_.members = std::clamp<std::size_t>(settings_.members, 1, kMostMembers);
  plan_.epoch = 0;
  number_ = static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(&settings_.life, sizeof settings_.life, settings_.self));
  rank_ = settings_.self;
  alive_ = settings_.members;
  asked_.resize(settings_.members);
  knows_ = !settings_.wait_after_restart;
  // A fleet that starts at one moment does not ask in step.
  ask_at_ =
      Duration(static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(settings_.ask_every.count()) + 1)));
}

std::uint64_t Agreement::draw(std::uint64_t below) {
  if (below <= 1) return 0;
  ++draws_;
  return XXH3_64bits_withSeed(&draws_, sizeof draws_, settings_.seed ^ settings_.life) % below;
}
Duration Agreement::half_to_whole(Duration span) {
  const auto half = span.count() / 2;
  return Duration(span.count() - half +
                  static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(half) + 1)));
}

Agreement::Since Agreement::since(Time now) const { return now_ + std::max(Duration(0), now - seen_); }

void Agreement::move_clock(Time now) {
  if (now < seen_) {
    // How long it really was nobody knows: what counts on a span is over.
    lease_ = majority_ = now_;
    asked_.assign(settings_.members, {});
    if (question_ && question_->renews) question_.reset();
  }
  now_ = since(now);
  seen_ = now;
}

bool Agreement::lease_holds(Time now) const { return now >= seen_ && since(now) < lease_; }
bool Agreement::in_majority(Time now) const { return now >= seen_ && since(now) < majority_; }

void Agreement::to_all(const Body& body, std::vector<Outgoing>& out) const {
  out.reserve(out.size() + settings_.members);
  for (std::size_t i = 0; i < settings_.members; ++i) {
    if (i != settings_.self) out.push_back({static_cast<MemberId>(i), body});
  }
}

std::vector<Outgoing> Agreement::receive(Time now, MemberId from, Incarnation incarnation, const Body& body) {
  std::vector<Outgoing> out;
  move_clock(now);
  advance(out);  // first what has run out: a process that was stopped finds old messages
  if (from >= settings_.members || from == settings_.self) return out;
  sender_ = incarnation;
  std::visit(
      [&](const auto& message) {
        using T = std::decay_t<decltype(message)>;
        if constexpr (!std::is_same_v<T, Ping> && !std::is_same_v<T, PingFor> && !std::is_same_v<T, Ack>) {
          on(from, message, out);
        }
      },
      body);
  return out;
}

std::vector<Outgoing> Agreement::on_time(Time now) {
  std::vector<Outgoing> out;
  move_clock(now);
  advance(out);
  return out;
}

void Agreement::advance(std::vector<Outgoing>& out) {
  if (!lease_counted_ && now_ >= lease_) {
    ++figures_.leases_run_out;
    lease_counted_ = true;
  }
  if (question_ && question_->renews && now_ >= question_->at + settings_.ask_span) end_question();
  if (round_ && now_ >= round_->until) end_round(false);
  if ((wanted_ || closing_) && now_ >= wanted_until_) {
    if (round_) end_round(false);
    if (wanted_) proposal_ = Proposal::kNoMajority;
    wanted_.reset();
    closing_ = false;
  }
  if (lost_ && now_ >= *lost_ + settings_.cold_wait) {
    ++figures_.founded;
    begin_to_vote(plan_.epoch);
  }
  if (retired_) return;
  if (!votes()) {
    if (now_ >= ask_at_) ask(false, out);
  } else {
    if ((wanted_ || closing_) && !round_ && now_ >= retry_) begin_round(out);
    if (!question_ && now_ >= renew_at()) ask(true, out);
  }
}

Time Agreement::due() const {
  Since at = kNever;
  const auto when = [&](bool it_is, Since then) {
    if (it_is) at = std::min(at, then);
  };
  when(!lease_counted_, lease_);
  if (question_) when(question_->renews, question_->at + settings_.ask_span);
  if (round_) when(true, round_->until);
  when(wanted_ || closing_, wanted_until_);
  if (lost_) when(true, *lost_ + settings_.cold_wait);
  if (!retired_) {
    when(!votes(), ask_at_);
    when(votes() && (wanted_ || closing_) && !round_, retry_);
    when(votes() && !question_, renew_at());
  }
  return seen_ + std::max(Duration(0), at - now_);
}

void Agreement::set_hint(const std::vector<MemberId>& alive) {
  rank_ = 0;
  alive_ = 1;
  for (const auto member : alive) {
    if (member == settings_.self || member >= settings_.members) continue;
    ++alive_;
    if (member < settings_.self) ++rank_;
  }
}

// ---- proposing --------------------------------------------------------------------------------------------

ProposeAnswer Agreement::propose(Time now, const FleetPlan& next_plan, std::vector<Outgoing>& out) {
  move_clock(now);
  advance(out);
  if (!votes()) return ProposeAnswer::kNotVoting;
  if (wanted_) return ProposeAnswer::kBusy;
  if (next_plan.epoch != next()) return ProposeAnswer::kWrongEpoch;
  if (!fits(next_plan)) return ProposeAnswer::kTooLarge;
  wanted_ = next_plan;
  wanted_until_ = now_ + settings_.propose_span;
  proposal_ = Proposal::kOpen;
  retry_ = std::max(retry_, learned_ + settings_.epoch_span);
  advance(out);
  return ProposeAnswer::kTaken;
}

void Agreement::begin_round(std::vector<Outgoing>& out) {
  if (highest_round_ >= kMostRound) {  // no honest fleet gets there
    retry_ = now_ + settings_.most_backoff;
    return;
  }
  ++figures_.rounds_begun;
  Round round;
  round.ballot = {++highest_round_, settings_.self};
  round.until = now_ + settings_.round_span;
  round_ = std::move(round);
  // Its own vote comes first: so no later life of this member uses this ballot.
  promised_ = round_->ballot;
  voted_ = next();
  to_all(Prepare{next(), round_->ballot}, out);
  promised_to_us(settings_.self, accepted_, accepted_plan_, out);
}

void Agreement::end_round(bool won) {
  ++(won ? figures_.rounds_won : figures_.rounds_lost);
  round_.reset();
  if (won) return;
  const auto most = settings_.most_backoff;
  auto pause = settings_.backoff;
  for (int i = 0; i < failures_ && pause < most; ++i) pause *= 2;
  if (pause < most) ++failures_;
  retry_ = now_ + half_to_whole(std::min(pause, most));
}

// Votes for another's ballot: it can't for its own, lower one any more, and leaves the other the time it
// needs.
void Agreement::give_way() {
  if (round_) end_round(false);
  if (wanted_ || closing_) retry_ = std::max(retry_, now_ + half_to_whole(settings_.round_span));
}

void Agreement::promised_to_us(MemberId from, const std::optional<Ballot>& best,
                               const std::optional<FleetPlan>& plan, std::vector<Outgoing>& out) {
  round_->yes.set(from);
  if (best && plan && (!round_->best || *round_->best < *best)) {
    round_->best = best;
    round_->best_plan = plan;
  }
  if (round_->yes.count() < majority()) return;
  round_->accepting = true;
  round_->yes.reset();
  round_->no.reset();
  if (round_->best_plan) {
    round_->value = *round_->best_plan;
  } else if (wanted_) {
    round_->value = *wanted_;
  } else {
    round_->value = plan_;  // closes the instance with the same plan
    round_->value.epoch = next();
  }
  to_all(Accept{round_->ballot, round_->value}, out);
  accepted_ = round_->ballot;
  accepted_plan_ = round_->value;
  accepted_of_us(settings_.self, out);
}

void Agreement::accepted_of_us(MemberId from, std::vector<Outgoing>& out) {
  round_->yes.set(from);
  if (round_->yes.count() < majority()) return;
  const FleetPlan plan = round_->value;
  end_round(true);
  ++figures_.chosen;
  learn(plan);
  to_all(Chosen{plan}, out);
}

void Agreement::learn(const FleetPlan& plan) {
  if (round_) end_round(false);
  const bool voted_before = votes();
  ++figures_.epochs;
  plan_ = plan;
  learned_ = now_;
  promised_.reset();
  accepted_.reset();
  accepted_plan_.reset();
  highest_round_ = 0;
  failures_ = 0;
  retry_ = now_ + settings_.epoch_span;
  closing_ = false;
  open_since_.reset();
  if (wanted_) {
    proposal_ = *wanted_ == plan_ ? Proposal::kChosen : Proposal::kSuperseded;
    wanted_.reset();
  }
  // What others said of the epoch before is of no use. A lease stays: it says that a majority held no newer
  // plan than the one known here, which is all the truer now.
  before_.clear();
  silent_.clear();
  lost_.reset();
  if (question_ && question_->renews) {
    question_.reset();
    renew_from_ = now_ - static_cast<int>(rank_) * settings_.takeover_pause;
  }
  if (!voted_before && votes()) votes_again();
}

// ---- messages of rounds -----------------------------------------------------------------------------------

void Agreement::on(MemberId from, const Prepare& message, std::vector<Outgoing>& out) {
  if (message.ballot.member != from || message.ballot.round > kMostRound) return;
  if (message.epoch <= plan_.epoch) return out.push_back({from, Chosen{plan_}});
  if (message.epoch > next()) return catch_up(from, out);
  if (!may_vote(message.epoch)) {
    ++figures_.votes_withheld;
    return;
  }
  highest_round_ = std::max(highest_round_, message.ballot.round);
  if (promised_ && message.ballot < *promised_)
    return out.push_back({from, Refusal{message.epoch, *promised_}});
  give_way();
  promised_ = message.ballot;
  voted_ = message.epoch;
  out.push_back({from, Promise{message.epoch, message.ballot, accepted_, accepted_plan_}});
}

void Agreement::on(MemberId from, const Accept& message, std::vector<Outgoing>& out) {
  const auto epoch = message.plan.epoch;
  if (message.ballot.member != from || message.ballot.round > kMostRound || !fits(message.plan)) return;
  if (epoch <= plan_.epoch) return out.push_back({from, Chosen{plan_}});
  if (epoch > next()) return catch_up(from, out);
  if (!may_vote(epoch)) {
    ++figures_.votes_withheld;
    return;
  }
  highest_round_ = std::max(highest_round_, message.ballot.round);
  if (promised_ && message.ballot < *promised_) return out.push_back({from, Refusal{epoch, *promised_}});
  give_way();
  promised_ = accepted_ = message.ballot;
  accepted_plan_ = message.plan;
  voted_ = epoch;
  out.push_back({from, Accepted{epoch, message.ballot}});
}

void Agreement::on(MemberId from, const Promise& message, std::vector<Outgoing>& out) {
  if (!round_ || round_->accepting || message.epoch != next() || message.ballot != round_->ballot) return;
  if (message.plan && (message.plan->epoch != next() || !fits(*message.plan))) return;
  promised_to_us(from, message.accepted, message.plan, out);
}

void Agreement::on(MemberId from, const Accepted& message, std::vector<Outgoing>& out) {
  if (!round_ || !round_->accepting || message.epoch != next() || message.ballot != round_->ballot) return;
  accepted_of_us(from, out);
}

void Agreement::on(MemberId from, const Refusal& message, std::vector<Outgoing>&) {
  if (!round_ || message.epoch != next() || message.promised.round > kMostRound) return;
  if (message.promised < round_->ballot) return;  // of an earlier round
  highest_round_ = std::max(highest_round_, message.promised.round);
  if (!round_->no[from]) ++figures_.refusals;
  round_->no.set(from);
  if (settings_.members - round_->no.count() < majority()) end_round(false);
}

void Agreement::on(MemberId, const Chosen& message, std::vector<Outgoing>&) {
  if (!fits(message.plan)) return;
  if (message.plan.epoch > plan_.epoch) {
    learn(message.plan);
  } else if (message.plan.epoch == plan_.epoch && message.plan != plan_ && plan_.epoch != 0) {
    ++figures_.contradictions;
  }
}

// ---- asking -----------------------------------------------------------------------------------------------

void Agreement::ask(bool renews, std::vector<Outgoing>& out) {
  if (++number_ == 0) ++number_;
  question_ = Question{};
  question_->number = number_;
  question_->at = now_;
  question_->renews = renews;
  to_all(Ask{number_, plan_.epoch}, out);
  if (!renews) {
    before_ = std::move(silent_);
    silent_.assign(settings_.members, {});
    auto pause = settings_.ask_every;
    for (int i = 0; i < asked_times_ && pause < settings_.most_ask_every; ++i) pause *= 2;
    if (pause < settings_.most_ask_every) ++asked_times_;
    ask_at_ = now_ + half_to_whole(std::min(pause, settings_.most_ask_every));
  }
  look_at_answers(out);
}

// Who sees by a message that others have gone on. A number of 0 asks for no count.
void Agreement::catch_up(MemberId from, std::vector<Outgoing>& out) {
  if (now_ < catch_up_) return;
  catch_up_ = now_ + kCatchUp;
  out.push_back({from, Ask{0, plan_.epoch}});
}

void Agreement::on(MemberId from, const Ask& message, std::vector<Outgoing>& out) {
  if (message.number != 0) asked_[from] = {message.number, now_};
  if (message.epoch < plan_.epoch) out.push_back({from, Chosen{plan_}});
  out.push_back({from, Tell{message.number, plan_.epoch, votes(), voted()}});
  if (message.epoch > plan_.epoch) catch_up(from, out);
}

void Agreement::on(MemberId from, const Tell& message, std::vector<Outgoing>& out) {
  if (!question_ || message.number != question_->number) return;
  auto& question = *question_;
  const bool same_epoch = message.epoch == plan_.epoch;
  if (question.renews) {
    if (now_ >= question.at + settings_.ask_span) return;
    if (same_epoch && message.voted > plan_.epoch) question.open = true;
    if (same_epoch && message.votes) question.agree.set(from);
    const bool again = question.won && !question.told[from];
    question.told.set(from);
    if (again) {
      out.push_back({from, Lease{plan_.epoch, question.at + settings_.lease_span - now_, question.number}});
    }
  } else {
    question.told.set(from);
    if (message.votes) {
      told_voted_.set(from);
      told_highest_ = std::max(told_highest_, message.voted);
    } else if (same_epoch && from < silent_.size()) {
      silent_[from] = {true, sender_};
    }
  }
  look_at_answers(out);
}

void Agreement::look_at_answers(std::vector<Outgoing>& out) {
  auto& question = *question_;
  if (question.renews) {
    if (question.won || question.agree.count() + 1 < majority()) return;
    question.won = true;
    renewed(question.at + settings_.lease_span);
    // To those alone that have answered in time: then they were asked not long ago by their own clocks too.
    const auto left = question.at + settings_.lease_span - now_;
    for (std::size_t i = 0; i < settings_.members; ++i) {
      if (question.told[i])
        out.push_back({static_cast<MemberId>(i), Lease{plan_.epoch, left, question.number}});
    }
    return;
  }
  look_for_loss();
  if (!knows_ && !lost_ && told_voted_.count() >= meets_any_majority()) {
    begin_to_vote(std::max(told_highest_, plan_.epoch) + 1);
  }
}

// Do so many not vote that the others are no majority, and did so at one moment for certain?
void Agreement::look_for_loss() {
  if (lost_ || before_.empty() || question_->told.count() + 1 < majority()) return;
  std::size_t silent = 1;  // itself
  for (std::size_t i = 0; i < silent_.size(); ++i) {
    if (silent_[i].is && before_[i].is && silent_[i].incarnation == before_[i].incarnation) ++silent;
  }
  if (silent >= meets_any_majority()) lost_ = now_;
}

void Agreement::begin_to_vote(std::uint32_t floor) {
  knows_ = true;
  floor_ = floor;
  lost_.reset();
  if (votes()) {
    votes_again();
  } else {
    ask_at_ = now_ + half_to_whole(settings_.most_ask_every);
  }
}

void Agreement::votes_again() {
  question_.reset();
  before_.clear();
  silent_.clear();
  lost_.reset();
  renew_from_ = now_;
}

// ---- the lease --------------------------------------------------------------------------------------------

void Agreement::renewed(Since until) {
  lease_ = std::max(lease_, until);
  majority_ = std::max(majority_, until);
  lease_counted_ = false;
  ++figures_.leases_renewed;
  renew_from_ = now_ + settings_.renew_every;
}

void Agreement::end_question() {
  const Question question = *question_;
  question_.reset();
  if (!question.won) {
    // Turns go round: in a minority too, one member asks a pause, whatever its size.
    const auto round = static_cast<int>(alive_) * settings_.takeover_pause;
    renew_from_ = question.at + std::max(settings_.renew_every, round) -
                  static_cast<int>(rank_) * settings_.takeover_pause;
    return;
  }
  if (!question.open && voted_ <= plan_.epoch) {
    open_since_.reset();
  } else if (!open_since_) {
    open_since_ = question.at;
  } else if (now_ - *open_since_ >= settings_.close_after && !wanted_ && !closing_) {
    closing_ = true;
    ++figures_.closed;
    wanted_until_ = now_ + settings_.propose_span;
    retry_ = std::max(retry_, learned_ + settings_.epoch_span);
  }
}

void Agreement::on(MemberId from, const Lease& message, std::vector<Outgoing>& out) {
  const auto& asked = asked_[from];
  if (message.number == 0 || asked.number != message.number) return;
  // Bounded by the question too, so that a lease that comes late is no longer than one that did not.
  const auto until = std::min(now_ + message.left, asked.at + settings_.lease_span);
  if (until <= now_) return;
  if (message.epoch > plan_.epoch) {
    majority_ = std::max(majority_, until);
    renew_from_ = now_ + settings_.renew_every;
    return catch_up(from, out);
  }
  renewed(until);
}

// ---- for the search of all states -------------------------------------------------------------------------

std::string Agreement::encode(Duration far) const {
  std::string out;
  const auto span = [&](Duration it) {
    put(out, static_cast<std::uint64_t>(std::clamp(it, Duration(0), far).count()));
  };
  const auto left = [&](Since then) { span(then - now_); };
  const auto gone = [&](Since then, Duration most) { span(std::min(most, now_ - then)); };
  put(out, settings_.self);
  put(out, settings_.life);
  put(out, draws_);
  put(out, std::uint64_t{retired_});
  put(out, plan_);
  put(out, std::uint64_t{knows_});
  put(out, floor_);
  put(out, voted_);
  put(out, promised_);
  put(out, accepted_);
  put(out, accepted_plan_);
  put(out, wanted_);
  put(out, std::uint64_t{closing_});
  if (wanted_ || closing_) left(wanted_until_);
  put(out, static_cast<std::uint64_t>(proposal_));
  put(out, std::uint64_t{round_.has_value()});
  if (round_) {
    put(out, round_->ballot);
    put(out, std::uint64_t{round_->accepting});
    if (round_->accepting) {
      put(out, round_->value);
    } else {
      put(out, round_->best);
      put(out, round_->best_plan);
    }
    put(out, round_->yes);
    put(out, round_->no);
    left(round_->until);
  }
  put(out, highest_round_);
  put(out, static_cast<std::uint64_t>(failures_));
  left(retry_);
  left(learned_ + settings_.epoch_span);
  put(out, number_);
  put(out, std::uint64_t{question_.has_value()});
  if (question_) {
    put(out, question_->number);
    gone(question_->at, settings_.ask_span);
    put(out, question_->renews * 4U + question_->won * 2U + question_->open);
    put(out, question_->agree);
    put(out, question_->told);
  }
  if (!votes()) {
    left(ask_at_);
    put(out, static_cast<std::uint64_t>(asked_times_));
    put(out, told_voted_);
    put(out, told_highest_);
    for (const auto* answers : {&before_, &silent_}) {
      put(out, answers->size());
      for (const auto& one : *answers) {
        put(out, std::uint64_t{one.is});
        put(out, one.incarnation);
      }
    }
    put(out, std::uint64_t{lost_.has_value()});
    if (lost_) left(*lost_ + settings_.cold_wait);
  }
  for (const auto& asked : asked_) {
    const bool counts = asked.number != 0 && now_ - asked.at < settings_.lease_span;
    put(out, counts ? asked.number : 0);
    if (counts) gone(asked.at, settings_.lease_span);
  }
  left(catch_up_);
  put(out, rank_);
  put(out, alive_);
  left(renew_at());
  left(lease_);
  left(majority_);
  put(out, std::uint64_t{lease_counted_});
  put(out, std::uint64_t{open_since_.has_value()});
  if (open_since_) gone(*open_since_, settings_.close_after);
  return out;
}

}  // namespace rookproxy::decide::fleet
