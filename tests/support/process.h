// A dispatcher's process, and what it is told at its start and asked by operators.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "support/confine.h"

namespace rookproxy::test {

[[noreturn]] inline void fail_test(const std::string& why) { throw std::runtime_error(why); }
inline void require(bool holds, const std::string& why) {
  if (!holds) fail_test(why);
}

inline nlohmann::json default_dispatcher_config() {
  return nlohmann::json::parse(
      R"({"name":"t1","listen":"127.0.0.1:0","ops":"127.0.0.1:0","seed":"1f","limits":{"cores":1.0,"memory_mb":192,
    "sockets":1024},"directory_poll_ms":20,"log":{"level":"debug"},"known":{"offset":1,"batch":[]},"settings":{
    "fleet_size":1,"ordinal":0,"localities":["z"],"zone":"z","models":["m"],"membership_mode":"automatic","grades":[
    {"name":"lookup","effect":"pure","value":1.0,"target":600000,"aim_stretch":1.5,"deadline":3000000,"late_worth":0.1},
    {"name":"load","effect":"side_effect","value":6.0,"target":4000000,"aim_stretch":2.5,"deadline":25000000,
    "late_worth":0.5}],"domain":{"cpu_of_kind":[8],"ram_of_kind_mb":[16384.0],"threads_by_class":[1,2],
    "is_load":[false,true],"yields_to_loads":[true,false],"takes_grants":true,"priorities":true,"tells_every":500000,
    "out_of_memory":"page"},"permissions":{"cancel":true,"probes":false,"second_copies":true,"max_attempts":6,
    "max_retry_after":2000000,"keepalive":30000000,"dial_timeout":250000,"multiplex":32},"report":{"source":"inline",
    "fields":["backlog","x0","x1"]},"safety":{"drain_grace":2000000,"grace_to_answer":20000}}})");
}

// The dispatcher's process; its log goes to a file that is read back.
class DispatcherProcess {
 public:
  // `operators`: an operator's file beside the folder's config.json; empty: none.
  void start(const std::string& folder, const std::string& log_path,
             const std::vector<FileDescriptor>& passed = {}, bool confined = false,
             const std::string& operators = "") {
    log_path_ = log_path;
    pid_ = ::fork();
    if (pid_ == 0) {
      ::setenv("NODE_CONFIG", (folder + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", folder.c_str(), 1);
      if (!passed.empty()) ::setenv("NODE_PASSED_SOCKET", "3", 1);
      std::vector<FileDescriptor> apart;  // they may have these numbers already, and are closed on exec
      for (const FileDescriptor& one : passed) apart.emplace_back(::fcntl(one.get(), F_DUPFD_CLOEXEC, 64));
      for (std::size_t i = 0; i < apart.size(); ++i) ::dup2(apart[i].get(), static_cast<int>(3 + i));
      if (!std::freopen(log_path.c_str(), "w", stderr)) ::_exit(99);
      if (confined && !apply_system_call_filter()) ::_exit(98);
      if (!operators.empty())
        ::execl(ROOKPROXY_BINARY, "rookproxy", "--file", operators.c_str(), nullptr);
      else
        ::execl(ROOKPROXY_BINARY, "rookproxy", nullptr);
      ::_exit(99);
    }
  }
  DispatcherProcess() = default;
  DispatcherProcess(DispatcherProcess&& other) noexcept
      : pid_(std::exchange(other.pid_, 0)), log_path_(std::exchange(other.log_path_, "")) {}
  DispatcherProcess& operator=(DispatcherProcess&& other) noexcept {
    std::swap(pid_, other.pid_);
    std::swap(log_path_, other.log_path_);
    return *this;
  }
  ~DispatcherProcess() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
  }
  std::string log() const {
    std::ifstream in(log_path_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }
  // What follows `before` in the log, up to a quote, once it is there.
  std::string wait_for_log(const std::string& before) const {
    const auto until = std::chrono::steady_clock::now() + kWaitLimit;
    while (std::chrono::steady_clock::now() < until) {
      const std::string text = log();
      if (const auto at = text.find(before); at != std::string::npos) {
        const auto from = at + before.size();
        return text.substr(from, text.find('"', from) - from);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    fail_test("the log never said " + before);
  }
  void send_signal(int number) { ::kill(pid_, number); }
  int wait_for_exit() {
    int status = 0;
    const auto until = std::chrono::steady_clock::now() + kWaitLimit;
    while (::waitpid(pid_, &status, WNOHANG) == 0) {
      require(std::chrono::steady_clock::now() < until, "it does not exit");
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  bool started() const { return !log_path_.empty(); }
  std::uint16_t admin_port() const {
    wait_for_log("answering operators");
    const std::string text = log();
    const auto line = text.substr(0, text.find(" answering operators")).rfind("port=\"");
    return static_cast<std::uint16_t>(std::stoi(text.substr(line + 6)));
  }

 private:
  pid_t pid_ = 0;
  std::string log_path_;
};

// One call, and its answer up to the end of the connection.
inline std::string call_admin(const DispatcherProcess& process, const std::string& line) {
  TestConnection peer = TestConnection::connect(process.admin_port());
  peer.send(line + "\n");
  require(peer.wait_for_end(), "the connection stays open");
  return peer.buffer();
}

}  // namespace rookproxy::test
