// Tests of the decisions on an instance's processes: single cases, and all orders of events.
#include "policy/instance_lifecycle.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;
using Command = InstanceCommand;
using State = InstanceState;

constexpr Time kStart{1h};
constexpr int kUnknownProcess = 1'000'000;
constexpr Duration kStopTimeout = 3s;

// A child process as the tests know it.
struct Child {
  std::size_t admin_index = 0;
  Time started_at;
  std::optional<Time> terminated_at;
  bool is_killed = false;

  [[nodiscard]] bool was_told_to_end() const { return terminated_at || is_killed; }
};

// Records what the lifecycle does to processes. A signal to anything but a running child fails the test.
class FakeControl final : public ProcessControl {
 public:
  std::optional<ProcessId> start(std::size_t admin_index) override {
    ++starts;
    if (starts_fail) return std::nullopt;
    children.emplace(++last_id, Child{admin_index, now, std::nullopt, false});
    return ProcessId::from(last_id);
  }
  void terminate(ProcessId process, TerminationReason) override {
    ++signals;
    Child& child = children.at(process.number());
    if (child.was_told_to_end()) sent_signal_twice = true;
    child.terminated_at = now;
  }
  void kill(ProcessId process, KillReason) override {
    ++signals;
    Child& child = children.at(process.number());
    if (child.is_killed) sent_signal_twice = true;
    if (!child.terminated_at || now < *child.terminated_at + kStopTimeout) killed_while_serving = true;
    child.is_killed = true;
  }
  void probe(ProcessId process, std::size_t admin_index) override {
    open_probe = process.number();
    if (children.at(process.number()).admin_index != admin_index) misdirected_probe = true;
  }

  Time now = kStart;
  bool starts_fail = false;
  std::map<int, Child> children;
  int last_id = 0;
  int starts = 0;
  int signals = 0;
  // The process whose response to a probe is awaited.
  std::optional<int> open_probe;
  bool misdirected_probe = false;
  bool sent_signal_twice = false;
  // A process was killed that had not been told to end, or had not had its time for that.
  bool killed_while_serving = false;
};

InstanceSettings settings(bool can_overlap = true) {
  InstanceSettings settings;
  settings.initial_backoff = 1s;
  settings.max_backoff = 2s;
  settings.stable_after = 3s;
  settings.ready_timeout = 4s;
  settings.probe_interval = 1s;
  settings.stop_timeout = kStopTimeout;
  settings.can_overlap = can_overlap;
  return settings;
}

// An instance with its processes, which can be copied to try several events on it.
struct World {
  explicit World(bool can_overlap = true) : lifecycle(settings(can_overlap)) {}

  std::optional<InstanceRejection> command(Command command) {
    const auto rejection = lifecycle.on_command(command, {control.now, control});
    if (rejection) return rejection;
    if (command == Command::kStart || command == Command::kRestart) is_wanted = true;
    if (command == Command::kDrain || command == Command::kShutdown) is_wanted = false;
    if (command == Command::kShutdown) is_shutting_down = true;
    return rejection;
  }
  void exit(int process) {
    control.children.erase(process);
    lifecycle.on_exit(*ProcessId::from(process), "exit 7", {control.now, control});
  }
  void respond(int process, bool is_ready) {
    if (control.open_probe == process) control.open_probe.reset();
    lifecycle.on_probe_response(*ProcessId::from(process), is_ready, {control.now, control});
  }
  void advance_to(Time time) {
    control.now = time;
    lifecycle.on_time({control.now, control});
  }
  [[nodiscard]] int process() const { return number(lifecycle.process()); }
  [[nodiscard]] int successor() const { return number(lifecycle.successor()); }
  static int number(std::optional<ProcessId> process) { return process ? process->number() : 0; }

  InstanceLifecycle lifecycle;
  FakeControl control;
  // Whether the last accepted command asked for a running instance.
  bool is_wanted = false;
  bool is_shutting_down = false;
};

World running() {
  World world;
  world.command(Command::kStart);
  return world;
}

World upgrading() {
  World world = running();
  world.command(Command::kUpgrade);
  return world;
}

}  // namespace

