// Explicit-state model checking of Consensus: visits all states that three members running the real class can
// reach within bounds (two proposals, a number of timeouts, a number of restarts). Any message that was sent
// may arrive at any time, repeatedly, or never. This covers any loss, duplication and delay of messages,
// including those of earlier processes, and any partition of any duration.
#include <algorithm>
#include <array>
#include <bit>
#include <catch2/catch.hpp>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <type_traits>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cluster/consensus.h"
#include "model/consensus_state_encoder.h"

namespace rookproxy::cluster {
namespace {

constexpr std::size_t kMemberCount = 3;
constexpr std::size_t kMajority = 2;
constexpr Time kStart{Duration(1'700'000'000'000'000)};
constexpr Duration kHorizon(1000);  // Timers that are due later are ignored.

// The events of one member. From kFirstMessage on, event kFirstMessage + i is the arrival of message i.
constexpr std::uint32_t kTimer = 1;
constexpr std::uint32_t kPropose = 2;
constexpr std::uint32_t kRestart = 3;
constexpr std::uint32_t kFirstMessage = 4;

// The bounds of a search.
struct Bounds {
  std::uint32_t timers;
  std::uint32_t restarts;
  std::uint32_t second_epoch;   // The epoch that member 1 proposes. Member 0 proposes epoch 1.
  std::size_t expected_states;  // The number of reachable states; 0 if not checked.
  bool recover_after_restart = true;
  bool checks_plans_only = false;  // Reports only two plans of one epoch, not two votes of one member.
};

// A message that was sent by the process with the number `process` of a member.
struct SentMessage {
  MemberId from;
  MemberId to;
  Incarnation process;
  MessageBody body;
  bool operator==(const SentMessage&) const = default;
};

// The acceptances of one plan under one ballot, by any processes.
struct Vote {
  std::uint32_t epoch;
  std::uint32_t round;
  std::uint32_t proposer;
  std::uint32_t fingerprint;
  std::uint32_t voters;  // One bit per member; 0 if the entry is unused.

  auto key() const { return std::tie(epoch, round, proposer, fingerprint); }
};

// A state of the whole system. Has no implicit padding, so that its bytes can be hashed.
struct State {
  // One bit per message that was sent, except for replies that can no longer have an effect.
  std::array<std::uint64_t, 10> sent;
  std::array<std::uint32_t, kMemberCount> member_state;  // The index of each member's state.
  std::uint32_t timers_left;
  std::uint32_t restarts_left;
  std::uint32_t proposed;  // One bit per member.
  // The history that invariants are checked against, which no member knows: the epochs (one bit each) in
  // which each member's current and earlier processes have voted, the number of its process, and all
  // acceptances.
  std::array<std::uint32_t, kMemberCount> voted;
  std::array<std::uint32_t, kMemberCount> voted_by_earlier_processes;
  std::array<std::uint32_t, kMemberCount> process;
  std::array<Vote, 8> votes;
  std::uint32_t padding;

  void add(std::uint32_t message) { sent.at(message / 64) |= std::uint64_t{1} << message % 64; }
  void remove(std::uint32_t message) { sent[message / 64] &= ~(std::uint64_t{1} << message % 64); }
  bool contains(std::uint32_t message) const { return (sent.at(message / 64) >> message % 64 & 1) != 0; }
  template <class Visit>
  void for_each_message(Visit visit) const {
    for (std::size_t word = 0; word < sent.size(); ++word) {
      for (auto bits = sent[word]; bits != 0; bits &= bits - 1) {
        visit(static_cast<std::uint32_t>(word * 64 + static_cast<std::size_t>(std::countr_zero(bits))));
      }
    }
  }
};
static_assert(std::has_unique_object_representations_v<State>);

class Search {
 public:
  explicit Search(Bounds bounds) : bounds_(bounds) {
    visited_.reserve(1 << 22);
    start_cluster();
    initial_.timers_left = bounds.timers;
    initial_.restarts_left = bounds.restarts;
  }

  // Searches breadth first, so that a violation is found on a shortest path. The number of states does not
  // depend on the order, since a state determines all its successors.
  void run() {
    visit(initial_);
    while (!frontier_.empty() && violation_.empty()) {
      const State state = frontier_.front();
      frontier_.pop_front();
      expand(state);
    }
  }

  std::size_t state_count() const { return visited_.size(); }
  std::size_t member_state_count() const { return member_states_.size(); }
  std::size_t message_count() const { return messages_.size(); }
  std::size_t transition_count() const { return transitions_; }
  // The invariant that was violated; empty if all hold.
  const std::string& violation() const { return violation_; }
  bool has_reached(const std::string& situation) const { return reached_.count(situation) != 0; }

 private:
  // The effect of an event on one member.
  struct Effect {
    std::uint32_t member_state;  // The index of the successor state.
    std::vector<std::uint32_t> sent;
    bool is_possible;
  };

  // Starts all members without message loss, and runs until all vote and know the initial plan.
  void start_cluster() {
    std::array<std::unique_ptr<Consensus>, kMemberCount> members;
    for (MemberId i = 0; i < kMemberCount; ++i) {
      members[i] = std::make_unique<Consensus>(settings(i, 0), ClusterConfig{}, kStart);
    }
    Time now = kStart;
    for (int step = 0; step < 100; ++step, now += Duration(1)) {
      std::vector<SentMessage> in_flight;
      const auto collect = [&](MemberId from, const std::vector<OutgoingMessage>& messages) {
        for (const auto& message : messages) in_flight.push_back({from, message.to, 0, message.body});
      };
      for (MemberId i = 0; i < kMemberCount; ++i) collect(i, members[i]->on_timer(now));
      for (std::size_t k = 0; k < in_flight.size(); ++k) {
        const SentMessage message = in_flight[k];
        collect(message.to, members[message.to]->receive(now, message.from, message.process, message.body));
      }
    }
    for (MemberId i = 0; i < kMemberCount; ++i) {
      REQUIRE(members[i]->is_voting());
      initial_.member_state[i] = index_of(std::move(members[i]));
    }
  }

  void expand(const State& state) {
    state.for_each_message(
        [&](std::uint32_t message) { step(state, messages_[message].to, kFirstMessage + message); });
    for (MemberId i = 0; i < kMemberCount; ++i) {
      if (state.timers_left > 0) step(state, i, kTimer);
      if (i < 2 && (state.proposed & 1U << i) == 0) step(state, i, kPropose);
      if (state.restarts_left > 0) step(state, i, kRestart);
    }
  }

  ConsensusSettings settings(MemberId self, Incarnation process) const {
    constexpr Duration kShort(1);
    constexpr Duration kMedium(5);
    constexpr Duration kBeyondHorizon(1'000'000'000'000);
    ConsensusSettings settings;
    settings.self = self;
    settings.member_count = kMemberCount;
    settings.process_incarnation = process;
    settings.proposal_timeout = kShort;
    settings.recovery_query_interval = kShort;
    settings.max_recovery_query_interval = kShort;
    settings.initial_backoff = kShort;
    settings.max_backoff = kShort;
    settings.takeover_delay = kShort;
    settings.min_epoch_interval = Duration(0);
    settings.bootstrap_delay = kMedium;
    settings.query_timeout = kMedium;
    settings.lease_renewal_interval = kBeyondHorizon;
    settings.lease_duration = kBeyondHorizon;
    settings.request_timeout = kBeyondHorizon;
    settings.recover_after_restart = bounds_.recover_after_restart;
    return settings;
  }

  // Returns the index of a member's state, and adds the state if it is new.
  std::uint32_t index_of(std::unique_ptr<Consensus> member) {
    const auto next = static_cast<std::uint32_t>(member_states_.size());
    const auto [entry, is_new] =
        member_state_indices_.emplace(ConsensusStateEncoder::encode(*member, kHorizon), next);
    if (is_new) {
      member_states_.push_back(std::move(member));
      effects_.emplace_back();
    }
    return entry->second;
  }

  std::uint32_t index_of(const SentMessage& message) {
    auto& of_same_kind = message_indices_[{message.from, message.to, message.body.index()}];
    for (const std::uint32_t index : of_same_kind) {
      if (messages_[index] == message) return index;
    }
    of_same_kind.push_back(static_cast<std::uint32_t>(messages_.size()));
    messages_.push_back(message);
    return of_same_kind.back();
  }

  // Computes the effect of an event with the real class, once for each pair of member state and event.
  const Effect& effect(std::uint32_t member_state, MemberId member, std::uint32_t event,
                       Incarnation process) {
    auto& known = effects_[member_state];
    if (known.size() <= event) known.resize(event + 32);
    if (!known[event]) {
      auto computed = compute_effect(member_state, member, event, process);
      effects_[member_state][event] = std::move(computed);  // effects_ may have been reallocated.
    }
    return *effects_[member_state][event];
  }

  std::unique_ptr<Effect> compute_effect(std::uint32_t member_state, MemberId id, std::uint32_t event,
                                         Incarnation process) {
    auto member = std::make_unique<Consensus>(*member_states_[member_state]);
    std::vector<OutgoingMessage> sent;
    bool is_possible = true;
    if (event == kTimer) {
      is_possible = member->next_due() < member->last_event_time() + kHorizon;
      if (is_possible) sent = member->on_timer(member->next_due());
    } else if (event == kPropose) {
      is_possible = propose(*member, id, sent);
    } else if (event == kRestart) {
      member =
          std::make_unique<Consensus>(settings(id, ++process), ClusterConfig{}, member->last_event_time());
      sent = member->on_timer(member->next_due());
    } else {
      const SentMessage& message = messages_[event - kFirstMessage];
      sent = member->receive(member->last_event_time(), message.from, message.process, message.body);
    }
    auto effect = std::make_unique<Effect>();
    effect->is_possible = is_possible;
    effect->member_state = is_possible ? index_of(std::move(member)) : member_state;
    for (const OutgoingMessage& message : sent) {
      effect->sent.push_back(index_of(SentMessage{id, message.to, process, message.body}));
    }
    return effect;
  }

  bool propose(Consensus& member, MemberId id, std::vector<OutgoingMessage>& sent) const {
    ClusterConfig plan;
    plan.epoch = member.epoch() + 1;
    plan.fingerprint = 10U + id;
    if (plan.epoch != (id == 0 ? 1 : bounds_.second_epoch)) return false;
    ProposeOutcome outcome = member.propose(member.last_event_time(), plan);
    sent = std::move(outcome.messages);
    return outcome.result == ProposeResult::kStarted;
  }

  void step(const State& before, MemberId member, std::uint32_t event) {
    const Effect& effect_of_event =
        effect(before.member_state[member], member, event, before.process[member]);
    if (!effect_of_event.is_possible) return;
    ++transitions_;
    const bool is_unchanged = effect_of_event.member_state == before.member_state[member];
    const bool sends_nothing_new =
        std::all_of(effect_of_event.sent.begin(), effect_of_event.sent.end(),
                    [&](std::uint32_t message) { return before.contains(message); });
    if (is_unchanged && event >= kFirstMessage && sends_nothing_new) return;
    State state = before;
    state.member_state[member] = effect_of_event.member_state;
    if (event == kTimer) --state.timers_left;
    if (event == kPropose) state.proposed |= 1U << member;
    if (event == kRestart) record_restart(state, member);
    if (!is_unchanged) {
      check_invariants(*member_states_[before.member_state[member]],
                       *member_states_[effect_of_event.member_state], member, state);
    }
    if (!violation_.empty()) return;
    for (const std::uint32_t message : effect_of_event.sent) {
      if (!has_no_effect(state, message)) state.add(message);
    }
    if (!is_unchanged) remove_messages_without_effect(state, member);
    visit(state);
  }

  static void record_restart(State& state, MemberId member) {
    --state.restarts_left;
    ++state.process[member];
    state.voted_by_earlier_processes[member] |= state.voted[member];
    state.voted[member] = 0;
  }

  void remove_messages_without_effect(State& state, MemberId receiver) {
    const State before = state;
    before.for_each_message([&](std::uint32_t message) {
      if (messages_[message].to == receiver && has_no_effect(state, message)) state.remove(message);
    });
  }

  // Whether a reply can never have an effect. One without effect now never has one later, since its round or
  // query has ended or has counted it.
  bool has_no_effect(const State& state, std::uint32_t index) {
    const MessageBody& body = messages_[index].body;
    const bool is_reply = std::holds_alternative<Promise>(body) || std::holds_alternative<Nack>(body) ||
                          std::holds_alternative<Accepted>(body) ||
                          std::holds_alternative<RecoveryReply>(body);
    const bool is_late_plan = state.restarts_left == 0 && std::holds_alternative<Chosen>(body);
    if (!is_reply && !is_late_plan) return false;
    const MemberId to = messages_[index].to;
    const Effect& on_arrival = effect(state.member_state[to], to, kFirstMessage + index, state.process[to]);
    return on_arrival.member_state == state.member_state[to] && on_arrival.sent.empty();
  }

  // Checks the invariants after a change of one member.
  void check_invariants(const Consensus& before, const Consensus& after, MemberId member, State& state) {
    const std::uint32_t voted_epoch = after.acceptor().highest_voted_epoch_of_process();
    if (voted_epoch != 0) state.voted[member] |= 1U << voted_epoch;
    if (!bounds_.checks_plans_only && (state.voted[member] & state.voted_by_earlier_processes[member]) != 0) {
      violation_ = "voted in two processes in one epoch";
    }
    const auto& ballot = after.acceptor().accepted_ballot();
    const bool is_new_vote = before.acceptor().accepted_ballot() != ballot || before.epoch() != after.epoch();
    if (ballot && is_new_vote) {
      const std::uint32_t fingerprint = after.acceptor().accepted_plan()->fingerprint;
      const Vote vote{after.epoch() + 1, ballot->round, ballot->member, fingerprint, 1U << member};
      if (!record_vote(state, vote)) return;
    }
    check_plans(after, state);
    if (after.epoch() < before.epoch() && state.process[member] == 0) violation_ = "an epoch decreased";
    if (after.epoch() == 2) reached_.insert("epoch 2");
    if (state.process[member] != 0 && voted_epoch != 0) reached_.insert("a vote in a second process");
    if (state.votes[2].voters != 0 && state.votes[2].epoch == 1) reached_.insert("three ballots accepted");
  }

  // Keeps the votes sorted, so that a state does not depend on the path to it.
  bool record_vote(State& state, const Vote& vote) {
    const auto end = std::find_if(state.votes.begin(), state.votes.end(),
                                  [](const Vote& entry) { return entry.voters == 0; });
    const auto position =
        std::lower_bound(state.votes.begin(), end, vote,
                         [](const Vote& left, const Vote& right) { return left.key() < right.key(); });
    if (position != end && position->key() == vote.key()) {
      position->voters |= vote.voters;
      return true;
    }
    if (end == state.votes.end()) {
      violation_ = "more distinct votes than a state has room for";
      return false;
    }
    std::move_backward(position, end, end + 1);
    *position = vote;
    return true;
  }

  void check_plans(const Consensus& after, const State& state) {
    std::array<std::uint32_t, 16> chosen{};  // The fingerprint of each epoch's chosen plan; 0 if none.
    for (const Vote& vote : state.votes) {
      if (static_cast<std::size_t>(std::popcount(vote.voters)) < kMajority) continue;
      if (chosen.at(vote.epoch) != 0 && chosen[vote.epoch] != vote.fingerprint) {
        violation_ = "two plans chosen in one epoch";
      }
      chosen[vote.epoch] = vote.fingerprint;
    }
    if (after.epoch() != 0 && chosen.at(after.epoch()) != after.plan().fingerprint) {
      violation_ = "a known plan was not chosen";
    }
    if (after.metrics().conflicting_plans != 0) violation_ = "two plans of one epoch are known";
  }

  void visit(const State& state) {
    const bool is_new = visited_.insert(XXH3_64bits(&state, sizeof state)).second;
    if (is_new) frontier_.push_back(state);
  }

  Bounds bounds_;
  State initial_{};
  std::deque<State> frontier_;
  std::unordered_set<std::uint64_t> visited_;
  std::size_t transitions_ = 0;
  std::string violation_;
  std::set<std::string> reached_;
  std::vector<std::unique_ptr<Consensus>> member_states_;
  std::unordered_map<std::string, std::uint32_t> member_state_indices_;
  std::vector<SentMessage> messages_;
  std::map<std::tuple<MemberId, MemberId, std::size_t>, std::vector<std::uint32_t>> message_indices_;
  std::vector<std::vector<std::unique_ptr<Effect>>> effects_;  // By member state and event.
};

void check(const Bounds& bounds) {
  Search search(bounds);
  search.run();
  std::printf(
      "timers %u, restarts %u, epoch of the second proposal %u: %zu states, %zu transitions, %zu member "
      "states, %zu messages\n",
      bounds.timers, bounds.restarts, bounds.second_epoch, search.state_count(), search.transition_count(),
      search.member_state_count(), search.message_count());
  CHECK(search.violation() == "");
  CHECK(search.state_count() == bounds.expected_states);
  CHECK(search.has_reached("epoch 2") == (bounds.second_epoch == 2));
  CHECK(search.has_reached("a vote in a second process") ==
        (bounds.second_epoch == 2 && bounds.restarts > 0));
  CHECK(search.has_reached("three ballots accepted") == (bounds.timers > 0));
}

TEST_CASE("consensus model: two proposals for one epoch, a timeout and a restart violate no invariant") {
  check({1, 1, 1, 3349010});
}
TEST_CASE("consensus model: two proposals for one epoch and two timeouts violate no invariant") {
  check({2, 0, 1, 475081});
}
TEST_CASE("consensus model: proposals for successive epochs and a restart violate no invariant") {
  check({0, 1, 2, 722767});
}
TEST_CASE("consensus model: proposals for successive epochs and three timeouts violate no invariant") {
  check({3, 0, 2, 41153});
}
// Takes some minutes and 2 GB, so it runs only by name.
TEST_CASE("consensus model: proposals for successive epochs, a timeout and a restart violate no invariant",
          "[.]") {
  check({1, 1, 2, 14527690});
}

TEST_CASE("consensus model: the search detects the violations of a member that does not recover its votes") {
  Bounds bounds{0, 1, 1, 0, false, false};
  SECTION("a second vote in one epoch") {
    Search search(bounds);
    search.run();
    CHECK(search.violation() == "voted in two processes in one epoch");
  }
  SECTION("a second plan of one epoch") {
    bounds.checks_plans_only = true;
    Search search(bounds);
    search.run();
    std::printf("violation found after %zu states\n", search.state_count());
    CHECK(search.violation() == "two plans chosen in one epoch");
  }
}

}  // namespace
}  // namespace rookproxy::cluster
