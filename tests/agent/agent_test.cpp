// The agent and rookproxyctl as real processes.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>

#include "config/agent_config.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "net/sockets.h"

using namespace rookproxy;
using namespace std::chrono_literals;

namespace {

constexpr auto kPollInterval = 10ms;
constexpr int kStartFailed = 99;  // exit code of a child that never became the agent

// How a command of the shell ended.
struct CommandResult {
  int exit_code = 0;
  std::string output;  // standard output and standard error
};

CommandResult run_command(const std::string& command) {
  CommandResult result;
  FILE* const pipe = ::popen((command + " 2>&1").c_str(), "r");
  std::array<char, 4096> bytes{};
  while (const std::size_t count = std::fread(bytes.data(), 1, bytes.size(), pipe)) {
    result.output.append(bytes.data(), count);
  }
  result.exit_code = WEXITSTATUS(::pclose(pipe));
  return result;
}

// Whether the condition held before the time for it was over.
template <class Condition>
bool wait_until(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + test::kWaitLimit;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

// A running rookproxy-agent with its file and its socket in a folder of its own.
class AgentProcess {
 public:
  // `instances` are the [[instances]] tables of its file. Returns once the agent responds.
  explicit AgentProcess(const std::string& instances) {
    std::ofstream(config_file()) << "socket = \"" << socket() << "\"\nbackoff_first_ms = 20\n"
                                 << "backoff_most_ms = 100\nsteady_ms = 60000\nstop_within_ms = 500\n"
                                 << instances;
    pid_ = ::fork();
    if (pid_ == 0) {
      if (std::freopen(folder_.file("log").c_str(), "w", stderr) == nullptr) ::_exit(kStartFailed);
      ::execl(ROOKPROXY_AGENT, "rookproxy-agent", "--file", config_file().c_str(), nullptr);
      ::_exit(kStartFailed);
    }
    REQUIRE(wait_until([this] {
      return ctl("status").exit_code != kNoAgent;
    }));
  }
  ~AgentProcess() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  std::string socket() const { return folder_.file("socket"); }
  std::string config_file() const { return folder_.file("agent.toml"); }

  // Runs rookproxyctl with these arguments.
  CommandResult ctl(const std::string& arguments) const {
    return run_command(std::string(ROOKPROXY_CTL) + " --socket " + socket() + " --timeout 20 " + arguments);
  }

  // The instance's object in the agent's status.
  nlohmann::json status(const std::string& name) const {
    return nlohmann::json::parse(ctl("--json status " + name).output)["instances"][0];
  }

  // Waits until a value of the instance's status is the expected one or, for numbers, at least that.
  bool wait_for_status(const std::string& name, const std::string& key,
                       const nlohmann::json& expected) const {
    return wait_until([&] {
      const auto value = status(name)[key];
      return value == expected || (value.is_number() && value >= expected);
    });
  }

  // Waits for the agent's end and returns its exit code; -1 after a signal.
  int wait_for_exit() {
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  static constexpr int kNoAgent = 3;  // rookproxyctl's exit code

  test::TemporaryDirectory folder_;
  pid_t pid_ = 0;
};

// An [[instances]] table; `command` is the inside of a TOML list.
std::string instance(const std::string& name, const std::string& command, bool autostart = true) {
  return "[[instances]]\nname = \"" + name + "\"\ncommand = [" + command +
         "]\nautostart = " + (autostart ? "true" : "false") + "\n";
}

}  // namespace

TEST_CASE("agent: starts, drains and restarts its instances, and reports their status") {
  AgentProcess agent(instance("n1", R"("sleep", "1000")") + instance("n2", R"("sleep", "1000")", false));
  CHECK(agent.ctl("status n1").exit_code == 0);
  CHECK(agent.ctl("status").exit_code == 5);  // n2 is not started by itself
  CHECK(agent.ctl("--wait start n2").exit_code == 0);
  CHECK(agent.ctl("status").exit_code == 0);
  const auto first = agent.status("n1")["pid"];
  CHECK(agent.ctl("--wait restart n1").exit_code == 0);
  CHECK(agent.status("n1")["pid"] != first);
  CHECK(agent.ctl("--wait drain n1").exit_code == 0);
  CHECK(agent.status("n1")["state"] == "stopped");
  CHECK(agent.status("n1")["restarts"] == 0);
  CHECK(agent.status("n2")["state"] == "running");
  CHECK(agent.ctl("--wait shutdown").exit_code == 0);
  CHECK(agent.wait_for_exit() == 0);
  CHECK(agent.ctl("status").exit_code == 3);
}

TEST_CASE("agent: shows metrics, and an upgrade keeps the running process until a successor is ready") {
  // Guards against an upgrade that takes the running process away for one that never becomes ready.
  const test::TemporaryDirectory folder;
  const std::string file = folder.file("dispatcher.toml");
  const auto write_config = [&](const std::string& listen) {
    std::ofstream(file)
        << "name = \"n1\"\nlisten = \"" << listen << "\"\nshared_folder = \"" << folder.path()
        << "\"\nengines = [{id = \"a\", host_port = \"127.0.0.1:9\"}]\n[settings.permissions]\n"
        << "max_attempts = 2\n[[settings.grades]]\nname = \"lookup\"\neffect = \"pure\"\n"
        << "target = 600000\ndeadline = 3000000\n";
  };
  write_config("127.0.0.1:0");
  // Loopback addresses that no other process uses.
  const std::string network =
      "127." + std::to_string(64 + ::getpid() / 256 % 128) + "." + std::to_string(::getpid() % 256);
  const std::string command = std::string("\"") + ROOKPROXY_BINARY + "\", \"--file\", \"" + file + "\"";
  AgentProcess agent(instance("n1", command) + "listen = [\"" + network + ".1:0\"]\nops = [\"" + network +
                     ".1:3399\", \"" + network + ".2:3399\"]\n" + instance("plain", R"("sleep", "1000")"));
  wait_until([&] {
    return agent.ctl("figures n1").exit_code == 0;
  });
  CHECK(agent.ctl("figures n1").output.find("n1 svc.passed.lookup=0\n") != std::string::npos);
  CHECK(agent.ctl("figures").exit_code == 5);  // 'plain' has no admin address
  CHECK(agent.ctl("upgrade plain").exit_code == 1);
  const auto first = agent.status("n1");
  CHECK(agent.ctl("--wait upgrade n1").exit_code == 0);
  const auto second = agent.status("n1");
  CHECK(second["pid"] != first["pid"]);
  CHECK(second["ops"] != first["ops"]);
  CHECK(second["upgrade"] == "done");
  CHECK(second["restarts"] == 0);
  CHECK(agent.ctl("figures n1").exit_code == 0);
  write_config("nowhere");
  const CommandResult failed = agent.ctl("--wait upgrade n1");
  CHECK(failed.exit_code == 6);
  CHECK(failed.output.find("failed: the successor ended with exit 2") != std::string::npos);
  CHECK(agent.status("n1")["pid"] == second["pid"]);
  CHECK(agent.ctl("figures n1").exit_code == 0);
  write_config("127.0.0.1:0");
  CHECK(agent.ctl("--wait upgrade n1").exit_code == 0);
  CHECK(agent.status("n1")["ops"] == first["ops"]);
  CHECK(agent.ctl("--wait shutdown").exit_code == 0);
  CHECK(agent.wait_for_exit() == 0);
}

TEST_CASE("agent: a process that exits is restarted with exponential backoff") {
  AgentProcess agent(instance("flaky", R"("sh", "-c", "exit 7")") +
                     instance("missing", R"("/no/such/program")"));
  CHECK(agent.wait_for_status("flaky", "restarts", 3));
  CHECK(agent.status("flaky")["last_exit"] == "exit 7");
  CHECK(agent.wait_for_status("missing", "last_exit", "exit 127"));
  CHECK(agent.ctl("--wait drain").exit_code == 0);  // also while it waits for its next start
  CHECK(agent.status("flaky")["state"] == "stopped");
}

TEST_CASE("agent: a process whose drain times out is killed") {
  // Guards against an instance that would delay a shutdown for ever.
  AgentProcess agent(instance("stuck", R"('sh', '-c', 'trap "" TERM; while :; do sleep 0.05; done')"));
  CHECK(agent.ctl("status").exit_code == 0);
  // Until the trap is set; before that the process would end with 'signal 15'.
  std::this_thread::sleep_for(200ms);
  CHECK(agent.ctl("--wait drain stuck").exit_code == 0);
  CHECK(agent.status("stuck")["last_exit"] == "signal 9");
}

TEST_CASE("agent: children do not inherit blocked signals, and their end is noticed") {
  // Guards against children that inherit the agent's blocked signals and so can't be drained.
  AgentProcess agent(instance("n1", R"("sh", "-c", "kill -TERM $$; sleep 1000")"));
  CHECK(agent.wait_for_status("n1", "restarts", 1));
  CHECK(agent.status("n1")["last_exit"] == "signal 15");
}

TEST_CASE("agent: invalid requests get an error response, and a second agent leaves the socket alone") {
  AgentProcess agent(instance("n1", R"("sleep", "1000")"));
  CHECK(agent.ctl("drain n1 nobody").exit_code == 1);
  CHECK(agent.status("n1")["state"] == "running");  // with one wrong name none is acted on
  for (const std::string request :
       {"", "{", "[1]", "{\"do\":7}", "{\"do\":\"status\",\"names\":3}", "\xff\xfe"}) {
    test::TestConnection connection(connect_unix(agent.socket()));
    connection.send(request + "\n");
    REQUIRE(connection.wait_for_bytes(1));
    CHECK(connection.buffer().find("\"ok\":false") != std::string::npos);
  }
  const CommandResult second = run_command(std::string(ROOKPROXY_AGENT) + " --file " + agent.config_file());
  CHECK(second.exit_code == 2);
  CHECK(second.output.find("belongs to a running agent") != std::string::npos);
  CHECK(agent.ctl("status").exit_code == 0);
}

TEST_CASE("ctl: exit codes and help") {
  const std::string ctl = ROOKPROXY_CTL;
  CHECK(run_command(ctl + " --help").exit_code == 0);
  CHECK(run_command(ctl + " --help").output.find("Exit codes") != std::string::npos);
  CHECK(run_command(ctl).exit_code == 2);
  CHECK(run_command(ctl + " dance").exit_code == 2);
  CHECK(run_command(ctl + " --timeout x status").exit_code == 2);
  CHECK(run_command(ctl + " --socket /no/such/socket status").exit_code == 3);
  CHECK(run_command(std::string(ROOKPROXY_BINARY) + " --nonsense").exit_code == 2);
}

TEST_CASE("agent: configuration errors name their key") {
  const auto error_for = [](const char* text) -> std::string {
    try {
      static_cast<void>(read_agent_config(nlohmann::json::parse(text)));
    } catch (const ConfigError& error) {
      return error.what();
    }
    return "";
  };
  CHECK(error_for(R"({"socket":"s","instances":[{"name":"a","command":["x"]}]})").empty());
  CHECK(error_for(R"({"instances":[]})") == "socket: missing");
  CHECK(error_for(R"({"socket":"s","instances":[]})") == "instances: none");
  CHECK(error_for(R"({"socket":"s","instances":[{"name":"a b","command":["x"]}]})")
            .starts_with("instances.0.name: "));
  CHECK(error_for(R"({"socket":"s","instances":[{"name":"a","command":[]}]})") ==
        "instances.0.command: empty");
  CHECK(error_for(
            R"({"socket":"s","instances":[{"name":"a","command":["x"]},{"name":"a","command":["x"]}]})") ==
        "instances.1.name: used twice");
  CHECK(error_for(R"({"socket":"s","backoff_most_ms":1,"instances":[]})").starts_with("backoff_most_ms: "));
  CHECK(load_agent_config(ROOKPROXY_ROOT "/deploy/agent.toml").instances.size() == 1);
}