TEST_CASE("process id: it can't hold a number that stands for a group of processes") {
  CHECK_FALSE(ProcessId::from(0));
  CHECK_FALSE(ProcessId::from(-1));
  CHECK(ProcessId::from(1)->number() == 1);
}

TEST_CASE("instance: a response of a process that was promoted at its predecessor's exit changes nothing") {
  // Guards against an instance that retires its only process.
  World world = upgrading();
  const int successor = world.successor();
  world.exit(world.process());
  REQUIRE(world.process() == successor);
  world.respond(successor, true);
  CHECK(world.process() == successor);
  CHECK(world.control.signals == 0);
  CHECK(world.lifecycle.upgrade().to_string() == "done");
}

TEST_CASE("instance: a successor that becomes ready during a drain is not promoted") {
  // Guards against a drained instance that runs again.
  World world = upgrading();
  const int former = world.process();
  const int successor = world.successor();
  world.command(Command::kDrain);
  world.respond(successor, true);
  CHECK(world.lifecycle.state() == State::kDraining);
  world.exit(successor);
  CHECK(world.lifecycle.upgrade().to_string() == "failed: the successor ended with exit 7");
  world.exit(former);
  CHECK(world.lifecycle.state() == State::kStopped);
  CHECK_FALSE(world.lifecycle.next_due());
}

TEST_CASE("instance: a successor whose upgrade is aborted drains, whatever aborts the upgrade") {
  // Guards against lost requests: a successor serves clients before the agent learns that it is ready.
  const auto command = GENERATE(Command::kDrain, Command::kRestart, Command::kShutdown);
  const bool is_late = GENERATE(false, true);
  World world = upgrading();
  const int successor = world.successor();
  if (is_late) {
    world.respond(successor, false);
    while (world.successor() == successor) world.advance_to(*world.lifecycle.next_due());
  } else {
    world.command(command);
  }
  const Child& child = world.control.children.at(successor);
  CHECK(child.terminated_at);
  CHECK_FALSE(child.is_killed);
  world.advance_to(*child.terminated_at + kStopTimeout);
  CHECK(world.control.children.at(successor).is_killed);
  CHECK_FALSE(world.control.killed_while_serving);
}

TEST_CASE("instance: a restart starts the new process first where two can run side by side") {
  // Guards against clients of a shared socket that nobody accepts while the old process drains.
  World world = running();
  const int former = world.process();
  CHECK_FALSE(world.command(Command::kRestart));
  CHECK(world.control.children.size() == 2);
  CHECK(world.lifecycle.state() == State::kDraining);
  CHECK(world.process() == former);
  world.exit(former);
  CHECK(world.lifecycle.state() == State::kRunning);
  CHECK(world.process() == world.control.last_id);
  CHECK(world.lifecycle.admin_index() == 1);
  CHECK(world.lifecycle.upgrade().to_string().empty());
}

TEST_CASE("instance: a restart that can't start a process leaves the running one alone") {
  World world = running();
  world.control.starts_fail = true;
  CHECK(world.command(Command::kRestart) == InstanceRejection::kNoProcessStarted);
  CHECK(world.lifecycle.state() == State::kRunning);
  CHECK(world.control.signals == 0);
}

TEST_CASE("instance: a second restart also replaces the process that the first one started") {
  // Guards against a process that runs with a configuration from before the command.
  World world = running();
  const int former = world.process();
  world.command(Command::kRestart);
  const int replacement = world.control.last_id;
  world.command(Command::kRestart);
  world.exit(replacement);
  CHECK(world.lifecycle.state() == State::kRunning);
  CHECK(world.process() != replacement);
  CHECK(world.command(Command::kUpgrade) == InstanceRejection::kBeingRestarted);
  world.exit(former);
  CHECK_FALSE(world.command(Command::kUpgrade));
}

TEST_CASE("instance: a replacement that ends while the old process drains is started again afterwards") {
  World world = running();
  const int former = world.process();
  world.command(Command::kRestart);
  world.exit(world.control.last_id);
  CHECK(world.lifecycle.restarts() == 1);
  CHECK(world.process() == former);
  world.exit(former);
  CHECK(world.lifecycle.state() == State::kRunning);
}

