#include "agent/instance.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <utility>

#include "agent/process.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {
namespace {

using policy::InstanceRejection;
using policy::InstanceState;
using policy::ProcessId;
using policy::UpgradeStatus;

constexpr Duration kProbeInterval = std::chrono::milliseconds(100);

policy::InstanceSettings settings_from(const AgentConfig& limits, const InstanceConfig& config) {
  policy::InstanceSettings settings;
  settings.initial_backoff = limits.initial_backoff;
  settings.max_backoff = limits.max_backoff;
  settings.stable_after = limits.stable_after;
  settings.ready_timeout = limits.ready_timeout;
  settings.probe_interval = kProbeInterval;
  settings.stop_timeout = limits.stop_timeout;
  settings.can_overlap = !config.listen.empty() && config.admin.size() == 2;
  return settings;
}

std::string rejection_text(InstanceRejection rejection, const std::string& name) {
  const std::string quoted_name = "instance '" + name + "'";
  switch (rejection) {
    case InstanceRejection::kShuttingDown:
      return "the agent is shutting down";
    case InstanceRejection::kNotUpgradable:
      return quoted_name + " can't be upgraded: it needs `listen` and two addresses in `ops`";
    case InstanceRejection::kNotRunning:
      return quoted_name + " does not run";
    case InstanceRejection::kBeingUpgraded:
      return quoted_name + " is being upgraded";
    case InstanceRejection::kBeingRestarted:
      return quoted_name + " is being restarted";
    case InstanceRejection::kNoProcessStarted:
      return quoted_name + ": no process could be started";
  }
  return quoted_name + ": rejected";
}

// Empty unless an upgrade is aborted: other terminations are shown by the instance's state.
std::string_view abort_text(policy::TerminationReason reason) {
  switch (reason) {
    case policy::TerminationReason::kUpgradeAborted:
      return "upgrade: aborted by a command; successor drains";
    case policy::TerminationReason::kNotReadyInTime:
      return "upgrade: successor not ready in time; it drains";
    case policy::TerminationReason::kCommand:
    case policy::TerminationReason::kReplaced:
      return "";
  }
  return "";
}

std::string_view kill_text(policy::KillReason reason) {
  switch (reason) {
    case policy::KillReason::kNotStoppedInTime:
      return "process did not stop in time; killed";
    case policy::KillReason::kPredecessorNotStoppedInTime:
      return "upgrade: previous process did not stop in time; killed";
    case policy::KillReason::kSuccessorNotStoppedInTime:
      return "upgrade: successor did not stop in time; killed";
  }
  return "killed";
}

// The number of a process in log lines and on the agent's socket, where 0 stands for none.
std::string process_text(std::optional<ProcessId> process) {
  return std::to_string(process ? process->number() : 0);
}

}  // namespace

std::string_view state_name(InstanceState state) {
  switch (state) {
    case InstanceState::kStopped:
      return "stopped";
    case InstanceState::kRunning:
      return "running";
    case InstanceState::kDraining:
      return "draining";
    case InstanceState::kWaiting:
      return "waiting";
  }
  return "unknown";
}

Instance::Instance(EventLoop& loop, Logger& logger, const AgentConfig& limits, InstanceConfig config)
    : loop_(loop),
      logger_(logger),
      config_(std::move(config)),
      lifecycle_(settings_from(limits, config_)),
      state_since_(loop.now()) {
  for (const auto& address : config_.listen) {
    sockets_.push_back(listen_tcp(address));
    if (!sockets_.back()) {
      throw ConfigError("listen of " + config_.name,
                        "can't listen on " + address.to_string() + ": " + std::strerror(errno));
    }
  }
}

Instance::~Instance() { loop_.cancel(timer_); }

// Events.

std::optional<CommandRejection> Instance::execute(policy::InstanceCommand command) {
  const auto rejection = lifecycle_.on_command(command, context());
  on_event_handled();
  if (!rejection) return std::nullopt;
  return CommandRejection{rejection_text(*rejection, config_.name)};
}

void Instance::collect_exits() {
  for (const ProcessId process : lifecycle_.processes()) {
    const auto exit = collect_exit(process);
    if (!exit) continue;
    if (process == lifecycle_.process()) log_exit(*exit);
    lifecycle_.on_exit(process, *exit, context());
    on_event_handled();
  }
}

