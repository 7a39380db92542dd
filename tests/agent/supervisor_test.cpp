// Tests of the supervisor with real processes, in orders of events that the tests control: they serve the
// admin addresses of the processes and decide when the supervisor learns of an exit.
#include "agent/supervisor.h"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/sockets.h"
#include "support/run_until.h"

using namespace rookproxy;
using namespace std::chrono_literals;

namespace {

// Waits until a child has ended, without collecting its exit status.
void wait_until_ended(pid_t process) {
  siginfo_t information{};
  REQUIRE(::waitid(P_PID, static_cast<id_t>(process), &information, WEXITED | WNOWAIT) == 0);
}

void kill_process(pid_t process) {
  REQUIRE(process > 0);
  ::kill(process, SIGKILL);
  wait_until_ended(process);
}

bool is_alive(pid_t process) {
  siginfo_t information{};
  return process > 0 &&
         ::waitid(P_PID, static_cast<id_t>(process), &information, WEXITED | WNOHANG | WNOWAIT) == 0 &&
         information.si_pid == 0;
}

// The children of this process, ended ones included.
std::vector<int> children() {
  std::ifstream file("/proc/thread-self/children");
  return {std::istream_iterator<int>(file), {}};
}

using SignalHandler = void (*)(int);

// A supervisor with one instance, which can be upgraded. The test serves the admin addresses of its
// processes.
class SupervisedInstance {
 public:
  // The first process inherits the handling of SIGTERM; later ones have the default.
  explicit SupervisedInstance(SignalHandler first_handler = SIG_DFL)
      : supervisor(loop, logger_, config()), previous_handler_(std::signal(SIGTERM, first_handler)) {
    supervisor.start_all();
    std::signal(SIGTERM, SIG_DFL);
  }
  ~SupervisedInstance() {
    bool stopped = false;
    supervisor.begin_shutdown([&] { stopped = true; });
    (void)test::run_until(loop, [&] {
      supervisor.collect_exits();
      return stopped;
    });
    std::signal(SIGTERM, previous_handler_);
  }

  [[nodiscard]] InstanceStatus status() const { return supervisor.status().front(); }
  [[nodiscard]] pid_t process() const {
    const auto process = status().process;
    return process ? process->number() : 0;
  }

  // Waits for the connection of the next readiness probe and returns it, with no response sent.
  test::TestConnection accept_probe(std::size_t admin_index) {
    FileDescriptor connection;
    REQUIRE(test::run_until(loop, [&] {
      connection = accept_connection(admin_[admin_index]);
      return static_cast<bool>(connection);
    }));
    return test::TestConnection(std::move(connection));
  }

  // Accepts a probe, if there is one.
  std::optional<test::TestConnection> take_probe() {
    for (const FileDescriptor& listener : admin_) {
      if (auto connection = accept_connection(listener)) return test::TestConnection(std::move(connection));
    }
    return std::nullopt;
  }
  // Collects exits and responds to probes until the instance serves with one process and no upgrade is in
  // progress.
  bool wait_until_settled() {
    return test::run_until(loop, [&] {
      supervisor.collect_exits();
      if (auto probe = take_probe()) probe->send("+OK\n");
      const InstanceStatus now = status();
      return now.state == policy::InstanceState::kRunning && children().size() == 1 &&
             now.upgrade.state != policy::UpgradeStatus::State::kInProgress;
    });
  }
  bool wait_for_state(policy::InstanceState state) {
    return test::run_until(loop, [&] {
      supervisor.collect_exits();
      return status().state == state;
    });
  }
  // Handles everything that has arrived so far.
  void handle_pending_events() {
    while (loop.poll()) {
    }
  }

  EventLoop loop;

 private:
  AgentConfig config() const {
    InstanceConfig instance;
    instance.name = "n1";
    instance.command = {"sleep", "1000"};
    instance.listen = {test::kAnyLoopbackPort};
    for (const FileDescriptor& listener : admin_) {
      instance.admin.push_back({test::kLoopbackAddress, local_port(listener)});
    }
    AgentConfig config;
    config.initial_backoff = 20ms;
    config.stop_timeout = 2s;
    config.instances = {instance};
    return config;
  }

  std::array<FileDescriptor, 2> admin_{test::listen_on_free_port(), test::listen_on_free_port()};
  std::ostringstream log_text_;
  Logger logger_{log_text_, LogLevel::kDebug, "h", "a"};

 public:
  Supervisor supervisor;

 private:
  SignalHandler previous_handler_;
};

}  // namespace

TEST_CASE("supervisor: a response to a probe of a process that was promoted since does not retire it") {
  // Guards against an instance that is left without a process after the former one dies during an upgrade.
  SupervisedInstance instance;
  const pid_t former = instance.process();
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kUpgrade, "n1"));
  auto probe = instance.accept_probe(1);
  kill_process(former);
  instance.supervisor.collect_exits();
  const pid_t successor = instance.process();
  REQUIRE(is_alive(successor));
  probe.send("+OK\n");
  probe.close();
  instance.handle_pending_events();
  REQUIRE(instance.process() == successor);
  CHECK(is_alive(successor));
  CHECK(instance.status().state == policy::InstanceState::kRunning);
}

