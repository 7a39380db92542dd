#include "routing/simulation/slow_start_run.h"

#include <set>
#include <utility>

namespace rookproxy::routing::simulation {

namespace {

constexpr Time kLearningPeriod = 6 * kSecond;
constexpr Time kRestartInterval = 8 * kSecond;
constexpr Time kBurstPeriod = 4 * kSecond;
// How long the run goes on once all engines are warm.
constexpr Time kWarmPeriod = 5 * kSecond;
// Work is compared over spans of this length, each so much after the one before.
constexpr Time kComparedSpan = 2 * kSecond;
constexpr Time kComparedStep = kSecond / 2;
constexpr double kCoresPerEngine = 8;

}  // namespace

SlowStartRun::SlowStartRun(SlowStartScenario scenario, std::uint64_t seed)
    : scenario_(std::move(scenario)),
      cluster_(settings_of(scenario_), traffic_of(scenario_), seed, scenario_.processes_per_dispatcher) {
  SimulationConditions& conditions = cluster_.conditions();
  conditions.estimate_factor = scenario_.estimate_factor;
  conditions.busy_dispatcher_factor = scenario_.busy_dispatcher_factor;
  conditions.first_dispatcher_share = scenario_.first_dispatcher_share;
  conditions.capacity_grows_at_end = scenario_.capacity_grows_at_end;
  cluster_.engines().add_running(scenario_.warm_engines);
  if (scenario_.engines_are_new) return;
  for (EngineId i = 0; i < scenario_.starting_engines; ++i) {
    starting_engines_.push_back(cluster_.engines().add());
  }
}

void SlowStartRun::play() {
  cluster_.run_until(kLearningPeriod);
  warm_up_began_at_ = cluster_.now();
  for (int start = 0; start < scenario_.starts; ++start) {
    start_engines(start == 0);
    publish_list();
    begin_burst();
    if (scenario_.dispatchers_restart) restart_some_dispatchers();
    if (scenario_.all_restart_after > 0) restart_all_dispatchers();
    const bool last = start + 1 == scenario_.starts;
    cluster_.run_for(last ? scenario_.slow_start.warm_up_period : kRestartInterval);
  }
  warm_up_ended_at_ = cluster_.now();
  cluster_.run_for(kWarmPeriod);
}

void SlowStartRun::start_engines(bool first_round) {
  const auto interval = static_cast<Time>(scenario_.seconds_between_starts * kSecond);
  for (EngineId i = 0; i < scenario_.starting_engines; ++i) {
    if (i > 0 && scenario_.seconds_between_starts > 0) {
      publish_list();
      cluster_.run_for(interval);
    }
    last_start_at_ = cluster_.now();
    start_engine(i, first_round);
  }
}

void SlowStartRun::start_engine(EngineId index, bool first_round) {
  EngineSet& engines = cluster_.engines();
  if (first_round && scenario_.engines_are_new) {
    starting_engines_.push_back(engines.add(cluster_.now()));
  } else {
    cluster_.stop_process(starting_engines_[index]);
    engines.start_process(starting_engines_[index], cluster_.now());
  }
  engines.process(starting_engines_[index]).max_attempts = scenario_.max_attempts_of_starting_engine;
}

void SlowStartRun::publish_list() {
  cluster_.publish_list(scenario_.list_spread, scenario_.late_list_one_in);
}

void SlowStartRun::begin_burst() {
  cluster_.conditions().traffic_factor = scenario_.burst_factor;
  cluster_.schedule(cluster_.now() + kBurstPeriod, [this] {
    cluster_.conditions().traffic_factor = 1;
  });
}

void SlowStartRun::restart_some_dispatchers() {
  for (std::uint32_t i = 0; i < scenario_.dispatchers; i += 3) {
    const Time when = cluster_.now() + kSecond / 2 + 4 * kSecond * i / scenario_.dispatchers;
    cluster_.schedule(when, [this, i] {
      cluster_.restart_dispatcher(i);
    });
  }
}

void SlowStartRun::restart_all_dispatchers() {
  const std::uint32_t processes = scenario_.dispatchers * scenario_.processes_per_dispatcher;
  for (std::uint32_t i = 0; i < processes; ++i) {
    const Time when = cluster_.now() + scenario_.all_restart_after + scenario_.restart_period * i / processes;
    cluster_.schedule(when, [this, i] {
      cluster_.restart_dispatcher(i, scenario_.list_delay_after_restart, false);
    });
  }
}

SlowStartUsage SlowStartRun::usage() const {
  SlowStartUsage usage;
  const auto& processes = cluster_.engines().processes();
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (processes[i].started_at != 0) add_usage(cluster_, scenario_.slow_start, i, usage);
  }
  return usage;
}

ServiceLevel SlowStartRun::service_level() const {
  double arrived = 0;
  double served = 0;
  double in_time = 0;
  for (const auto& request : cluster_.requests()) {
    if (request.arrived_at < warm_up_began_at_ || request.arrived_at >= warm_up_ended_at_) continue;
    if (request.orphaned) continue;
    ++arrived;
    served += request.succeeded;
    in_time += request.succeeded && request.ended_at <= request.objective_at;
  }
  ServiceLevel level;
  level.utilization = utilization();
  level.served = served / arrived;
  level.served_in_time = in_time / arrived;
  level.seconds_to_full_share = seconds_to_full_share();
  return level;
}

double SlowStartRun::utilization() const {
  const auto warm_up =
      static_cast<double>(scenario_.starts > 1 ? kRestartInterval : scenario_.slow_start.warm_up_period);
  double work = 0;
  double available = 0;
  const auto& processes = cluster_.engines().processes();
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (processes[i].started_at == 0) continue;
    available += kCoresPerEngine * warm_up;
    for (const auto& sent : cluster_.sent_attempts()) {
      if (sent.process == i && sent.sent_at < warm_up_ended_at_) work += sent.work;
    }
  }
  return work / available;
}

double SlowStartRun::seconds_to_full_share() const {
  const std::set<EngineId> starting(starting_engines_.begin(), starting_engines_.end());
  const auto starting_count = static_cast<double>(starting.size());
  const auto other_count = static_cast<double>(cluster_.engines().size()) - starting_count;
  for (Time at = last_start_at_; at + kComparedSpan <= cluster_.now(); at += kComparedStep) {
    double starting_work = 0;
    double other_work = 0;
    for (const auto& sent : cluster_.sent_attempts()) {
      if (sent.sent_at < at || sent.sent_at >= at + kComparedSpan) continue;
      (starting.contains(sent.engine) ? starting_work : other_work) += sent.work;
    }
    if (starting_work / starting_count >= 0.9 * other_work / other_count) {
      return static_cast<double>(at - last_start_at_) / kSecond;
    }
  }
  return -1;
}

}  // namespace rookproxy::routing::simulation
