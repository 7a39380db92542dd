#include "agent/supervisor.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>

namespace rookproxy {

std::string_view state_text(Supervisor::State state) {
  switch (state) {
    case Supervisor::State::kStopped:
      return "stopped";
    case Supervisor::State::kRunning:
      return "running";
    case Supervisor::State::kDraining:
      return "draining";
    case Supervisor::State::kWaiting:
      return "waiting";
  }
  return "unknown";
}

Supervisor::Supervisor(Loop& loop, Log& log, const AgentConfig& config)
    : loop_(loop), log_(log), config_(config) {
  for (const auto& one : config_.instances) {
    Instance instance;
    instance.config = one;
    instance.since = loop_.now();
    instance.pause = config_.backoff_first;
    instances_.push_back(std::move(instance));
  }
}

Supervisor::~Supervisor() {
  for (auto& instance : instances_) loop_.cancel(instance.timer);
}

Supervisor::Instance* Supervisor::find(const std::string& name) {
  const auto found = std::find_if(instances_.begin(), instances_.end(),
                                  [&](const Instance& one) { return one.config.name == name; });
  return found == instances_.end() ? nullptr : &*found;
}

void Supervisor::enter(Instance& instance, State state) {
  instance.state = state;
  instance.since = loop_.now();
  log_.line(Level::kNotice, "agent", state_text(state),
            {{"instance", instance.config.name}, {"pid", std::to_string(instance.process)}});
}

void Supervisor::start_all() {
  for (auto& instance : instances_) {
    if (instance.config.autostart) spawn(instance);
  }
}

void Supervisor::spawn(Instance& instance) {
  loop_.cancel(instance.timer);
  const pid_t agent = ::getpid();
  const pid_t process = ::fork();
  if (process == 0) {
    // Only calls that are safe after a fork, up to the exec. The agent's signal handling must not be
    // inherited.
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    std::signal(SIGPIPE, SIG_DFL);
    // An instance whose agent dies drains: nobody would be left to keep it or to stop it.
    ::prctl(PR_SET_PDEATHSIG, SIGTERM);
    if (::getppid() != agent) ::_exit(125);
    for (const auto& [name, value] : instance.config.environment) ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> words;
    for (auto& word : instance.config.command) words.push_back(word.data());
    words.push_back(nullptr);
    ::execvp(words[0], words.data());
    ::_exit(127);
  }
  if (process < 0) {
    log_.line(Level::kError, "agent", std::strerror(errno), {{"instance", instance.config.name}});
    instance.process = 0;
    return ended(instance, 127 << 8);
  }
  instance.process = process;
  instance.started = loop_.now();
  enter(instance, State::kRunning);
}

void Supervisor::reap() {
  for (auto& instance : instances_) {
    int status = 0;
    if (instance.process > 0 && ::waitpid(instance.process, &status, WNOHANG) == instance.process) {
      ended(instance, status);
    }
  }
  const bool gone =
      std::all_of(instances_.begin(), instances_.end(), [](const Instance& i) { return i.process == 0; });
  if (gone && all_gone_) std::exchange(all_gone_, nullptr)();
}

void Supervisor::ended(Instance& instance, int status) {
  loop_.cancel(instance.timer);
  instance.last_exit = WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                                         : "signal " + std::to_string(WTERMSIG(status));
  const bool asked = instance.state == State::kDraining;
  log_.line(asked ? Level::kInfo : Level::kWarning, "agent", instance.last_exit,
            {{"instance", instance.config.name}, {"asked", asked ? "yes" : "no"}});
  instance.process = 0;
  if (asked) {
    if (std::exchange(instance.start_again, false)) return spawn(instance);
    return enter(instance, State::kStopped);
  }
  // One that ends by itself is started again after a pause, which doubles until it has run steadily.
  if (loop_.now() - instance.started >= config_.steady) instance.pause = config_.backoff_first;
  ++instance.restarts;
  instance.timer = loop_.at(loop_.now() + instance.pause, [this, &instance] { spawn(instance); });
  instance.pause = std::min(2 * instance.pause, config_.backoff_most);
  enter(instance, State::kWaiting);
}

void Supervisor::terminate(Instance& instance) {
  ::kill(instance.process, SIGTERM);
  enter(instance, State::kDraining);
  instance.timer = loop_.at(loop_.now() + config_.stop_within, [this, &instance] {
    log_.line(Level::kWarning, "agent", "drains for too long, killed", {{"instance", instance.config.name}});
    ::kill(instance.process, SIGKILL);
  });
}

std::string Supervisor::start(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return "no instance '" + name + "'";
  if (all_gone_) return "the agent is shutting down";
  if (instance->state == State::kRunning) return "";
  if (instance->state == State::kDraining) {
    instance->start_again = true;
    return "";
  }
  instance->pause = config_.backoff_first;
  spawn(*instance);
  return "";
}

std::string Supervisor::drain(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return "no instance '" + name + "'";
  instance->start_again = false;
  if (instance->state == State::kRunning) terminate(*instance);
  if (instance->state == State::kWaiting) {
    loop_.cancel(instance->timer);
    enter(*instance, State::kStopped);
  }
  return "";
}

std::string Supervisor::restart(const std::string& name) {
  const std::string fault = drain(name);
  return fault.empty() ? start(name) : fault;
}

void Supervisor::shut_down(std::function<void()> done) {
  all_gone_ = std::move(done);
  for (auto& instance : instances_) drain(instance.config.name);
  reap();
}

std::vector<Supervisor::Status> Supervisor::status() const {
  std::vector<Status> all;
  for (const auto& one : instances_) {
    all.push_back(
        {one.config.name, one.state, one.process, one.restarts, one.last_exit, loop_.now() - one.since});
  }
  return all;
}

}  // namespace rookproxy