TEST_CASE("supervisor: a successor that reports that it is ready during a drain is not promoted") {
  // Guards against an operator's drain after which the instance runs again.
  SupervisedInstance instance;
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kUpgrade, "n1"));
  auto probe = instance.accept_probe(1);
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kDrain, "n1"));
  probe.send("+OK\n");
  probe.close();
  instance.handle_pending_events();
  CHECK(instance.status().state == policy::InstanceState::kDraining);
  REQUIRE(instance.wait_for_state(policy::InstanceState::kStopped));
  CHECK(children().empty());
  // The longest pause before another start would be over by then.
  CHECK_FALSE(test::run_until(
      instance.loop, [] { return !children().empty(); }, 100ms));
}

TEST_CASE(
    "supervisor: a command during an upgrade ends the successor by SIGTERM, since it may serve already") {
  // Guards against requests that a successor has accepted before the agent knows that it is ready.
  const auto command = GENERATE(policy::InstanceCommand::kRestart, policy::InstanceCommand::kDrain);
  SupervisedInstance instance;
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kUpgrade, "n1"));
  auto probe = instance.accept_probe(1);
  REQUIRE_FALSE(instance.supervisor.execute(command, "n1"));
  REQUIRE(test::run_until(instance.loop, [&] {
    instance.supervisor.collect_exits();
    return instance.status().upgrade.state == policy::UpgradeStatus::State::kFailed;
  }));
  CHECK(instance.status().upgrade.to_string() == "failed: the successor ended with signal 15");
}

TEST_CASE("supervisor: an instance is draining until the process that an upgrade replaced has ended") {
  // Guards against a drain that is reported as complete while a process still serves.
  SupervisedInstance instance(SIG_IGN);
  const pid_t former = instance.process();
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kUpgrade, "n1"));
  auto probe = instance.accept_probe(1);
  probe.send("+OK\n");
  probe.close();
  REQUIRE(test::run_until(instance.loop, [&] { return instance.process() != former; }));
  const pid_t successor = instance.process();
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kDrain, "n1"));
  wait_until_ended(successor);
  instance.supervisor.collect_exits();
  CHECK(instance.status().state == policy::InstanceState::kDraining);
  CHECK(instance.process() == former);
  kill_process(former);
  instance.supervisor.collect_exits();
  CHECK(instance.status().state == policy::InstanceState::kStopped);
  CHECK(children().empty());
}

TEST_CASE("supervisor: during a restart there is a process that accepts while the former one drains") {
  // Guards against requests that the machine accepts and nobody reads until the former process has ended.
  SupervisedInstance instance(SIG_IGN);
  const pid_t former = instance.process();
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kRestart, "n1"));
  CHECK(children().size() == 2);
  CHECK(instance.status().state == policy::InstanceState::kDraining);
  CHECK(instance.process() == former);
  kill_process(former);
  instance.supervisor.collect_exits();
  CHECK(instance.status().state == policy::InstanceState::kRunning);
  CHECK(is_alive(instance.process()));
}

TEST_CASE("supervisor: whatever is lost at each step of an upgrade, one process serves afterwards") {
  // Guards against an instance without a process, or with two, after a process or a connection is lost.
  enum class Moment { kProbeOpen, kBetweenProbes, kProbeDue, kPromoted };
  enum class Loss { kProbe, kFormer, kSuccessor, kBoth };
  const auto moment =
      GENERATE(Moment::kProbeOpen, Moment::kBetweenProbes, Moment::kProbeDue, Moment::kPromoted);
  const auto loss = GENERATE(Loss::kProbe, Loss::kFormer, Loss::kSuccessor, Loss::kBoth);
  const bool is_response_first = GENERATE(true, false);
  CAPTURE(static_cast<int>(moment), static_cast<int>(loss), is_response_first);
  SupervisedInstance instance;
  const pid_t former = instance.process();
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kUpgrade, "n1"));
  const std::vector<int> processes = children();
  const auto other = std::find_if(processes.begin(), processes.end(), [&](int id) { return id != former; });
  REQUIRE(other != processes.end());
  const pid_t successor = *other;

  auto probe = instance.accept_probe(1);
  if (moment == Moment::kPromoted) {
    probe.send("+OK\n");
    probe.close();
    REQUIRE(test::run_until(instance.loop, [&] { return instance.process() == successor; }));
  } else if (moment != Moment::kProbeOpen) {
    probe.send("-ERR not ready\n");
    probe.close();
    instance.handle_pending_events();
    if (moment == Moment::kProbeDue) probe = instance.accept_probe(1);
  }
  const bool is_probe_open = static_cast<bool>(probe.fd());
  if (is_probe_open && loss == Loss::kProbe) test::set_reset_on_close(probe.fd());
  if (loss == Loss::kFormer || loss == Loss::kBoth) kill_process(former);
  if (loss == Loss::kSuccessor || loss == Loss::kBoth) kill_process(successor);
  if (!is_response_first) instance.supervisor.collect_exits();
  if (is_probe_open && loss != Loss::kProbe) probe.send("+OK\n");
  probe.close();
  instance.handle_pending_events();
  REQUIRE(instance.wait_until_settled());
  CHECK(is_alive(instance.process()));
  const pid_t before_restart = instance.process();
  REQUIRE_FALSE(instance.supervisor.execute(policy::InstanceCommand::kRestart, "n1"));
  REQUIRE(test::run_until(instance.loop, [&] {
    instance.supervisor.collect_exits();
    return instance.process() != 0 && instance.process() != before_restart;
  }));
  CHECK(is_alive(instance.process()));
}
