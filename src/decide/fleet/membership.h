// Who of the configured dispatchers lives, as one of them knows it. After SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002), with a decider that
// doubts itself when it was late (the thought of Lifeguard: Dadgar, Phillips, Currey: "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", 2018).
//
// Each period one other member is pinged, in an order that is shuffled anew each pass. No answer: `proxies`
// others are asked to ping it, beside a second ping of one's own. No answer by the period's end: it is
// suspect, and gone after the suspicion span if it has not refuted. Words of this ride on every message
// between members. So a member sends and gets the same number of messages whatever the fleet's size.
//
// docs/fleet-decisions.md has the tables: how a member is held by another (unknown, alive, suspect, gone),
// and when the decider itself is starting, waking or current.
//
// Fifteen: each answer carries the newest words of its sender, so one that half the fleet knows is missed by
// fifteen of them with a chance of 2^-15; a majority of 300 would take over ten seconds. Only answers to
// pings sent since the waking count: what lay in the socket meanwhile is as old as what the decider knew.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/fleet/types.h"

namespace rookproxy::decide::fleet {

struct MembershipSettings {
  MemberId self = 0;
  std::size_t members = 1;                           // configured, itself included
  Duration period = std::chrono::milliseconds(500);  // between two probes
  Duration direct = std::chrono::milliseconds(150);  // for a ping's answer, until others are asked
  int proxies = 3;                                   // asked to ping for us; 0 to 16
  double suspicion = 3;                              // times log2(members + 1) periods: the suspicion span
  Duration forget = std::chrono::minutes(10);        // a gone member is unknown after this
  Duration wake_after = std::chrono::milliseconds(2000);    // a tick this late: the process was stopped
  Duration alone_after = std::chrono::milliseconds(10000);  // nobody heard for this: alone, and current
  int rumours = 8;                                          // of each message; a greeting takes all the room
  int messages = 64;  // a second that are sent at the most, answers included
  int hurry = 5;      // pings more a period until current

  Duration span() const;        // from suspect to gone: the fleet's size tells how long words travel
  Duration wake_bound() const;  // so late is a stall
  std::string fault() const;    // what is wrong and what to set instead; empty: nothing
};

class Membership {
 public:
  // `start`: the microseconds of the process's start, not 0. `seed`: any, other at each member.
  // Throws std::invalid_argument with settings().fault().
  Membership(const MembershipSettings& settings, Incarnation start, std::uint64_t seed, Time now);

  struct Change {
    MemberId member = 0;
    std::optional<MemberState> before, after;  // nothing: unknown
    bool operator==(const Change&) const = default;
  };
  struct Step {
    std::vector<Outgoing> send;
    std::vector<Change> changes;
  };
  // At next_due() or a little after.
  Step tick(Time now);
  // A message whose proof is good. Bodies other than Ping, PingFor and Ack count as words of their sender
  // alone.
  Step on(Time now, MemberId from, Incarnation incarnation, const Body& body,
          const std::vector<Rumour>& rumours);
  // What rides on the message that goes to `to` now, at most `most`: what is held against it, news (each told
  // about 3 log2 n times, the least told first), then the table in turn.
  std::vector<Rumour> rumours(MemberId to, std::size_t most);

  Time next_due() const { return due_; }
  // Goes with every message.
  Incarnation incarnation() const { return own_; }
  // Nothing: not heard of since the start, or gone for long. Of itself: alive.
  std::optional<MemberState> state_of(MemberId member) const;
  // Itself, and those alive or suspect: one lost datagram must not move anybody's share.
  std::vector<MemberId> alive() const;
  std::size_t alive_count() const { return held_ + 1; }
  // False: it has started or woken, or should have ticked long ago, and what it holds may be old.
  bool is_current(Time now) const;

  struct Figures {
    std::uint64_t probes = 0, indirect = 0;  // probes begun, and those that asked others
    std::uint64_t suspicions = 0;            // own, by a probe that nobody answered
    std::uint64_t refutations = 0;           // of suspicions of itself
    std::uint64_t wakes = 0;
    std::uint64_t ignored = 0;    // rumours older than what is held, or with an incarnation that can't be
    std::uint64_t strangers = 0;  // messages of and rumours about members that are not configured
    std::uint64_t held_back = 0;  // messages above `messages` a second
  };
  const Figures& figures() const { return figures_; }

 private:
  enum class State : std::uint8_t { kUnknown, kAlive, kSuspect, kGone };
  struct Entry {
    Incarnation incarnation = 0;
    Time until{};            // suspect: gone then; gone: forgotten then
    std::uint16_t sent = 0;  // times that its last change was told
    State state = State::kUnknown;
    bool accused : 1 = false;  // the suspicion is our own
    bool greet : 1 = false;    // new to us: gets the table
    bool behind : 1 = false;   // its last message had an older incarnation than is known of it
    bool heard : 1 = false;    // has answered since the start or waking
  };
  struct Probe {
    MemberId member;
    std::uint32_t number;
    Incarnation incarnation;
    Time direct, until;
    bool asked = false;
  };
  struct Relay {
    MemberId asker, about;
    std::uint32_t number, askers;  // the ping's, and the one the asker knows
    Time until;
  };

  static bool is_held(State state) { return state == State::kAlive || state == State::kSuspect; }
  static std::optional<MemberState> shown(State state);
  void look_at_clock(Time now);
  void wake(Time now);
  void forgive_lateness(Time now);
  void round(Time now);
  void knock();
  void end_probes(Time now);
  void end_suspicions(Time now);
  void hear(MemberId from, Incarnation incarnation, Time now);
  void learn(const Rumour& rumour, Time now);
  void answered(MemberId from, const Ack& ack);
  void relay(MemberId from, const PingFor& ask, Time now);
  void move(MemberId member, State state, Incarnation incarnation, Time now);
  void say(MemberId to, Body body);
  template <class Which>
  std::optional<MemberId> following(std::size_t& place, Which which) const;
  Step finish(Time now);

  MembershipSettings settings_;
  Duration span_, wake_bound_;
  unsigned tellings_;  // of each change
  std::vector<Entry> entries_;
  Incarnation own_;
  std::mt19937 random_;
  std::vector<MemberId> order_;                                             // of probes, all others
  std::size_t probe_at_ = 0, knock_at_ = 0, hurry_at_ = 0, accuse_at_ = 0;  // places in it
  std::size_t tour_at_ = 0;  // the next member that the table's tour tells of
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::uint32_t next_number_ = 0, since_ = 0;  // the first number used since the start or waking
  std::size_t held_ = 0, heard_ = 0;
  bool current_ = false, odd_round_ = false;
  double credit_ = 0;  // messages
  Time credit_at_, began_, next_round_, due_, last_;
  Step step_;
  Figures figures_;
};

}  // namespace rookproxy::decide::fleet
