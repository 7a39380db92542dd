// Tests of the agent and its command-line tool, as real processes.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/agent_config.h"

#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "net/sockets.h"

using namespace rookproxy;
using namespace std::chrono_literals;

namespace {

// The exit code of a command, and its output.
struct CommandResult {
  int code = 0;
  std::string out;
};

CommandResult run(const std::string& command) {
  CommandResult result;
  FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
  char bytes[4096];
  while (const std::size_t got = std::fread(bytes, 1, sizeof bytes, pipe)) result.out.append(bytes, got);
  result.code = WEXITSTATUS(::pclose(pipe));
  return result;
}

class Agent {
 public:
  // `sigchld` is the handling of SIGCHLD that the agent inherits.
  explicit Agent(const std::string& instances, void (*sigchld)(int) = SIG_DFL) {
    std::string path = "/tmp/rookproxy-agent-XXXXXX";
    REQUIRE(::mkdtemp(path.data()) != nullptr);
    folder_ = path;
    std::ofstream(folder_ + "/agent.toml")
        << "socket = \"" << socket() << "\"\nbackoff_first_ms = 20\n"
        << "backoff_most_ms = 100\nsteady_ms = 60000\nstop_within_ms = 500\n"
        << instances;
    pid_ = ::fork();
    if (pid_ == 0) {
      if (!std::freopen((folder_ + "/log").c_str(), "w", stderr)) ::_exit(99);
      ::signal(SIGCHLD, sigchld);
      ::execl(ROOKPROXY_AGENT, "rookproxy-agent", "--file", (folder_ + "/agent.toml").c_str(), nullptr);
      ::_exit(99);
    }
    const auto until = std::chrono::steady_clock::now() + test::kWaitLimit;
    while (ctl("status").code == 3 && std::chrono::steady_clock::now() < until) ::usleep(10'000);
  }
  ~Agent() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    run("rm -r " + folder_);
  }
  std::string socket() const { return folder_ + "/socket"; }
  CommandResult ctl(const std::string& arguments) const {
    return run(std::string(ROOKPROXY_CTL) + " --socket " + socket() + " --timeout 20 " + arguments);
  }
  nlohmann::json status(const std::string& name) const {
    return nlohmann::json::parse(ctl("--json status " + name).out)["instances"][0];
  }
  // Waits until a field of an instance's status has that value or, if it is a number, a greater one.
  bool wait_for_status(const std::string& name, const std::string& key,
                       const nlohmann::json& expected) const {
    const auto deadline = std::chrono::steady_clock::now() + test::kWaitLimit;
    while (std::chrono::steady_clock::now() < deadline) {
      const auto value = status(name)[key];
      if (value == expected || (value.is_number() && value >= expected)) return true;
      ::usleep(10'000);
    }
    return false;
  }
  int wait() {
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::string folder() const { return folder_; }

 private:
  std::string folder_;
  pid_t pid_ = 0;
};

std::string instance(const std::string& name, const std::string& command, bool autostart = true) {
  return "[[instances]]\nname = \"" + name + "\"\ncommand = [" + command +
         "]\nautostart = " + (autostart ? "true" : "false") + "\n";
}

}  // namespace

TEST_CASE("agent: status shows the effect of the start, restart, drain and shutdown commands") {
  Agent agent(instance("n1", R"("sleep", "1000")") + instance("n2", R"("sleep", "1000")", false));
  CHECK(agent.ctl("status n1").code == 0);
  CHECK(agent.ctl("status").code == 5);  // n2 has no autostart.
  CHECK(agent.ctl("--wait start n2").code == 0);
  CHECK(agent.ctl("status").code == 0);
  const auto first = agent.status("n1")["pid"];
  CHECK(agent.ctl("--wait restart n1").code == 0);
  CHECK(agent.status("n1")["pid"] != first);
  CHECK(agent.ctl("--wait drain n1").code == 0);
  CHECK(agent.status("n1")["state"] == "stopped");
  CHECK(agent.status("n1")["restarts"] == 0);
  CHECK(agent.status("n2")["state"] == "running");
  CHECK(agent.ctl("--wait shutdown").code == 0);
  CHECK(agent.wait() == 0);
  CHECK(agent.ctl("status").code == 3);
}

TEST_CASE("agent: figures prints metrics, and a failed upgrade leaves the running process in service") {
  // Guards against an upgrade that stops the running process although the successor never becomes ready.
  const std::string folder = test::make_temporary_directory(), file = folder + "/dispatcher.toml";
  const auto write = [&](const std::string& listen) {
    std::ofstream(file)
        << "name = \"n1\"\nlisten = \"" << listen << "\"\nshared_folder = \"" << folder
        << "\"\nengines = [{id = \"a\", host_port = \"127.0.0.1:9\"}]\n[settings.permissions]\n"
        << "max_attempts = 2\n[[settings.grades]]\nname = \"lookup\"\neffect = \"pure\"\n"
        << "target = 600000\ndeadline = 3000000\n";
  };
  write("127.0.0.1:0");
  // Addresses that no other process uses.
  const std::string net =
      "127." + std::to_string(64 + ::getpid() / 256 % 128) + "." + std::to_string(::getpid() % 256);
  const std::string command = std::string("\"") + ROOKPROXY_BINARY + "\", \"--file\", \"" + file + "\"";
  Agent agent(instance("n1", command) + "listen = [\"" + net + ".1:0\"]\nops = [\"" + net + ".1:3399\", \"" +
              net + ".2:3399\"]\n" + instance("plain", R"("sleep", "1000")"));
  const auto deadline = std::chrono::steady_clock::now() + test::kWaitLimit;
  while (agent.ctl("figures n1").code != 0 && std::chrono::steady_clock::now() < deadline) ::usleep(10'000);
  CHECK(agent.ctl("figures n1").out.find("n1 svc.passed.lookup=0\n") != std::string::npos);
  CHECK(agent.ctl("figures").code == 5);  // 'plain' has no admin address.
  CHECK(agent.ctl("upgrade plain").code == 1);
  const auto first = agent.status("n1");
  CHECK(agent.ctl("--wait upgrade n1").code == 0);
  const auto second = agent.status("n1");
  CHECK(second["pid"] != first["pid"]);
  CHECK(second["ops"] != first["ops"]);
  CHECK(second["upgrade"] == "done");
  CHECK(second["restarts"] == 0);
  CHECK(agent.ctl("figures n1").code == 0);
  write("nowhere");
  const CommandResult failed = agent.ctl("--wait upgrade n1");
  CHECK(failed.code == 6);
  CHECK(failed.out.find("failed: the successor ended with exit 2") != std::string::npos);
  CHECK(agent.status("n1")["pid"] == second["pid"]);
  CHECK(agent.ctl("figures n1").code == 0);
  write("127.0.0.1:0");
  CHECK(agent.ctl("--wait upgrade n1").code == 0);
  CHECK(agent.status("n1")["ops"] == first["ops"]);
  CHECK(agent.ctl("--wait shutdown").code == 0);
  CHECK(agent.wait() == 0);
  run("rm -r " + folder);
}

TEST_CASE("agent: an instance that exits unexpectedly is restarted until it is drained") {
  Agent agent(instance("flaky", R"("sh", "-c", "exit 7")") + instance("missing", R"("/no/such/program")"));
  CHECK(agent.wait_for_status("flaky", "restarts", 3));
  CHECK(agent.status("flaky")["last_exit"] == "exit 7");
  CHECK(agent.wait_for_status("missing", "last_exit", "exit 127"));
  CHECK(agent.ctl("--wait drain").code == 0);  // Also while an instance waits for its next start.
  CHECK(agent.status("flaky")["state"] == "stopped");
}

TEST_CASE("agent: an instance that does not stop in time is killed") {
  // Guards against an instance that blocks a shutdown forever.
  Agent agent(instance("deaf", R"('sh', '-c', 'trap "" TERM; while :; do sleep 0.05; done')"));
  CHECK(agent.ctl("status").code == 0);
  ::usleep(200'000);  // Waits until the trap is set; without it, the exit below would be 'signal 15'.
  CHECK(agent.ctl("--wait drain deaf").code == 0);
  CHECK(agent.status("deaf")["last_exit"] == "signal 9");
}

TEST_CASE("agent: SIGTERM ends a child, and the agent restarts it on SIGCHLD") {
  // Guards against children that inherit the agent's blocked signals and so can't be drained.
  Agent agent(instance("n1", R"("sh", "-c", "kill -TERM $$; sleep 1000")"));
  CHECK(agent.wait_for_status("n1", "restarts", 1));
  CHECK(agent.status("n1")["last_exit"] == "signal 15");
}

TEST_CASE("agent: it learns of exits also if it inherited that SIGCHLD is ignored") {
  // Guards against an instance that is shown as running, and never started again, after its process has
  // ended.
  Agent agent(instance("flaky", R"("sh", "-c", "exit 7")"), SIG_IGN);
  CHECK(agent.wait_for_status("flaky", "restarts", 2));
  CHECK(agent.ctl("--wait drain").code == 0);
}

TEST_CASE("agent: invalid requests get an error response, and a second agent can't take over the socket") {
  Agent agent(instance("n1", R"("sleep", "1000")"));
  CHECK(agent.ctl("drain n1 nobody").code == 1);
  CHECK(agent.status("n1")["state"] == "running");  // One unknown name: the command is not executed at all.
  for (const std::string bad :
       {"", "{", "[1]", "{\"do\":7}", "{\"do\":\"status\",\"names\":3}", "\xff\xfe"}) {
    test::TestConnection peer(connect_unix(agent.socket()));
    peer.send(bad + "\n");
    REQUIRE(peer.wait_for_bytes(1));
    CHECK(peer.buffer().find("\"ok\":false") != std::string::npos);
  }
  const CommandResult second =
      run(std::string(ROOKPROXY_AGENT) + " --file " + agent.folder() + "/agent.toml");
  CHECK(second.code == 2);
  CHECK(second.out.find("belongs to a running agent") != std::string::npos);
  CHECK(agent.ctl("status").code == 0);
}

TEST_CASE("ctl: --help succeeds, and exit codes tell invalid usage from a missing agent") {
  const std::string ctl = ROOKPROXY_CTL;
  CHECK(run(ctl + " --help").code == 0);
  CHECK(run(ctl + " --help").out.find("Exit codes") != std::string::npos);
  CHECK(run(ctl).code == 2);
  CHECK(run(ctl + " dance").code == 2);
  CHECK(run(ctl + " --timeout x status").code == 2);
  CHECK(run(ctl + " --socket /no/such/socket status").code == 3);
  CHECK(run(std::string(ROOKPROXY_BINARY) + " --nonsense").code == 2);
}

TEST_CASE("agent: an invalid value in its file is reported with the path of its key") {
  const auto error_for = [](const char* text) -> std::string {
    try {
      (void)read_agent_config(nlohmann::json::parse(text));
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
