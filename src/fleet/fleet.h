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
  // Of what the plan's numbers stand for: dispatchers with another list don't read them.
  std::uint32_t fingerprint = 0;
  std::string key_file, former_key_file;  // where the keys in `peers` are from; empty: none
};

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
  bool reads_plan() const { return plan().fingerprint == settings_.fingerprint; }

  // The operator's file has changed: other keys at once, and other numbers by a plan of their own, which a
  // majority has to take. Throws SettingsError, and then nothing has changed.
  void change(const FleetSettings& fresh);
  // Votes no more and gives up the address: a successor of this process, or nobody, takes the place.
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

  Loop& loop_;
  Log& log_;
  FleetSettings settings_;
  decide::fleet::Membership membership_;
  decide::fleet::Agreement agreement_;
  peers::PeerSocket socket_;
  TimerKey timer_{};
  Standing said_ = Standing::kAlone;
  std::uint32_t said_epoch_ = 0;
  bool left_ = false, said_closed_ = false;
};

}  // namespace rookproxy
