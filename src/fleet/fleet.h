// What this dispatcher knows together with the others: who is there, and the plan that a majority holds.
// Joins the deciders of src/decide/fleet to the peers' socket and the loop's timers; decides nothing itself.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decide/fleet/agreement.h"
#include "decide/fleet/membership.h"
#include "log/log.h"
#include "peers/socket.h"

namespace rookproxy {

struct FleetSettings {
  peers::PeerSettings peers;
  Duration period = std::chrono::milliseconds(500);  // between two probes of members
  Duration lease = std::chrono::seconds(4);          // of the plan's bold parts, without a majority's word
  // What the plan's numbers stand for: dispatchers with another list don't read them.
  std::vector<std::string> zones;
};

// The deciders' times, in proportion to `period` and `lease`: with 500 ms and 4 s they are their own
// defaults. Throws SettingsError.
decide::fleet::MembershipSettings membership_of(const FleetSettings& settings);
decide::fleet::Agreement::Settings agreement_of(const FleetSettings& settings,
                                                decide::fleet::Incarnation life, std::uint64_t seed);

// Of the names that the plan numbers by their places.
std::uint32_t plan_fingerprint(const std::vector<std::string>& names);

class Fleet {
 public:
  using Figure = std::pair<std::string, std::uint64_t>;

  // `seed`: of pauses and of the order of probes. Throws SettingsError.
  Fleet(Loop& loop, Log& log, FleetSettings settings, std::uint64_t seed);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // How far the plan may be acted on. Of itself a dispatcher that has started, or woken after a stall, knows
  // nothing that it may act on; one that hears no majority keeps the careful parts of the last plan alone.
  enum class Standing { kAlone = 0, kCareful = 1, kWhole = 2 };
  Standing standing() const;
  // The last plan known; its numbers mean nothing where `reads_plan` is false.
  const decide::fleet::FleetPlan& plan() const { return agreement_.plan(); }
  bool reads_plan() const { return plan().fingerprint == fingerprint_; }

  // The operator's file has changed. What may be turned down comes first (throws SettingsError); what is made
  // is taken whole later, and that throws nothing. Keys are taken at once. Other zones are an order to make a
  // plan with them, which a majority has to take: it is tried until a plan with them was seen in force, or
  // for `names_span`. Only this makes one; a process that starts with other zones than the fleet's does not,
  // since it may be the one with the old file.
  struct Change {
    std::vector<std::string> zones;
    peers::Codec codec;
  };
  Change prepare(const FleetSettings& fresh) const;
  void take(Change change);
  // Votes no more and gives up the address. A successor of this process binds it then, within 100 ms; without
  // one this process ends its drain as a silent member, which the others hold gone after a while.
  void leave();

  // As METRICS shows them, beginning with 'fleet.'.
  std::vector<Figure> figures() const;

 private:
  void hear(const peers::Envelope& envelope);
  void carry_out(decide::fleet::Membership::Step step);
  void send(const std::vector<decide::fleet::Outgoing>& messages);
  void propose_names();
  void turn();
  void look();
  void wait();

  Duration names_span() const { return 15 * settings_.lease; }

  Loop& loop_;
  Log& log_;
  FleetSettings settings_;
  std::uint32_t fingerprint_;
  decide::fleet::Incarnation life_;
  decide::fleet::Membership membership_;
  decide::fleet::Agreement agreement_;
  peers::PeerSocket socket_;
  TimerKey timer_{};
  Standing said_ = Standing::kAlone;
  std::uint32_t said_epoch_ = 0;
  std::optional<Time> names_until_;  // an order to put our zones in force stands
  bool left_ = false, said_closed_ = false;
};

}  // namespace rookproxy
