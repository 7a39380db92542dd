// Tests a single member of Membership, event by event.
#include "cluster/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <optional>
#include <set>
#include <stdexcept>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster/membership_fixture.h"

namespace rookproxy::cluster {
namespace {

using namespace std::chrono_literals;

constexpr Incarnation kOwnIncarnation = 1000;  // The incarnation of the member under test.
constexpr Incarnation kPeerIncarnation = 500;  // The known incarnation of the others.

// A message of one type and its receiver.
template <class Kind>
struct Sent {
  MemberId to;
  Kind message;
  bool operator==(const Sent&) const = default;
};

// Member 0 of a cluster and the result of its last event.
struct SingleMember {
  explicit SingleMember(std::size_t member_count = 4, Incarnation own = kOwnIncarnation)
      : membership(make_settings(0, member_count), own, 1, now) {}

  void receive(MemberId from, Incarnation incarnation, const MessageBody& body = Lease{},
               const std::vector<GossipUpdate>& gossip = {}) {
    last = membership.receive(now, from, incarnation, body, gossip);
  }
  // Receives gossip from member 3.
  void receive_gossip(GossipUpdate update) { receive(3, kPeerIncarnation, Lease{}, {update}); }
  void tick() { last = membership.tick(now); }
  // Advances the time and ticks when due. The members that `answers` selects ack their pings.
  void run(Duration span, const MemberFilter& answers = no_member) {
    const Time end = now + span;
    while (membership.next_due() <= end) {
      now = membership.next_due();
      tick();
      for (const auto& [to, ping] : sent<Ping>()) {
        if (answers(to))
          std::ignore = membership.receive(now, to, kPeerIncarnation, Ack{ping.number, to}, {});
      }
    }
    now = end;
  }
  void run_to_next_tick(const MemberFilter& answers = no_member) {
    run(membership.next_due() - now, answers);
  }
  // The messages of one type that the last event has sent.
  template <class Kind>
  std::vector<Sent<Kind>> sent() const {
    std::vector<Sent<Kind>> messages;
    for (const OutgoingMessage& message : last.messages) {
      if (const auto* kind = std::get_if<Kind>(&message.body)) messages.push_back({message.to, *kind});
    }
    return messages;
  }

