#include "agent/supervisor.h"

#include <algorithm>
#include <utility>

namespace rookproxy {

Supervisor::Supervisor(EventLoop& loop, Logger& logger, const AgentConfig& config) {
  for (const auto& instance_config : config.instances) {
    instances_.push_back(std::make_unique<Instance>(loop, logger, config, instance_config));
  }
}

void Supervisor::start_all() {
  for (const auto& instance : instances_) {
    // A start is rejected only during a shutdown.
    if (instance->starts_with_agent()) (void)instance->execute(policy::InstanceCommand::kStart);
  }
}

std::optional<CommandRejection> Supervisor::execute(policy::InstanceCommand command,
                                                    const std::string& name) {
  const auto found = std::find_if(instances_.begin(), instances_.end(),
                                  [&](const auto& instance) { return instance->name() == name; });
  if (found == instances_.end()) return CommandRejection{"no instance '" + name + "'"};
  return (*found)->execute(command);
}

void Supervisor::begin_shutdown(std::function<void()> on_all_stopped) {
  on_all_stopped_ = std::move(on_all_stopped);
  for (const auto& instance : instances_) {
    // A shutdown is never rejected.
    (void)instance->execute(policy::InstanceCommand::kShutdown);
  }
  collect_exits();
}

void Supervisor::collect_exits() {
  for (const auto& instance : instances_) instance->collect_exits();
  const bool has_processes = std::any_of(instances_.begin(), instances_.end(),
                                         [](const auto& instance) { return instance->has_processes(); });
  if (!has_processes && on_all_stopped_) std::exchange(on_all_stopped_, nullptr)();
}

std::vector<InstanceStatus> Supervisor::status() const {
  std::vector<InstanceStatus> all;
  all.reserve(instances_.size());
  for (const auto& instance : instances_) all.push_back(instance->status());
  return all;
}

}  // namespace rookproxy