TEST_CASE("instance: a restart whose start fails is tried again") {
  // Guards against an instance that stays stopped because the machine lacked memory for a moment.
  World world(false);
  world.command(Command::kStart);
  world.command(Command::kRestart);
  world.control.starts_fail = true;
  world.exit(world.process());
  CHECK(world.lifecycle.state() == State::kWaiting);
  CHECK(world.lifecycle.last_exit() == "exit 127");
  world.control.starts_fail = false;
  world.advance_to(*world.lifecycle.next_due());
  CHECK(world.lifecycle.state() == State::kRunning);
}

TEST_CASE("instance: pauses grow with each failed start, however long ago the last process started") {
  // Guards against a machine without memory that is asked for a process at the shortest pause forever.
  World world = running();
  world.advance_to(kStart + 1h);
  world.control.starts_fail = true;
  world.exit(world.process());
  CHECK(*world.lifecycle.next_due() == world.control.now + 1s);
  for (int i = 0; i < 3; ++i) {
    world.advance_to(*world.lifecycle.next_due());
    CHECK(*world.lifecycle.next_due() == world.control.now + 2s);
  }
}

TEST_CASE("instance: it is draining until the process that an upgrade replaced has ended as well") {
  // Guards against an instance that is shown as stopped while one of its processes still serves.
  World world = upgrading();
  const int former = world.process();
  world.respond(world.successor(), true);
  world.command(Command::kDrain);
  world.exit(world.process());
  CHECK(world.lifecycle.state() == State::kDraining);
  CHECK(world.process() == former);
  CHECK(world.lifecycle.admin_index() == 0);
  world.exit(former);
  CHECK(world.lifecycle.state() == State::kStopped);
}

TEST_CASE("instance: only processes that exceed the stop timeout are killed, each at its own") {
  World world = upgrading();
  const int former = world.process();
  world.respond(world.successor(), true);
  const int promoted = world.process();
  world.advance_to(kStart + 1s);
  world.command(Command::kDrain);
  world.advance_to(kStart + 3s);
  CHECK(world.control.children.at(former).is_killed);
  CHECK_FALSE(world.control.children.at(promoted).is_killed);
  world.advance_to(kStart + 4s);
  CHECK(world.control.children.at(promoted).is_killed);
}

TEST_CASE("instance: commands that can't be carried out are rejected and change nothing") {
  World world(false);
  CHECK(world.command(Command::kUpgrade) == InstanceRejection::kNotUpgradable);
  World upgradable;
  CHECK(upgradable.command(Command::kUpgrade) == InstanceRejection::kNotRunning);
  upgradable.command(Command::kStart);
  upgradable.control.starts_fail = true;
  CHECK(upgradable.command(Command::kUpgrade) == InstanceRejection::kNoProcessStarted);
  CHECK(upgradable.lifecycle.upgrade().to_string().empty());
  upgradable.control.starts_fail = false;
  CHECK_FALSE(upgradable.command(Command::kUpgrade));
  CHECK(upgradable.command(Command::kUpgrade) == InstanceRejection::kBeingUpgraded);
  upgradable.respond(upgradable.successor(), true);
  CHECK(upgradable.command(Command::kUpgrade) == InstanceRejection::kBeingUpgraded);
  upgradable.command(Command::kShutdown);
  CHECK(upgradable.command(Command::kStart) == InstanceRejection::kShuttingDown);
  CHECK(upgradable.command(Command::kRestart) == InstanceRejection::kShuttingDown);
  CHECK(upgradable.command(Command::kUpgrade) == InstanceRejection::kShuttingDown);
}

// All orders of events.

