// All states that three members running the real Agreement can reach within stated bounds: two proposals, so
// many timeouts, so many restarts. Any message that was ever sent may come at any time, again, or never: so
// any number of lost, doubled and late ones, those of an earlier life too, and any partition for any time are
// among them.
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

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cluster/agreement.h"

namespace rookproxy::cluster {
namespace {

constexpr std::size_t kMembers = 3;
constexpr Time kStart{Duration(1'700'000'000'000'000)};
constexpr Duration kFar(1000);  // timers beyond are no events here
constexpr std::uint32_t kTimer = 1, kPropose = 2, kRestart = 3, kMessages = 4;  // events of one member

struct Bounds {
  std::uint32_t timers, restarts;
  std::uint32_t second;  // epoch that member 1 proposes; member 0 proposes 1
  std::size_t states;    // that there are; 0: not known
  bool wait_after_restart = true;
  bool plans_only = false;  // looks for two plans in one epoch alone, not for what leads there
};

struct Envelope {
  MemberId from, to;
  Incarnation life;
  MessageBody body;
  bool operator==(const Envelope&) const = default;
};

// An acceptance, by any life: under one ballot there is one plan.
struct Vote {
  std::uint32_t epoch, round, member, mark, by;  // by: bits of members
  bool same(const Vote& other) const {
    return std::tie(epoch, round, member, mark) ==
           std::tie(other.epoch, other.round, other.member, other.mark);
  }
};

// Bytes alone, all of which count: it is hashed as it stands.
struct State {
  // All that were ever sent, but for answers that are of no use any more: any of them may come at any time,
  // and again. So late, doubled, reordered and lost messages are all there without an event of their own.
  std::array<std::uint64_t, 10> sent;
  std::array<std::uint32_t, kMembers> local;
  std::uint32_t timers, restarts, proposed;
  // What no member knows: who accepted what, and in which epochs (bits) this and earlier lives voted.
  std::array<std::uint32_t, kMembers> voted, voted_before, life;
  std::array<Vote, 8> votes;
  std::uint32_t zero;

  void send(std::uint32_t message) { sent.at(message / 64) |= std::uint64_t{1} << message % 64; }
  void drop(std::uint32_t message) { sent[message / 64] &= ~(std::uint64_t{1} << message % 64); }
  bool has(std::uint32_t message) const { return (sent.at(message / 64) >> message % 64 & 1) != 0; }
};
static_assert(std::has_unique_object_representations_v<State>);

class Search {
 public:
  explicit Search(Bounds bounds) : bounds_(bounds) {
    seen_.reserve(1 << 22);
    // A whole cold start with nothing lost comes first: all vote, and know the settings.
    std::array<std::unique_ptr<Consensus>, kMembers> members;
    for (MemberId i = 0; i < kMembers; ++i)
      members[i] = std::make_unique<Consensus>(settings(i, 0), ClusterConfig{}, kStart);
    Time now = kStart;
    for (int step = 0; step < 100; ++step, now += Duration(1)) {
      std::vector<Envelope> mail;
      const auto take = [&](MemberId from, const std::vector<OutgoingMessage>& out) {
        for (const auto& one : out) mail.push_back({from, one.to, 0, one.body});
      };
      for (MemberId i = 0; i < kMembers; ++i) take(i, members[i]->on_timer(now));
      for (std::size_t k = 0; k < mail.size(); ++k) {
        const auto one = mail[k];
        take(one.to, members[one.to]->receive(now, one.from, one.life, one.body));
      }
    }
    for (MemberId i = 0; i < kMembers; ++i) {
      REQUIRE(members[i]->is_voting());
      first_.local[i] = intern(std::move(members[i]));
    }
    first_.timers = bounds.timers;
    first_.restarts = bounds.restarts;
  }

  // Breadth first, so a fault is found by a short way; the count does not depend on the order, since a state
  // holds all that is yet to come.
  void run() {
    visit(first_);
    while (!open_.empty() && fault_.empty()) {
      const State state = open_.front();
      open_.pop_front();
      for (std::size_t word = 0; word < state.sent.size(); ++word) {
        for (auto bits = state.sent[word]; bits != 0; bits &= bits - 1) {
          const auto message =
              static_cast<std::uint32_t>(word * 64 + static_cast<std::size_t>(std::countr_zero(bits)));
          step(state, envelopes_[message].to, kMessages + message);
        }
      }
      for (MemberId i = 0; i < kMembers; ++i) {
        if (state.timers > 0) step(state, i, kTimer);
        if (i < 2 && (state.proposed & 1U << i) == 0) step(state, i, kPropose);
        if (state.restarts > 0) step(state, i, kRestart);
      }
    }
  }
  std::size_t states() const { return seen_.size(); }
  std::size_t locals() const { return locals_.size(); }
  std::size_t messages() const { return envelopes_.size(); }
  std::size_t transitions() const { return transitions_; }
  const std::string& fault() const { return fault_; }
  bool reached(const std::string& what) const { return reached_.count(what) != 0; }

 private:
  struct Result {
    std::uint32_t local;
    std::vector<std::uint32_t> sent;
    bool possible;
  };

  Consensus::Settings settings(MemberId self, Incarnation life) const {
    Consensus::Settings s;
    s.self = self;
    s.member_count = kMembers;
    s.process_incarnation = life;
    s.proposal_timeout = s.recovery_query_interval = s.max_recovery_query_interval = s.initial_backoff =
        s.max_backoff = Duration(1);
    s.min_epoch_interval = Duration(0);
    s.bootstrap_delay = s.query_timeout = Duration(5);
    s.takeover_delay = Duration(1);
    s.lease_renewal_interval = s.lease_duration = s.request_timeout = Duration(1'000'000'000'000);
    s.recover_after_restart = bounds_.wait_after_restart;
    return s;
  }

  std::uint32_t intern(std::unique_ptr<Consensus> member) {
    const auto [at, fresh] =
        local_ids_.emplace(member->encode(kFar), static_cast<std::uint32_t>(locals_.size()));
    if (fresh) {
      locals_.push_back(std::move(member));
      results_.emplace_back();
    }
    return at->second;
  }
  std::uint32_t intern(const Envelope& envelope) {
    auto& same_kind = envelope_ids_[{envelope.from, envelope.to, envelope.body.index()}];
    for (const auto id : same_kind) {
      if (envelopes_[id] == envelope) return id;
    }
    same_kind.push_back(static_cast<std::uint32_t>(envelopes_.size()));
    envelopes_.push_back(envelope);
    return same_kind.back();
  }

  // What one event does to one member: the real class runs once for each pair.
  const Result& result(std::uint32_t local, MemberId i, std::uint32_t event, Incarnation life) {
    auto& known = results_[local];
    if (known.size() <= event) known.resize(event + 32);
    if (known[event]) return *known[event];
    auto member = std::make_unique<Consensus>(*locals_[local]);
    std::vector<OutgoingMessage> out;
    bool possible = true;
    if (event == kTimer) {
      possible = member->next_due() < member->last_event_time() + kFar;
      if (possible) out = member->on_timer(member->next_due());
    } else if (event == kPropose) {
      ClusterConfig plan;
      plan.epoch = member->epoch() + 1;
      plan.fingerprint = 10U + i;
      possible = plan.epoch == (i == 0 ? 1 : bounds_.second) &&
                 member->propose(member->last_event_time(), plan, out) == ProposeResult::kStarted;
    } else if (event == kRestart) {
      member = std::make_unique<Consensus>(settings(i, ++life), ClusterConfig{}, member->last_event_time());
      out = member->on_timer(member->next_due());
    } else {
      const auto& one = envelopes_[event - kMessages];
      out = member->receive(member->last_event_time(), one.from, one.life, one.body);
    }
    auto made = std::make_unique<Result>();
    made->possible = possible;
    made->local = possible ? intern(std::move(member)) : local;
    for (const auto& one : out) made->sent.push_back(intern(Envelope{i, one.to, life, one.body}));
    results_[local][event] = std::move(made);
    return *results_[local][event];
  }

  void step(const State& before, MemberId i, std::uint32_t event) {
    const auto& made = result(before.local[i], i, event, before.life[i]);
    if (!made.possible) return;
    ++transitions_;
    const bool same = made.local == before.local[i];
    if (same && event >= kMessages &&
        std::all_of(made.sent.begin(), made.sent.end(), [&](auto id) { return before.has(id); })) {
      return;
    }
    State state = before;
    state.local[i] = made.local;
    if (event == kTimer) --state.timers;
    if (event == kPropose) state.proposed |= 1U << i;
    if (event == kRestart) {
      --state.restarts;
      ++state.life[i];
      state.voted_before[i] |= state.voted[i];
      state.voted[i] = 0;
    }
    if (!same) note(*locals_[before.local[i]], *locals_[made.local], i, state);
    if (!fault_.empty()) return;
    for (const auto id : made.sent) {
      if (!useless(state, id)) state.send(id);
    }
    for (std::size_t word = 0; !same && word < state.sent.size(); ++word) {
      for (auto bits = state.sent[word]; bits != 0; bits &= bits - 1) {
        const auto id =
            static_cast<std::uint32_t>(word * 64 + static_cast<std::size_t>(std::countr_zero(bits)));
        if (envelopes_[id].to == i && useless(state, id)) state.drop(id);
      }
    }
    visit(state);
  }

  // An answer that changes nothing where it goes never will: its round or question is over, or has counted
  // it.
  bool useless(const State& state, std::uint32_t id) {
    const auto& one = envelopes_[id];
    if (!std::holds_alternative<Promise>(one.body) && !std::holds_alternative<Nack>(one.body) &&
        !std::holds_alternative<Accepted>(one.body) && !std::holds_alternative<RecoveryReply>(one.body) &&
        !(state.restarts == 0 && std::holds_alternative<Chosen>(one.body))) {
      return false;
    }
    const auto to = one.to;
    const auto& after = result(state.local[to], to, kMessages + id, state.life[to]);
    return after.local == state.local[to] && after.sent.empty();
  }

  // The invariants, at what has changed.
  void note(const Consensus& before, const Consensus& after, MemberId i, State& state) {
    if (after.highest_voted_epoch_of_process() != 0)
      state.voted[i] |= 1U << after.highest_voted_epoch_of_process();
    if (!bounds_.plans_only && (state.voted[i] & state.voted_before[i]) != 0)
      fault_ = "voted in two lives in one epoch";
    if (after.accepted_ballot() &&
        (before.accepted_ballot() != after.accepted_ballot() || before.epoch() != after.epoch())) {
      const Vote vote{after.epoch() + 1, after.accepted_ballot()->round, after.accepted_ballot()->member,
                      after.accepted_plan()->fingerprint, 1U << i};
      // In order, so that the way to a state leaves no trace in it.
      const auto less = [](const Vote& a, const Vote& b) {
        return std::tie(a.epoch, a.round, a.member, a.mark) < std::tie(b.epoch, b.round, b.member, b.mark);
      };
      const auto end =
          std::find_if(state.votes.begin(), state.votes.end(), [](const Vote& it) { return it.by == 0; });
      const auto at = std::lower_bound(state.votes.begin(), end, vote, less);
      if (at != end && at->same(vote)) {
        at->by |= vote.by;
      } else {
        if (end == state.votes.end()) {
          fault_ = "more ballots than this search has room for";
          return;
        }
        std::move_backward(at, end, end + 1);
        *at = vote;
      }
    }
    std::array<std::uint32_t, 16> chosen{};
    for (const auto& vote : state.votes) {
      if (std::popcount(vote.by) < 2) continue;
      if (chosen.at(vote.epoch) != 0 && chosen[vote.epoch] != vote.mark)
        fault_ = "two plans chosen in one epoch";
      chosen[vote.epoch] = vote.mark;
    }
    if (after.epoch() != 0 && chosen.at(after.epoch()) != after.plan().fingerprint) {
      fault_ = "a plan is known that was not chosen";
    }
    if (after.metrics().conflicting_plans != 0) fault_ = "two plans known of one epoch";
    if (after.epoch() < before.epoch() && state.life[i] == 0) fault_ = "an epoch went back";
    if (after.epoch() == 2) reached_.insert("epoch 2");
    if (state.life[i] != 0 && after.highest_voted_epoch_of_process() != 0)
      reached_.insert("a vote in a second life");
    if (state.votes[2].by != 0 && state.votes[2].epoch == 1) reached_.insert("three ballots accepted");
  }

  void visit(const State& state) {
    if (seen_.insert(XXH3_64bits(&state, sizeof state)).second) open_.push_back(state);
  }

  Bounds bounds_;
  State first_{};
  std::deque<State> open_;
  std::unordered_set<std::uint64_t> seen_;
  std::size_t transitions_ = 0;
  std::string fault_;
  std::set<std::string> reached_;
  std::vector<std::unique_ptr<Consensus>> locals_;
  std::unordered_map<std::string, std::uint32_t> local_ids_;
  std::vector<Envelope> envelopes_;
  std::map<std::tuple<MemberId, MemberId, std::size_t>, std::vector<std::uint32_t>> envelope_ids_;
  std::vector<std::vector<std::unique_ptr<Result>>> results_;
};

void check(const Bounds& bounds) {
  Search search(bounds);
  search.run();
  std::printf(
      "timers %u, restarts %u, epoch of the second proposal %u: %zu states, %zu transitions, of %zu of one "
      "member "
      "and %zu messages\n",
      bounds.timers, bounds.restarts, bounds.second, search.states(), search.transitions(), search.locals(),
      search.messages());
  CHECK(search.fault() == "");
  CHECK(search.states() == bounds.states);
  CHECK(search.reached("epoch 2") == (bounds.second == 2));
  CHECK(search.reached("a vote in a second life") == (bounds.second == 2 && bounds.restarts > 0));
  CHECK(search.reached("three ballots accepted") == (bounds.timers > 0));
}

TEST_CASE("fleet model: two proposals for one epoch, timeouts and a restart") { check({1, 1, 1, 3349010}); }
TEST_CASE("fleet model: two proposals for one epoch and more timeouts") { check({2, 0, 1, 475081}); }
TEST_CASE("fleet model: one epoch after another and a restart") { check({0, 1, 2, 722767}); }
TEST_CASE("fleet model: one epoch after another and more timeouts") { check({3, 0, 2, 41153}); }
// Some minutes and 2 GB: by name only.
TEST_CASE("fleet model: one epoch after another, timeouts and a restart", "[.]") {
  check({1, 1, 2, 14527690});
}

TEST_CASE("fleet model: the search finds what a member that forgets and votes on does") {
  Bounds bounds{0, 1, 1, 0, false, false};
  SECTION("its second vote") {
    Search search(bounds);
    search.run();
    CHECK(search.fault() == "voted in two lives in one epoch");
  }
  SECTION("two plans of one epoch") {
    bounds.plans_only = true;
    Search search(bounds);
    search.run();
    std::printf("found after %zu states\n", search.states());
    CHECK(search.fault() == "two plans chosen in one epoch");
  }
}

}  // namespace
}  // namespace rookproxy::cluster
