#include "agent/supervisor.h"

#include <sys/wait.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <utility>

#include "agent/process.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {
namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
// The wait status for a command that can't be executed, as from a shell.
constexpr int kCannotRunStatus = 127 << 8;

CommandRejection unknown_instance(const std::string& name) { return {"no instance '" + name + "'"}; }

std::string exit_text(int wait_status) {
  return WIFEXITED(wait_status) ? "exit " + std::to_string(WEXITSTATUS(wait_status))
                                : "signal " + std::to_string(WTERMSIG(wait_status));
}

// The wait status of a child that has ended; nothing if it is running or if there is no such child.
std::optional<int> take_wait_status(pid_t process) {
  int wait_status = 0;
  if (process <= 0 || ::waitpid(process, &wait_status, WNOHANG) != process) return std::nullopt;
  return wait_status;
}

}  // namespace

std::string UpgradeStatus::to_string() const {
  switch (state) {
    case State::kNone:
      return "";
    case State::kInProgress:
      return "in progress";
    case State::kDone:
      return "done";
    case State::kFailed:
      return "failed: " + failure;
  }
  return "";
}

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

Supervisor::Supervisor(EventLoop& loop, Logger& logger, AgentConfig config)
    : loop_(loop), logger_(logger), config_(std::move(config)) {
  for (const auto& instance_config : config_.instances) {
    Instance instance;
    instance.config = instance_config;
    instance.state_since = loop_.now();
    instance.backoff = config_.initial_backoff;
    for (const auto& address : instance_config.listen) {
      instance.sockets.push_back(listen_tcp(address));
      if (!instance.sockets.back()) {
        throw ConfigError("listen of " + instance_config.name,
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
                                  [&](const Instance& instance) { return instance.config.name == name; });
  return found == instances_.end() ? nullptr : &*found;
}

void Supervisor::set_state(Instance& instance, State state) {
  instance.state = state;
  instance.state_since = loop_.now();
  logger_.write(LogLevel::kNotice, "agent", state_name(state),
                {{"instance", instance.config.name}, {"pid", std::to_string(instance.process)}});
}

// Processes.

pid_t Supervisor::launch(const Instance& instance, std::size_t admin_address_index) {
  ProcessSpec spec;
  spec.command = instance.config.command;
  spec.environment.assign(instance.config.environment.begin(), instance.config.environment.end());
  if (admin_address_index < instance.config.admin.size()) {
    spec.environment.emplace_back("NODE_OPS", instance.config.admin[admin_address_index].to_string());
  }
  if (!instance.sockets.empty()) {
    spec.environment.emplace_back("NODE_PASSED_SOCKET", std::to_string(kFirstPassedDescriptor));
  }
  for (const FileDescriptor& socket : instance.sockets) spec.passed_descriptors.push_back(socket.get());
  const pid_t process = start_process(spec);
  if (process >= 0) return process;
  logger_.write(LogLevel::kError, "agent", std::strerror(errno), {{"instance", instance.config.name}});
  return 0;
}

void Supervisor::spawn(Instance& instance) {
  loop_.cancel(instance.timer);
  instance.process = launch(instance, instance.admin_address_index);
  if (instance.process == 0) return on_process_exit(instance, kCannotRunStatus);
  instance.started_at = loop_.now();
  set_state(instance, State::kRunning);
}

void Supervisor::reap_children() {
  for (auto& instance : instances_) {
    if (take_wait_status(instance.retiring_process)) {
      instance.retiring_process = 0;
      end_upgrade(instance, {UpgradeStatus::State::kDone, ""});
    }
    if (const auto wait_status = take_wait_status(instance.successor)) {
      instance.successor = 0;
      end_upgrade(instance,
                  {UpgradeStatus::State::kFailed, "the successor ended with " + exit_text(*wait_status)});
    }
    if (const auto wait_status = take_wait_status(instance.process)) on_process_exit(instance, *wait_status);
  }
  const bool all_stopped = std::all_of(instances_.begin(), instances_.end(), [](const Instance& instance) {
    return instance.process == 0 && instance.successor == 0 && instance.retiring_process == 0;
  });
  if (all_stopped && on_all_stopped_) std::exchange(on_all_stopped_, nullptr)();
}

void Supervisor::on_process_exit(Instance& instance, int wait_status) {
  loop_.cancel(instance.timer);
  instance.last_exit = exit_text(wait_status);
  const bool was_requested = instance.state == State::kDraining;
  logger_.write(was_requested ? LogLevel::kInfo : LogLevel::kWarning, "agent", instance.last_exit,
                {{"instance", instance.config.name}, {"asked", was_requested ? "yes" : "no"}});
  instance.process = 0;
  if (was_requested) {
    if (std::exchange(instance.restart_after_drain, false)) return spawn(instance);
    return set_state(instance, State::kStopped);
  }
  ++instance.restarts;
  // During an upgrade the successor takes over at once, even if it is not ready, as no other process is left.
  if (instance.successor > 0) return promote_successor(instance);
  restart_after_backoff(instance);
}

// Starts the instance again after a pause, which doubles each time until the instance has run long enough.
void Supervisor::restart_after_backoff(Instance& instance) {
  if (loop_.now() - instance.started_at >= config_.stable_after) instance.backoff = config_.initial_backoff;
  instance.timer = loop_.run_at(loop_.now() + instance.backoff, [this, &instance] { spawn(instance); });
  instance.backoff = std::min(2 * instance.backoff, config_.max_backoff);
  set_state(instance, State::kWaiting);
}

void Supervisor::terminate(Instance& instance) {
  ::kill(instance.process, SIGTERM);
  set_state(instance, State::kDraining);
  instance.timer = loop_.run_at(loop_.now() + config_.stop_timeout, [this, &instance] {
    logger_.write(LogLevel::kWarning, "agent", "process did not stop in time; killed",
                  {{"instance", instance.config.name}});
    ::kill(instance.process, SIGKILL);
  });
}

// Upgrades.

std::optional<CommandRejection> Supervisor::upgrade(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return unknown_instance(name);
  const std::string quoted_name = "instance '" + name + "'";
  if (instance->config.listen.empty() || instance->config.admin.size() != 2) {
    return CommandRejection{quoted_name + " can't be upgraded: it needs `listen` and two addresses in `ops`"};
  }
  if (instance->state != State::kRunning) return CommandRejection{quoted_name + " does not run"};
  if (instance->successor != 0 || instance->retiring_process != 0) {
    return CommandRejection{quoted_name + " is being upgraded"};
  }
  instance->successor = launch(*instance, 1 - instance->admin_address_index);
  if (instance->successor == 0) return CommandRejection{quoted_name + ": no process could be started"};
  instance->upgrade = {UpgradeStatus::State::kInProgress, ""};
  instance->ready_deadline = loop_.now() + config_.ready_timeout;
  logger_.write(LogLevel::kNotice, "agent", "upgrade started",
                {{"instance", name}, {"successor", std::to_string(instance->successor)}});
  probe_successor(*instance);
  return std::nullopt;
}

// Probes the successor until it reports that it is ready. Until then the running process serves as before.
void Supervisor::probe_successor(Instance& instance) {
  if (instance.successor == 0) return;
  if (loop_.now() >= instance.ready_deadline) {
    logger_.write(LogLevel::kWarning, "agent", "upgrade: successor not ready in time; killed",
                  {{"instance", instance.config.name}});
    ::kill(instance.successor, SIGKILL);
    return;
  }
  const auto on_response = [this, &instance, probed = instance.successor](const std::string& response) {
    // The process may have been promoted or have ended since it was probed.
    if (instance.successor != probed) return;
    if (response.starts_with("+OK")) return promote_successor(instance);
    instance.upgrade_timer =
        loop_.run_at(loop_.now() + kProbeInterval, [this, &instance] { probe_successor(instance); });
  };
  const SocketAddress& address = instance.config.admin[1 - instance.admin_address_index];
  instance.readiness_probe =
      std::make_unique<AdminClient>(loop_, address, "STATUS", kProbeInterval, on_response);
}

void Supervisor::promote_successor(Instance& instance) {
  instance.retiring_process = std::exchange(instance.process, std::exchange(instance.successor, 0));
  instance.admin_address_index = 1 - instance.admin_address_index;
  instance.started_at = loop_.now();
  set_state(instance, State::kRunning);
  if (instance.retiring_process == 0) return end_upgrade(instance, {UpgradeStatus::State::kDone, ""});
  ::kill(instance.retiring_process, SIGTERM);
  loop_.cancel(instance.upgrade_timer);
  instance.upgrade_timer = loop_.run_at(loop_.now() + config_.stop_timeout, [this, &instance] {
    logger_.write(LogLevel::kWarning, "agent", "upgrade: previous process did not stop in time; killed",
                  {{"instance", instance.config.name}});
    ::kill(instance.retiring_process, SIGKILL);
  });
}

void Supervisor::end_upgrade(Instance& instance, UpgradeStatus outcome) {
  loop_.cancel(instance.upgrade_timer);
  instance.upgrade = std::move(outcome);
  logger_.write(LogLevel::kNotice, "agent", "upgrade " + instance.upgrade.to_string(),
                {{"instance", instance.config.name}});
}

// Commands.

void Supervisor::start_all() {
  for (auto& instance : instances_) {
    if (instance.config.autostart) spawn(instance);
  }
}

std::optional<CommandRejection> Supervisor::start(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return unknown_instance(name);
  if (on_all_stopped_) return CommandRejection{"the agent is shutting down"};
  if (instance->state == State::kRunning) return std::nullopt;
  if (instance->state == State::kDraining) {
    instance->restart_after_drain = true;
    return std::nullopt;
  }
  instance->backoff = config_.initial_backoff;
  spawn(*instance);
  return std::nullopt;
}

std::optional<CommandRejection> Supervisor::drain(const std::string& name) {
  Instance* instance = find(name);
  if (!instance) return unknown_instance(name);
  drain(*instance);
  return std::nullopt;
}

void Supervisor::drain(Instance& instance) {
  instance.restart_after_drain = false;
  // A drain also aborts an upgrade in progress, so that no process of the instance keeps running.
  if (instance.successor > 0) ::kill(instance.successor, SIGKILL);
  if (instance.state == State::kRunning) terminate(instance);
  if (instance.state == State::kWaiting) {
    loop_.cancel(instance.timer);
    set_state(instance, State::kStopped);
  }
}

std::optional<CommandRejection> Supervisor::restart(const std::string& name) {
  if (auto rejection = drain(name)) return rejection;
  return start(name);
}

void Supervisor::begin_shutdown(std::function<void()> on_all_stopped) {
  on_all_stopped_ = std::move(on_all_stopped);
  for (auto& instance : instances_) drain(instance);
  reap_children();
}

std::vector<Supervisor::Status> Supervisor::status() const {
  std::vector<Status> all;
  for (const auto& instance : instances_) {
    Status status;
    status.name = instance.config.name;
    status.state = instance.state;
    status.process = instance.process;
    status.restarts = instance.restarts;
    status.last_exit = instance.last_exit;
    status.time_in_state = loop_.now() - instance.state_since;
    if (instance.admin_address_index < instance.config.admin.size()) {
      status.admin_address = instance.config.admin[instance.admin_address_index].to_string();
    }
    status.upgrade = instance.upgrade;
    all.push_back(std::move(status));
  }
  return all;
}

}  // namespace rookproxy
