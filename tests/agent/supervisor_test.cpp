// Tests of the supervisor with real processes, in orders of events that the tests control: they serve the
// admin addresses of the processes and decide when the supervisor learns of an exit.
#include "agent/supervisor.h"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <sstream>
#include <string>

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

// A supervisor with one instance, which can be upgraded. The test serves the admin addresses of its
// processes.
class SupervisedInstance {
 public:
  SupervisedInstance() : supervisor(loop, logger_, config()) { supervisor.start_all(); }
  ~SupervisedInstance() {
    bool stopped = false;
    supervisor.begin_shutdown([&] { stopped = true; });
    (void)test::run_until(loop, [&] {
      supervisor.reap_children();
      return stopped;
    });
  }

  [[nodiscard]] Supervisor::Status status() const { return supervisor.status().front(); }
  [[nodiscard]] pid_t process() const { return status().process; }

  // Waits for the connection of the next readiness probe and returns it, with no response sent.
  test::TestConnection accept_probe(std::size_t admin_index) {
    FileDescriptor connection;
    REQUIRE(test::run_until(loop, [&] {
      connection = accept_connection(admin_[admin_index]);
      return static_cast<bool>(connection);
    }));
    return test::TestConnection(std::move(connection));
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
    config.instances = {instance};
    return config;
  }

  std::array<FileDescriptor, 2> admin_{test::listen_on_free_port(), test::listen_on_free_port()};
  std::ostringstream log_text_;
  Logger logger_{log_text_, LogLevel::kDebug, "h", "a"};

 public:
  Supervisor supervisor;
};

}  // namespace

TEST_CASE("supervisor: a response to a probe of a process that was promoted since does not retire it") {
  // Guards against an instance that is left without a process after the former one dies during an upgrade.
  SupervisedInstance instance;
  const pid_t former = instance.process();
  REQUIRE_FALSE(instance.supervisor.upgrade("n1"));
  auto probe = instance.accept_probe(1);
  kill_process(former);
  instance.supervisor.reap_children();
  const pid_t successor = instance.process();
  REQUIRE(is_alive(successor));
  probe.send("+OK\n");
  probe.close();
  instance.handle_pending_events();
  REQUIRE(instance.process() == successor);
  CHECK(is_alive(successor));
  CHECK(instance.status().state == Supervisor::State::kRunning);
}