  Time now{std::chrono::seconds(1'700'000'000)};
  Membership membership;
  Membership::Result last{};
};

TEST_CASE("membership: gossip and messages change a member's state according to state and incarnation") {
  using KnownState = std::optional<MemberState>;
  const KnownState unknown = std::nullopt;
  const auto gossip = [](Incarnation incarnation, MemberState state) {
    return GossipUpdate{1, incarnation, state};
  };
  struct Row {
    KnownState before;    // The state of member 1 at kPeerIncarnation.
    GossipUpdate update;  // Gossip from member 3; if about member 3, stands for a message of member 1.
    KnownState after;
  };
  const auto message = [](Incarnation incarnation) {
    return GossipUpdate{3, incarnation, MemberState::kAlive};
  };
  const Row rows[] = {
      {unknown, gossip(1, MemberState::kAlive), MemberState::kAlive},
      {unknown, gossip(1, MemberState::kSuspect), MemberState::kSuspect},
      {unknown, gossip(1, MemberState::kFailed), MemberState::kFailed},
      {unknown, message(1), MemberState::kAlive},
      {MemberState::kAlive, gossip(kPeerIncarnation - 1, MemberState::kSuspect), MemberState::kAlive},
      {MemberState::kAlive, gossip(kPeerIncarnation - 1, MemberState::kFailed), MemberState::kAlive},
      {MemberState::kAlive, gossip(kPeerIncarnation, MemberState::kSuspect), MemberState::kSuspect},
      {MemberState::kAlive, gossip(kPeerIncarnation, MemberState::kFailed), MemberState::kFailed},
      {MemberState::kAlive, gossip(kPeerIncarnation + 1, MemberState::kFailed), MemberState::kFailed},
      {MemberState::kSuspect, gossip(kPeerIncarnation - 1, MemberState::kAlive), MemberState::kSuspect},
      {MemberState::kSuspect, gossip(kPeerIncarnation, MemberState::kAlive), MemberState::kSuspect},
      {MemberState::kSuspect, gossip(kPeerIncarnation + 1, MemberState::kAlive), MemberState::kAlive},
      {MemberState::kSuspect, message(kPeerIncarnation), MemberState::kSuspect},
      {MemberState::kSuspect, message(kPeerIncarnation + 1), MemberState::kAlive},
      {MemberState::kSuspect, gossip(kPeerIncarnation - 1, MemberState::kFailed), MemberState::kSuspect},
      {MemberState::kSuspect, gossip(kPeerIncarnation, MemberState::kFailed), MemberState::kFailed},
      {MemberState::kFailed, gossip(kPeerIncarnation, MemberState::kAlive), MemberState::kFailed},
      {MemberState::kFailed, gossip(kPeerIncarnation, MemberState::kSuspect), MemberState::kFailed},
      {MemberState::kFailed, message(kPeerIncarnation), MemberState::kFailed},
      {MemberState::kFailed, message(kPeerIncarnation + 1), MemberState::kAlive},
      {MemberState::kFailed, gossip(kPeerIncarnation + 1, MemberState::kAlive), MemberState::kAlive},
      {MemberState::kFailed, gossip(kPeerIncarnation + 1, MemberState::kSuspect), MemberState::kSuspect},
      {MemberState::kFailed, gossip(kPeerIncarnation + 1, MemberState::kFailed), MemberState::kFailed},
      {MemberState::kFailed, gossip(kPeerIncarnation - 1, MemberState::kAlive), MemberState::kFailed},
  };
  for (std::size_t i = 0; i < std::size(rows); ++i) {
    CAPTURE(i);
    SingleMember self;
    if (rows[i].before) self.receive_gossip(gossip(kPeerIncarnation, *rows[i].before));
    REQUIRE(self.membership.state_of(1) == rows[i].before);
    const auto& update = rows[i].update;
    if (update.member == 3) {
      self.receive(1, update.incarnation);
    } else {
      self.receive_gossip(update);
    }
    CHECK(self.membership.state_of(1) == rows[i].after);
    // The changes that the last event has reported about member 1.
    const bool is_changed = rows[i].before != rows[i].after;
    const auto about_1 = std::count_if(self.last.changes.begin(), self.last.changes.end(),
                                       [](auto& each) { return each.member == 1; });
    CHECK(about_1 == (is_changed ? 1 : 0));
    const bool is_outdated = update.member == 1 && rows[i].before && update.incarnation < kPeerIncarnation;
    CHECK(self.membership.metrics().ignored_updates == (is_outdated ? 1 : 0));
    const auto known = self.membership.state_of(1);
    const bool counts = known == MemberState::kAlive || known == MemberState::kSuspect;
    CHECK(self.membership.alive_count() == (update.member == 3 && !rows[i].before ? 2u : counts ? 3u : 2u));
    CHECK(self.membership.alive_members().size() == self.membership.alive_count());
  }
}

TEST_CASE("membership: a member refutes suspicions of itself and ignores those of an older incarnation") {
  struct Row {
    Incarnation incarnation;
    MemberState state;
    Incarnation next;
  };
  for (const Row& row : {Row{kOwnIncarnation, MemberState::kSuspect, kOwnIncarnation + 1},
                         Row{kOwnIncarnation, MemberState::kFailed, kOwnIncarnation + 1},
                         Row{kOwnIncarnation, MemberState::kAlive, kOwnIncarnation},
                         Row{kOwnIncarnation - 1, MemberState::kFailed, kOwnIncarnation},
                         // The clock of the member's earlier process was ahead.
                         Row{kOwnIncarnation + 500, MemberState::kAlive, kOwnIncarnation + 501}}) {
    CAPTURE(row.incarnation, row.state);
    SingleMember self;
    self.receive(1, kPeerIncarnation, Ping{7}, {{0, row.incarnation, row.state}});
    CHECK(self.membership.incarnation() == row.next);
    CHECK(self.membership.state_of(0) == MemberState::kAlive);
    CHECK(self.membership.metrics().refutations == (row.next > kOwnIncarnation ? 1 : 0));
    CHECK(self.sent<Ack>() == std::vector<Sent<Ack>>{{1, Ack{7, 0}}});
  }
}

TEST_CASE("membership: a member that does not ack is pinged indirectly, then suspect, then failed") {
  SingleMember self;
  for (MemberId member : {1, 2, 3}) self.receive(member, kPeerIncarnation);
  const auto all_but_1 = [](std::size_t member) { return member != 1; };
  self.run(4 * kPeriod, any_member);
  REQUIRE(self.membership.is_current(self.now));
  std::optional<Time> requested_at;
  std::optional<Time> suspected_at;
  std::optional<Time> failed_at;
  while (!failed_at) {
    self.run_to_next_tick(all_but_1);
    const auto helpers = self.sent<PingRequest>();
    if (!helpers.empty() && !requested_at) {
      requested_at = self.now;
      CHECK(helpers.size() == 2);  // Members 2 and 3.
      for (const auto& [to, request] : helpers) {
        CHECK(to != 1);
        CHECK(request.target == 1);
      }
      CHECK(self.sent<Ping>().size() == 1);
    }
    if (!suspected_at && self.membership.state_of(1) == MemberState::kSuspect) suspected_at = self.now;
    if (self.membership.state_of(1) == MemberState::kFailed) failed_at = self.now;
  }
  const auto settings = make_settings(0, 4);
  CHECK(*suspected_at - *requested_at == kPeriod - settings.ping_timeout);
  CHECK(*failed_at - *suspected_at == settings.suspicion_timeout());
  // The first update that is sent to it is its own failure.
  CHECK(self.membership.gossip_for(1, 8).at(0) == GossipUpdate{1, kPeerIncarnation, MemberState::kFailed});
  // It is forgotten after the retention time, but gossip and messages of its old incarnation still have no
  // effect.
  self.run(settings.failed_member_retention + kPeriod, all_but_1);
  CHECK_FALSE(self.membership.state_of(1));
  self.receive_gossip({1, kPeerIncarnation, MemberState::kAlive});
  self.receive(1, kPeerIncarnation);
  CHECK_FALSE(self.membership.state_of(1));
  CHECK(self.membership.gossip_for(1, 8).at(0) == GossipUpdate{1, kPeerIncarnation, MemberState::kFailed});
  self.receive(1, kPeerIncarnation + 1);
  CHECK(self.membership.state_of(1) == MemberState::kAlive);
}

TEST_CASE("membership: a higher incarnation restarts a member's timeouts") {
  SingleMember self;
  self.receive(1, kPeerIncarnation);
  while (self.membership.metrics().probes == 0) self.run_to_next_tick();
  self.receive_gossip({1, kPeerIncarnation + 1, MemberState::kAlive});
  self.run(kPeriod);
  CHECK(self.membership.state_of(1) == MemberState::kAlive);
  CHECK(self.membership.metrics().suspicions == 0);

  const auto timeout = make_settings(0, 4).suspicion_timeout();
  self.receive_gossip({1, kPeerIncarnation + 2, MemberState::kSuspect});
  self.run(timeout - 1ms);
  self.receive_gossip({1, kPeerIncarnation + 3, MemberState::kSuspect});
  self.run(timeout - 1ms);
  CHECK(self.membership.state_of(1) == MemberState::kSuspect);
  self.run(1ms);
  CHECK(self.membership.state_of(1) == MemberState::kFailed);

  self.receive(1, kPeerIncarnation + 4);
  // A process whose clock is behind its predecessor's is informed, so that it takes a higher incarnation.
  self.receive(1, kPeerIncarnation);
  CHECK(self.membership.gossip_for(1, 8).at(0) == GossipUpdate{1, kPeerIncarnation + 4, MemberState::kAlive});
}

TEST_CASE("membership: an indirect ack prevents a suspicion, and a ping request is relayed") {
  SingleMember self;
  for (MemberId member : {1, 2, 3}) self.receive(member, kPeerIncarnation);
  const auto all_but_1 = [](std::size_t member) { return member != 1; };
  while (self.sent<PingRequest>().empty()) self.run_to_next_tick(all_but_1);
  const auto [helper, request] = self.sent<PingRequest>().at(0);
  self.receive(helper, kPeerIncarnation, Ack{request.number, 1});
  self.run(kPeriod - make_settings(0, 4).ping_timeout, all_but_1);
  CHECK(self.membership.metrics().suspicions == 0);

  self.receive(2, kPeerIncarnation, PingRequest{77, 3});
  const auto pings = self.sent<Ping>();
  REQUIRE(pings.size() == 1);
  CHECK(pings[0].to == 3);
  self.receive(3, kPeerIncarnation, Ack{pings[0].message.number, 3});
  CHECK(self.sent<Ack>() == std::vector<Sent<Ack>>{{2, Ack{77, 3}}});
  self.receive(3, kPeerIncarnation, Ack{pings[0].message.number, 3});  // A duplicate.
  CHECK(self.sent<Ack>().empty());
  self.receive(2, kPeerIncarnation, PingRequest{78, 0});  // About the member itself.
  CHECK(self.sent<Ack>() == std::vector<Sent<Ack>>{{2, Ack{78, 0}}});
}

TEST_CASE(
    "membership: an isolated member considers no member failed, and is current after the isolation timeout") {
  std::set<Time> first;
  for (unsigned seed = 0; seed < 20; ++seed)
    first.insert(Membership(make_settings(0, 9), 1, seed, Time{}).next_due());
  CHECK(first.size() > 15);  // Members that start together ping at different times.
  SingleMember self(9);
  const auto timeout = make_settings(0, 9).isolation_timeout;
  self.run(timeout - 1ms);
  CHECK_FALSE(self.membership.is_current(self.now));
  self.run(kPeriod);
  CHECK(self.membership.is_current(self.now));
  self.run(600s);
  for (MemberId member = 1; member < 9; ++member) CHECK_FALSE(self.membership.state_of(member));
  CHECK(self.membership.alive_members() == std::vector<MemberId>{0});
  CHECK(self.membership.metrics().suspicions == 0);
}

TEST_CASE("membership: after a stall only acks to later pings make a member current") {
  SingleMember self(3);
  self.receive(1, kPeerIncarnation);
  self.receive(2, kPeerIncarnation);
  self.run(kPeriod);
  const auto earlier_pings = self.sent<Ping>();
  REQUIRE_FALSE(earlier_pings.empty());
  self.run(3 * kPeriod, any_member);
  REQUIRE(self.membership.is_current(self.now));
  self.receive_gossip({1, kPeerIncarnation, MemberState::kSuspect});
  self.now += 10s;
  self.receive(earlier_pings[0].to, kPeerIncarnation,
               Ack{earlier_pings[0].message.number, earlier_pings[0].to});  // It was unread in the socket.
  CHECK(self.membership.metrics().stalls == 1);
  CHECK(self.membership.incarnation() == kOwnIncarnation + 1);
  CHECK(self.membership.state_of(1) == MemberState::kAlive);
  CHECK(self.membership.gossip_for(2, 8).empty());  // There are no recent changes to gossip.
  self.run(3 * kPeriod);
  CHECK_FALSE(self.membership.is_current(self.now));
  self.run(kPeriod, any_member);
  CHECK(self.membership.is_current(self.now));
  // A clock that goes back by more than the stall threshold counts as a stall.
  self.now -= 1h;
  CHECK_FALSE(self.membership.is_current(self.now));
  self.tick();
  CHECK(self.membership.metrics().stalls == 2);
  CHECK(self.membership.next_due() <= self.now + kPeriod);
}

TEST_CASE(
    "membership: a tick late by less than the stall threshold extends deadlines and raises no suspicion") {
  SingleMember self;
  for (MemberId member : {1, 2, 3}) self.receive(member, kPeerIncarnation);
  const auto probes = [&] { return self.membership.metrics().probes; };
  while (probes() == 0) self.run_to_next_tick();
  const auto pings = self.sent<Ping>();
  self.now += 1200ms;  // The acks are unread, and the timers run first.
  self.tick();
  CHECK(self.membership.metrics().stalls == 0);
  CHECK(self.membership.metrics().indirect_probes == 0);
  for (const auto& [to, ping] : pings) self.receive(to, kPeerIncarnation, Ack{ping.number, to});
  self.run(kPeriod - 1ms, any_member);
  CHECK(self.membership.metrics().suspicions == 0);
}

TEST_CASE("membership: each change is gossiped a limited number of times, the least gossiped first") {
  SingleMember self(100);
  for (MemberId member = 1; member <= 20; ++member) self.receive_gossip({member, 5, MemberState::kFailed});
  std::vector<int> transmissions(100);
  for (int i = 0; i < 300; ++i) {
    const auto updates = self.membership.gossip_for(50, 4);
    CHECK(updates.size() <= 4);
    for (const GossipUpdate& update : updates) ++transmissions[update.member];
    const auto [least, most] = std::minmax_element(transmissions.begin() + 1, transmissions.begin() + 21);
    if (i < 50) CHECK(*most - *least <= 1);
  }
  for (MemberId member = 1; member <= 20; ++member) CHECK(transmissions[member] == 20);  // About 3 log2 101.
  CHECK(self.membership.gossip_for(50, 0).empty());
  // A message carries at most 8 updates, but the first one to a new member as many as fit.
  for (MemberId member = 21; member <= 40; ++member) self.receive_gossip({member, 5, MemberState::kAlive});
  CHECK(self.membership.gossip_for(50, 100).size() == 8);
  self.receive(60, 5);
  CHECK(self.membership.gossip_for(60, 15).size() == 15);
  CHECK(self.membership.gossip_for(60, 15).size() == 8);
}

TEST_CASE("membership: invalid messages have no effect and are counted, and a flood is rate-limited") {
  SingleMember self;
  self.receive(4, kPeerIncarnation, Ping{1});  // Not configured.
  self.receive(0, kPeerIncarnation, Ping{1});  // The member itself.
  self.receive(65'535, kPeerIncarnation, Ping{1});
  CHECK(self.membership.metrics().unknown_members == 3);
  CHECK(self.last.messages.empty());
  self.receive(1, kPeerIncarnation, PingRequest{1, 900});
  self.receive(1, kPeerIncarnation, Ack{1, 900}, {{900, 1, MemberState::kFailed}});
  CHECK(self.membership.metrics().unknown_members == 5);
  CHECK(self.last.messages.empty());
  // Invalid incarnations, which leave no room for refutations.
  self.receive(1, kPeerIncarnation, Ping{1},
               {{0, ~Incarnation(0), MemberState::kFailed}, {2, ~Incarnation(0), MemberState::kFailed}});
  self.receive(2, ~Incarnation(0), Ping{1});
  self.receive(2, 0, Ping{1});
  CHECK(self.membership.metrics().ignored_updates == 4);
  CHECK(self.membership.incarnation() == kOwnIncarnation);
  CHECK_FALSE(self.membership.state_of(2));
  // Replies to a flood are rate-limited, and relays are limited independently of the rate limit.
  auto unlimited = make_settings(0, 4);
  unlimited.max_messages_per_second = 1'000'000;
  Membership flooded_relay(unlimited, kOwnIncarnation, 1, self.now);
  std::size_t pings = 0;
  for (int i = 0; i < 1000; ++i)
    pings += flooded_relay.receive(self.now, 1, kPeerIncarnation, PingRequest{1, 2}, {}).messages.size();
  CHECK(pings == 64);
  SingleMember flooded;
  std::size_t answers = 0;
  for (int i = 0; i < 10'000; ++i) {
    flooded.receive(1, kPeerIncarnation, i % 2 ? MessageBody{Ping{1}} : MessageBody{PingRequest{1, 2}});
    answers += flooded.last.messages.size();
  }
  CHECK(answers == 64);
  CHECK(flooded.membership.metrics().rate_limited > 9'000);
  flooded.run(kPeriod);
  flooded.receive(1, kPeerIncarnation, Ping{1});
  CHECK(flooded.last.messages.size() == 1);
}

TEST_CASE("membership: a setting out of range is reported with its name and the allowed values") {
  struct Case {
    std::string_view setting;
    void (*invalidate)(MembershipSettings&);
  };
  const Case cases[] = {
      {"member_count", [](MembershipSettings& settings) { settings.member_count = kMaxMembers + 1; }},
      {"self", [](MembershipSettings& settings) { settings.self = 4; }},
      {"probe_interval", [](MembershipSettings& settings) { settings.probe_interval = 0us; }},
      {"ping_timeout", [](MembershipSettings& settings) { settings.ping_timeout = settings.probe_interval; }},
      {"indirect_ping_count", [](MembershipSettings& settings) { settings.indirect_ping_count = -1; }},
      {"suspicion_multiplier", [](MembershipSettings& settings) { settings.suspicion_multiplier = 0; }},
      {"failed_member_retention",
       [](MembershipSettings& settings) { settings.failed_member_retention = 1s; }},
      {"stall_threshold", [](MembershipSettings& settings) { settings.stall_threshold = 1ms; }},
      {"isolation_timeout", [](MembershipSettings& settings) { settings.isolation_timeout = 1ms; }},
      {"gossip_updates_per_message",
       [](MembershipSettings& settings) { settings.gossip_updates_per_message = 0; }},
      {"max_messages_per_second", [](MembershipSettings& settings) { settings.max_messages_per_second = 1; }},
      {"fast_probe_count", [](MembershipSettings& settings) { settings.fast_probe_count = 17; }},
  };
  CHECK_FALSE(make_settings(0, 4).validate());
  for (const Case& each : cases) {
    CAPTURE(each.setting);
    MembershipSettings settings = make_settings(0, 4);
    each.invalidate(settings);
    const auto invalid = settings.validate();
    REQUIRE(invalid);
    CHECK(invalid->setting == each.setting);
    CHECK(invalid->advice.rfind("set ", 0) == 0);
    CHECK_THROWS_AS(Membership(settings, 1, 1, Time{}), std::invalid_argument);
  }
}

}  // namespace
}  // namespace rookproxy::cluster
