#include "agent/supervisor.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>

namespace rookproxy {

std::string_view state_name(Supervisor::State state) {
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

namespace {
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);

std::string exit_text(int status) {
  return WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                           : "signal " + std::to_string(WTERMSIG(status));
}
}  // namespace

Supervisor::Supervisor(EventLoop& loop, Logger& log, const AgentConfig& config)
    : loop_(loop), log_(log), config_(config) {
  for (const auto& one : config_.instances) {
    Instance instance;
    instance.config = one;
    instance.since = loop_.now();
    instance.pause = config_.initial_backoff;
    for (const auto& address : one.listen) {
      instance.sockets.push_back(listen_tcp(address));
      if (!instance.sockets.back()) {
        throw ConfigError("listen of " + one.name,
                          "can't listen on " + address.to_string() + ": " + std::strerror(errno));
      }
    }
    instances_.push_back(std::move(instance));
  }
}

Supervisor::~Supervisor() {
  for (auto& instance : instances_) {
    loop_.cancel(instance.timer);
    loop_.cancel(instance.upgrade_timer);
  }
}

Supervisor::Instance* Supervisor::find(const std::string& name) {
  const auto found = std::find_if(instances_.begin(), instances_.end(),
                                  [&](const Instance& one) { return one.config.name == name; });
  return found == instances_.end() ? nullptr : &*found;
}

void Supervisor::enter(Instance& instance, State state) {
  instance.state = state;
  instance.since = loop_.now();
  log_.write(LogLevel::kNotice, "agent", state_name(state),
             {{"instance", instance.config.name}, {"pid", std::to_string(instance.process)}});
}

void Supervisor::start_all() {
  for (auto& instance : instances_) {
    if (instance.config.autostart) spawn(instance);
  }
}

pid_t Supervisor::launch(const Instance& instance, std::size_t ops_at) {
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
    if (ops_at < instance.config.admin.size()) {
      ::setenv("NODE_OPS", instance.config.admin[ops_at].to_string().c_str(), 1);
    }
    if (!instance.sockets.empty()) ::setenv("NODE_PASSED_SOCKET", "3", 1);
    // First out of the way of the numbers that they are to have.
    std::vector<int> apart;
    for (const FileDescriptor& socket : instance.sockets)
      apart.push_back(::fcntl(socket.get(), F_DUPFD_CLOEXEC, 64));
    for (std::size_t i = 0; i < apart.size(); ++i) ::dup2(apart[i], static_cast<int>(3 + i));
    std::vector<char*> words;
    for (auto& word : instance.config.command) words.push_back(const_cast<char*>(word.data()));
    words.push_back(nullptr);
    ::execvp(words[0], words.data());
    ::_exit(127);
  }
  if (process < 0) {
    log_.write(LogLevel::kError, "agent", std::strerror(errno), {{"instance", instance.config.name}});
    return 0;
  }
  return process;
}

void Supervisor::spawn(Instance& instance) {
  loop_.cancel(instance.timer);
  instance.process = launch(instance, instance.admin_address_index);
  if (instance.process == 0) return on_process_exit(instance, 127 << 8);
  instance.started = loop_.now();
  enter(instance, State::kRunning);
}

std::string Supervisor::upgrade(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return "no instance '" + name + "'";
  if (instance->config.listen.empty() || instance->config.admin.size() != 2) {
    return "instance '" + name + "' can't be upgraded: it needs `listen` and two addresses in `ops`";
  }
  if (instance->state != State::kRunning) return "instance '" + name + "' does not run";
  if (instance->successor != 0 || instance->retiring_process != 0)
    return "instance '" + name + "' is being upgraded";
  instance->successor = launch(*instance, 1 - instance->admin_address_index);
  if (instance->successor == 0) return "instance '" + name + "': no process could be started";
  instance->upgrade = "in progress";
  instance->ready_deadline = loop_.now() + config_.ready_timeout;
  log_.write(LogLevel::kNotice, "agent", "upgrade begins",
             {{"instance", name}, {"successor", std::to_string(instance->successor)}});
  probe_successor(*instance);
  return "";
}

// Asked again and again until it says yes: nothing is taken from the process that serves before that.
void Supervisor::probe_successor(Instance& instance) {
  if (instance.successor == 0) return;
  if (loop_.now() >= instance.ready_deadline) {
    log_.write(LogLevel::kWarning, "agent", "the successor is not ready in time, killed",
               {{"instance", instance.config.name}});
    ::kill(instance.successor, SIGKILL);
    return;
  }
  instance.call = std::make_unique<AdminClient>(
      loop_, instance.config.admin[1 - instance.admin_address_index], "STATUS", kProbeInterval,
      [this, &instance](std::string answer) {
        if (answer.starts_with("+OK")) return promote(instance);
        instance.upgrade_timer =
            loop_.run_at(loop_.now() + kProbeInterval, [this, &instance] { probe_successor(instance); });
      });
}