namespace {

// One event that can happen in a world.
struct Step {
  enum class Kind { kCommand, kExit, kReadyResponse, kOtherResponse, kTime, kLateTime };
  Kind kind = Kind::kTime;
  Command command = Command::kStart;
  int process = 0;
  bool starts_fail = false;
};

std::vector<Step> possible_steps(const World& world) {
  std::vector<Step> steps;
  for (const bool starts_fail : {false, true}) {
    for (const Command command :
         {Command::kStart, Command::kDrain, Command::kRestart, Command::kUpgrade, Command::kShutdown}) {
      steps.push_back({Step::Kind::kCommand, command, 0, starts_fail});
    }
    for (const auto& [process, child] : world.control.children) {
      steps.push_back({Step::Kind::kExit, {}, process, starts_fail});
    }
    if (!world.lifecycle.next_due()) continue;
    steps.push_back({Step::Kind::kTime, {}, 0, starts_fail});
    steps.push_back({Step::Kind::kLateTime, {}, 0, starts_fail});
  }
  // Responses may be late, so any process may send them, also one that has ended.
  std::vector<int> responders{kUnknownProcess};
  for (const auto& [process, child] : world.control.children) responders.push_back(process);
  for (const int process : responders) {
    steps.push_back({Step::Kind::kReadyResponse, {}, process, false});
    steps.push_back({Step::Kind::kOtherResponse, {}, process, false});
  }
  return steps;
}

void play(World& world, const Step& step) {
  world.control.starts_fail = step.starts_fail;
  world.control.starts = 0;
  world.control.signals = 0;
  switch (step.kind) {
    case Step::Kind::kCommand:
      (void)world.command(step.command);
      break;
    case Step::Kind::kExit:
      world.exit(step.process);
      break;
    case Step::Kind::kReadyResponse:
    case Step::Kind::kOtherResponse:
      world.respond(step.process, step.kind == Step::Kind::kReadyResponse);
      break;
    case Step::Kind::kTime:
      world.advance_to(*world.lifecycle.next_due());
      break;
    case Step::Kind::kLateTime:
      // Several deadlines may have passed.
      world.advance_to(*world.lifecycle.next_due() + 2s);
      break;
  }
  world.control.starts_fail = false;
}

bool knows_exactly_its_children(const World& world) {
  std::set<int> known;
  for (const ProcessId process : world.lifecycle.processes()) known.insert(process.number());
  std::set<int> children;
  for (const auto& [process, child] : world.control.children) children.insert(process);
  return known == children && world.lifecycle.processes().size() == children.size();
}

bool uses_each_admin_address_once(const World& world) {
  std::set<std::size_t> used;
  for (const auto& [process, child] : world.control.children) used.insert(child.admin_index);
  return used.size() == world.control.children.size() && !world.control.misdirected_probe;
}

// A successor has an open probe, or the next one follows after the pause.
bool is_successor_probed(const World& world) {
  if (!world.lifecycle.successor() || world.control.open_probe == world.successor()) return true;
  const auto due = world.lifecycle.next_due();
  return due && *due <= world.control.now + settings().probe_interval;
}

bool is_state_true(const World& world) {
  const auto& children = world.control.children;
  const auto shown = children.find(world.process());
  switch (world.lifecycle.state()) {
    case State::kStopped:
      return children.empty() && !world.lifecycle.next_due();
    case State::kWaiting:
      return shown == children.end() && world.lifecycle.next_due();
    case State::kRunning:
      return shown != children.end() && !shown->second.was_told_to_end();
    case State::kDraining:
      return shown != children.end() && shown->second.was_told_to_end();
  }
  return false;
}

// A deadline is handled once it has passed, so that the caller does not wait for it again at once.
bool is_overdue_after(const World& after, const Step& step) {
  const bool is_deadline = step.kind == Step::Kind::kTime || step.kind == Step::Kind::kLateTime;
  const auto due = after.lifecycle.next_due();
  return is_deadline && due && *due <= after.control.now;
}

// Only commands, deadlines and the successor's response that it is ready end processes, and no process is
// killed that has not had its time to drain. At most one process is started, and none unasked.
bool is_reaction_allowed(const World& before, const World& after, const Step& step) {
  const bool is_successor_ready =
      step.kind == Step::Kind::kReadyResponse && step.process == before.successor();
  const bool is_deadline = step.kind == Step::Kind::kTime || step.kind == Step::Kind::kLateTime;
  const bool may_signal = step.kind == Step::Kind::kCommand || is_deadline || is_successor_ready;
  const bool may_start = after.is_wanted && !after.is_shutting_down;
  return (may_signal || after.control.signals == 0) && !after.control.sent_signal_twice &&
         !after.control.killed_while_serving && after.control.starts <= (may_start ? 1 : 0);
}

// Lets processes that were told to end do so (only killed ones, if they ignore SIGTERM) and time pass. The
// instance must then run if that is wanted, and be stopped otherwise.
bool settles(World world, bool ignores_sigterm) {
  constexpr int kMostSteps = 20;
  for (int step = 0; step < kMostSteps; ++step) {
    const auto& children = world.control.children;
    const auto ended = std::find_if(children.begin(), children.end(), [&](const auto& entry) {
      return ignores_sigterm ? entry.second.is_killed : entry.second.was_told_to_end();
    });
    const bool is_leaving = std::any_of(children.begin(), children.end(),
                                        [](const auto& entry) { return entry.second.was_told_to_end(); });
    if (ended != children.end()) {
      world.exit(ended->first);
    } else if (!is_leaving && world.lifecycle.state() == State::kRunning) {
      return world.is_wanted;
    } else if (world.lifecycle.next_due()) {
      world.advance_to(*world.lifecycle.next_due());
    } else {
      return !world.is_wanted && world.lifecycle.state() == State::kStopped;
    }
  }
  return false;
}

// What the further course depends on, with times relative to now. Worlds that differ only in the length of
// their next pause count as one.
std::string key_of(const World& world) {
  // Longer ago than all limits makes no difference.
  const auto since = [&](Time time) {
    return std::to_string(std::min(world.control.now - time, Duration(10s)).count()) + ",";
  };
  std::string key = world.is_wanted ? "w" : "-";
  key += world.is_shutting_down ? "s" : "-";
  key += std::to_string(static_cast<int>(world.lifecycle.state())) + world.lifecycle.upgrade().to_string();
  if (const auto due = world.lifecycle.next_due()) key += "due" + since(*due);
  for (const auto& [process, child] : world.control.children) {
    key += process == world.process() ? "|main" : process == world.successor() ? "|successor" : "|other";
    key += std::to_string(child.admin_index) + (child.is_killed ? "k" : "-");
    key += process == world.control.open_probe ? "p" : "-";
    key += since(child.started_at);
    if (child.terminated_at) key += "t" + since(*child.terminated_at);
  }
  return key;
}

}  // namespace