void Instance::log_exit(const std::string& exit) {
  const bool was_requested = lifecycle_.state() == InstanceState::kDraining;
  logger_.write(was_requested ? LogLevel::kInfo : LogLevel::kWarning, "agent", exit,
                {{"instance", config_.name}, {"asked", was_requested ? "yes" : "no"}});
}

void Instance::on_event_handled() {
  if (!lifecycle_.successor()) drop_probe();
  loop_.cancel(timer_);
  if (const auto due = lifecycle_.next_due()) {
    timer_ = loop_.run_at(*due, [this] {
      lifecycle_.on_time(context());
      on_event_handled();
    });
  }
  log_changes();
}

void Instance::log_changes() {
  const auto upgrade = lifecycle_.upgrade();
  if (std::exchange(logged_upgrade_, upgrade.state) != upgrade.state) {
    const bool is_start = upgrade.state == UpgradeStatus::State::kInProgress;
    logger_.write(LogLevel::kNotice, "agent", is_start ? "upgrade started" : "upgrade " + upgrade.to_string(),
                  {{"instance", config_.name}, {"successor", process_text(lifecycle_.successor())}});
  }
  if (lifecycle_.state() == logged_state_ && lifecycle_.process() == logged_process_) return;
  logged_state_ = lifecycle_.state();
  logged_process_ = lifecycle_.process();
  state_since_ = loop_.now();
  logger_.write(LogLevel::kNotice, "agent", state_name(logged_state_),
                {{"instance", config_.name}, {"pid", process_text(logged_process_)}});
}

// Processes.

std::optional<ProcessId> Instance::start(std::size_t admin_index) {
  ProcessSpec spec;
  spec.command = config_.command;
  spec.environment.assign(config_.environment.begin(), config_.environment.end());
  if (admin_index < config_.admin.size()) {
    spec.environment.emplace_back("NODE_OPS", config_.admin[admin_index].to_string());
  }
  if (!sockets_.empty()) {
    spec.environment.emplace_back("NODE_PASSED_SOCKET", std::to_string(kFirstPassedDescriptor));
  }
  for (const FileDescriptor& socket : sockets_) spec.passed_descriptors.push_back(socket.get());
  const auto process = start_process(spec);
  if (!process) logger_.write(LogLevel::kError, "agent", std::strerror(errno), {{"instance", config_.name}});
  return process;
}

void Instance::terminate(ProcessId process, policy::TerminationReason reason) {
  const std::string_view text = abort_text(reason);
  if (!text.empty()) {
    logger_.write(LogLevel::kWarning, "agent", text,
                  {{"instance", config_.name}, {"pid", process_text(process)}});
  }
  send_signal(process, SIGTERM);
}

void Instance::kill(ProcessId process, policy::KillReason reason) {
  logger_.write(LogLevel::kWarning, "agent", kill_text(reason),
                {{"instance", config_.name}, {"pid", process_text(process)}});
  send_signal(process, SIGKILL);
}

void Instance::probe(ProcessId process, std::size_t admin_index) {
  const auto on_response = [this, process](const std::string& response) {
    lifecycle_.on_probe_response(process, response.starts_with("+OK"), context());
    on_event_handled();
  };
  drop_probe();
  readiness_probe_ = std::make_shared<AdminClient>(loop_, config_.admin.at(admin_index), "STATUS",
                                                   kProbeInterval, on_response);
}

void Instance::drop_probe() {
  // The probe itself may be the caller, so it is destroyed only after the call has returned.
  if (readiness_probe_) loop_.defer([probe = std::exchange(readiness_probe_, nullptr)] {});
}

InstanceStatus Instance::status() const {
  InstanceStatus status;
  status.name = config_.name;
  status.state = lifecycle_.state();
  status.process = lifecycle_.process();
  status.restarts = lifecycle_.restarts();
  status.last_exit = lifecycle_.last_exit();
  status.time_in_state = loop_.now() - state_since_;
  if (lifecycle_.admin_index() < config_.admin.size()) {
    status.admin_address = config_.admin[lifecycle_.admin_index()].to_string();
  }
  status.upgrade = lifecycle_.upgrade();
  return status;
}

}  // namespace rookproxy