void Supervisor::promote(Instance& instance) {
  instance.retiring_process = std::exchange(instance.process, std::exchange(instance.successor, 0));
  instance.admin_address_index = 1 - instance.admin_address_index;
  instance.started = loop_.now();
  enter(instance, State::kRunning);
  if (instance.retiring_process == 0) return end_upgrade(instance, "done");
  ::kill(instance.retiring_process, SIGTERM);
  loop_.cancel(instance.upgrade_timer);
  instance.upgrade_timer = loop_.run_at(loop_.now() + config_.stop_timeout, [this, &instance] {
    log_.write(LogLevel::kWarning, "agent", "the former process drains for too long, killed",
               {{"instance", instance.config.name}});
    ::kill(instance.retiring_process, SIGKILL);
  });
}

void Supervisor::end_upgrade(Instance& instance, const std::string& how) {
  loop_.cancel(instance.upgrade_timer);
  instance.upgrade = how;
  log_.write(LogLevel::kNotice, "agent", "upgrade " + how, {{"instance", instance.config.name}});
}

void Supervisor::reap_children() {
  for (auto& instance : instances_) {
    int status = 0;
    if (instance.retiring_process > 0 &&
        ::waitpid(instance.retiring_process, &status, WNOHANG) == instance.retiring_process) {
      instance.retiring_process = 0;
      end_upgrade(instance, "done");
    }
    if (instance.successor > 0 && ::waitpid(instance.successor, &status, WNOHANG) == instance.successor) {
      instance.successor = 0;
      end_upgrade(instance, "failed: the successor ended with " + exit_text(status));
    }
    if (instance.process > 0 && ::waitpid(instance.process, &status, WNOHANG) == instance.process) {
      on_process_exit(instance, status);
    }
  }
  const bool gone = std::all_of(instances_.begin(), instances_.end(), [](const Instance& i) {
    return i.process == 0 && i.successor == 0 && i.retiring_process == 0;
  });
  if (gone && on_all_stopped_) std::exchange(on_all_stopped_, nullptr)();
}

void Supervisor::on_process_exit(Instance& instance, int status) {
  loop_.cancel(instance.timer);
  instance.last_exit = exit_text(status);
  const bool asked = instance.state == State::kDraining;
  log_.write(asked ? LogLevel::kInfo : LogLevel::kWarning, "agent", instance.last_exit,
             {{"instance", instance.config.name}, {"asked", asked ? "yes" : "no"}});
  instance.process = 0;
  // It died beside a successor that was on its way: that is what is left.
  if (instance.successor > 0 && !asked) {
    ++instance.restarts;
    return promote(instance);
  }
  if (asked) {
    if (std::exchange(instance.restart_after_drain, false)) return spawn(instance);
    return enter(instance, State::kStopped);
  }
  // One that ends by itself is started again after a pause, which doubles until it has run steadily.
  if (loop_.now() - instance.started >= config_.stable_after) instance.pause = config_.initial_backoff;
  ++instance.restarts;
  instance.timer = loop_.run_at(loop_.now() + instance.pause, [this, &instance] { spawn(instance); });
  instance.pause = std::min(2 * instance.pause, config_.max_backoff);
  enter(instance, State::kWaiting);
}

void Supervisor::terminate(Instance& instance) {
  ::kill(instance.process, SIGTERM);
  enter(instance, State::kDraining);
  instance.timer = loop_.run_at(loop_.now() + config_.stop_timeout, [this, &instance] {
    log_.write(LogLevel::kWarning, "agent", "drains for too long, killed",
               {{"instance", instance.config.name}});
    ::kill(instance.process, SIGKILL);
  });
}

std::string Supervisor::start(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return "no instance '" + name + "'";
  if (on_all_stopped_) return "the agent is shutting down";
  if (instance->state == State::kRunning) return "";
  if (instance->state == State::kDraining) {
    instance->restart_after_drain = true;
    return "";
  }
  instance->pause = config_.initial_backoff;
  spawn(*instance);
  return "";
}

std::string Supervisor::drain(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return "no instance '" + name + "'";
  instance->restart_after_drain = false;
  // An upgrade ends with it: nothing of the instance is to go on.
  if (instance->successor > 0) ::kill(instance->successor, SIGKILL);
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

void Supervisor::begin_shutdown(std::function<void()> done) {
  on_all_stopped_ = std::move(done);
  for (auto& instance : instances_) drain(instance.config.name);
  reap_children();
}

std::vector<Supervisor::Status> Supervisor::status() const {
  std::vector<Status> all;
  for (const auto& one : instances_) {
    all.push_back({one.config.name, one.state, one.process, one.restarts, one.last_exit,
                   loop_.now() - one.since,
                   one.admin_address_index < one.config.admin.size()
                       ? one.config.admin[one.admin_address_index].to_string()
                       : "",
                   one.upgrade});
  }
  return all;
}

}  // namespace rookproxy