TEST_CASE(
    "instance: in every order of events no process is lost, signalled twice, cut off or started unasked") {
  // Guards against orders of commands, exits, late responses, deadlines and failed starts that nobody thought
  // of. From a stopped instance on, all are played until no new state is found.
  constexpr int kMaxDepth = 50;
  const bool can_overlap = GENERATE(true, false);
  std::set<std::string> seen;
  std::vector<World> worlds{World(can_overlap)};
  std::size_t steps_played = 0;
  for (int depth = 0; depth < kMaxDepth && !worlds.empty(); ++depth) {
    std::vector<World> next;
    for (const World& world : worlds) {
      for (const Step& step : possible_steps(world)) {
        World after = world;
        play(after, step);
        ++steps_played;
        const bool holds = knows_exactly_its_children(after) && uses_each_admin_address_once(after) &&
                           after.control.children.size() <= (can_overlap ? 2U : 1U) && is_state_true(after) &&
                           is_successor_probed(after) && !is_overdue_after(after, step) &&
                           is_reaction_allowed(world, after, step) && settles(after, false) &&
                           settles(after, true);
        if (!holds) {
          CAPTURE(key_of(world), key_of(after), depth, static_cast<int>(step.kind),
                  static_cast<int>(step.command), step.process, step.starts_fail);
          FAIL("a rule is broken");
        }
        if (seen.insert(key_of(after)).second) next.push_back(std::move(after));
      }
    }
    worlds = std::move(next);
  }
  CAPTURE(seen.size(), steps_played, worlds.size());
  CHECK(worlds.empty());
}

}  // namespace rookproxy::policy
