#include "support/dispatcher_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/file_descriptor.h"
#include "support/require.h"
#include "support/system_call_filter.h"

namespace rookproxy::test {
namespace {

using std::chrono::steady_clock;

constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr int kFirstInheritedDescriptor = 3;
// Copies get numbers from here on, above the program's own and the inherited descriptors.
constexpr int kFirstCopyDescriptor = 64;
constexpr int kFilterFailedExitCode = 98;
constexpr int kStartFailedExitCode = 99;
constexpr int kSignalExitOffset = 128;
constexpr const char* kAdminReady = "answering operators";

// Duplicates the sockets to the numbers from kFirstInheritedDescriptor on. Each is first copied to a high
// number, because it may already have one of the target numbers. The copies are closed on exec.
void pass_sockets(const std::vector<FileDescriptor>& sockets) {
  if (sockets.empty()) return;
  ::setenv("NODE_PASSED_SOCKET", std::to_string(kFirstInheritedDescriptor).c_str(), 1);
  std::vector<FileDescriptor> copies;
  for (const FileDescriptor& socket : sockets) {
    copies.emplace_back(::fcntl(socket.get(), F_DUPFD_CLOEXEC, kFirstCopyDescriptor));
  }
  int number = kFirstInheritedDescriptor;
  for (const FileDescriptor& copy : copies) ::dup2(copy.get(), number++);
}

// Runs in the child after fork() and does not return.
[[noreturn]] void execute(const DispatcherOptions& options, const std::vector<FileDescriptor>& sockets) {
  ::setenv("NODE_CONFIG", (options.directory + "/config.json").c_str(), 1);
  ::setenv("TMPDIR", options.directory.c_str(), 1);
  if (!options.failing_calls.empty()) {
    ::setenv("ROOKPROXY_FAILING_CALLS", options.failing_calls.c_str(), 1);
    ::setenv("LD_PRELOAD", ROOKPROXY_FAILING_CALLS_LIBRARY, 1);
    // In a sanitizer build, the sanitizer's library is loaded after the preloaded one; ASan rejects that
    // order by default.
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
  }
  pass_sockets(sockets);
  if (std::freopen(options.log_path.c_str(), "w", stderr) == nullptr) ::_exit(kStartFailedExitCode);
  if (options.has_system_call_filter && !apply_system_call_filter()) ::_exit(kFilterFailedExitCode);
  if (options.operator_file.empty()) {
    ::execl(ROOKPROXY_BINARY, "rookproxy", nullptr);
  } else {
    ::execl(ROOKPROXY_BINARY, "rookproxy", "--file", options.operator_file.c_str(), nullptr);
  }
  ::_exit(kStartFailedExitCode);
}

}  // namespace

DispatcherProcess::DispatcherProcess(DispatcherProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), log_path_(std::exchange(other.log_path_, "")) {}

DispatcherProcess& DispatcherProcess::operator=(DispatcherProcess&& other) noexcept {
  std::swap(pid_, other.pid_);
  std::swap(log_path_, other.log_path_);
  return *this;
}

DispatcherProcess::~DispatcherProcess() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void DispatcherProcess::start(const DispatcherOptions& options,
                              const std::vector<FileDescriptor>& inherited_sockets) {
  log_path_ = options.log_path;
  pid_ = ::fork();
  if (pid_ == 0) execute(options, inherited_sockets);
}

std::string DispatcherProcess::log() const {
  const std::ifstream file(log_path_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string DispatcherProcess::wait_for_log(const std::string& text) const {
  const auto deadline = steady_clock::now() + kWaitLimit;
  while (steady_clock::now() < deadline) {
    const std::string log_text = log();
    const auto at = log_text.find(text);
    if (at != std::string::npos) {
      const auto from = at + text.size();
      return log_text.substr(from, log_text.find('"', from) - from);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  fail_test("text not found in the dispatcher's log: " + text);
}

std::uint16_t DispatcherProcess::port_logged_with(const std::string& message) const {
  wait_for_log(message);
  const std::string text = log();
  const std::string field = "port=\"";
  const auto at = text.substr(0, text.rfind(" " + message)).rfind(field);
  return static_cast<std::uint16_t>(std::stoi(text.substr(at + field.size())));
}

std::uint16_t DispatcherProcess::admin_port() const { return port_logged_with(kAdminReady); }

void DispatcherProcess::send_signal(int number) const { ::kill(pid_, number); }

std::size_t DispatcherProcess::anonymous_memory() const {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; file >> word;) {
    std::size_t kilobytes = 0;
    if (word == "RssAnon:" && file >> kilobytes) return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

bool DispatcherProcess::has_ended() const {
  siginfo_t ended{};
  const int result = ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
  return result != 0 || ended.si_pid != 0;
}

int DispatcherProcess::wait_for_exit() {
  int status = 0;
  const auto deadline = steady_clock::now() + kWaitLimit;
  while (::waitpid(pid_, &status, WNOHANG) == 0) {
    require(steady_clock::now() < deadline, "the dispatcher did not exit within the time limit");
    std::this_thread::sleep_for(kPollInterval);
  }
  pid_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitOffset + WTERMSIG(status);
}

std::string call_admin(const DispatcherProcess& process, const std::string& line) {
  TestConnection connection = TestConnection::connect(process.admin_port());
  connection.send(line + "\n");
  require(connection.wait_for_end(), "the admin connection was not closed after the response");
  return connection.buffer();
}

}  // namespace rookproxy::test
