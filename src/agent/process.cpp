#include "agent/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstddef>
#include <cstdlib>

namespace rookproxy {
namespace {

constexpr int kOrphanedExitCode = 125;
constexpr int kCannotRunExitCode = 127;
// Passed descriptors are first copied to numbers from here on, so that none overwrites another.
constexpr int kFirstCopiedDescriptor = 64;

// A child must not inherit the agent's signal mask and handlers.
void reset_signals() {
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  std::signal(SIGPIPE, SIG_DFL);
}

void pass_descriptors(const std::vector<int>& descriptors) {
  std::vector<int> copies;
  copies.reserve(descriptors.size());
  for (const int descriptor : descriptors) {
    copies.push_back(::fcntl(descriptor, F_DUPFD_CLOEXEC, kFirstCopiedDescriptor));
  }
  for (std::size_t index = 0; index < copies.size(); ++index) {
    ::dup2(copies[index], kFirstPassedDescriptor + static_cast<int>(index));
  }
}

// Runs in the child until its program starts. The agent is single-threaded, so allocating memory is safe
// here.
[[noreturn]] void run_child(const ProcessSpec& spec, pid_t agent) {
  reset_signals();
  // If the agent dies, its instances drain, as nothing else would stop them.
  ::prctl(PR_SET_PDEATHSIG, SIGTERM);
  if (::getppid() != agent) ::_exit(kOrphanedExitCode);
  for (const auto& [name, value] : spec.environment) ::setenv(name.c_str(), value.c_str(), 1);
  pass_descriptors(spec.passed_descriptors);
  std::vector<char*> arguments;
  for (const auto& argument : spec.command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  ::execvp(arguments[0], arguments.data());
  ::_exit(kCannotRunExitCode);
}

}  // namespace

void enable_exit_collection() { std::signal(SIGCHLD, SIG_DFL); }

std::optional<policy::ProcessId> start_process(const ProcessSpec& spec) {
  const pid_t agent = ::getpid();
  const pid_t process = ::fork();
  if (process == 0) run_child(spec, agent);
  return policy::ProcessId::from(process);
}

void send_signal(policy::ProcessId process, int signal) { ::kill(process.number(), signal); }

std::optional<std::string> collect_exit(policy::ProcessId process) {
  int wait_status = 0;
  if (::waitpid(process.number(), &wait_status, WNOHANG) != process.number()) return std::nullopt;
  if (WIFEXITED(wait_status)) return "exit " + std::to_string(WEXITSTATUS(wait_status));
  return "signal " + std::to_string(WTERMSIG(wait_status));
}

}  // namespace rookproxy
