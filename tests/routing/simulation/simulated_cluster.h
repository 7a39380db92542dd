#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/simulation/engine_process.h"
#include "routing/simulation/engine_set.h"
#include "routing/simulation/random_source.h"
#include "routing/simulation/simulated_dispatcher.h"
#include "routing/simulation/simulated_request.h"
#include "routing/simulation/simulation_conditions.h"
#include "routing/simulation/traffic_class.h"
#include "routing/test_time.h"

namespace rookproxy::routing::simulation {

// The simulation's resolution.
inline constexpr Time kTimeStep = 5'000;

// Many dispatchers, each with its own router, in virtual time over models of engines. Each decides by itself;
// tests look at what they do together. Seeded, so that every run gives the same figures.
class SimulatedCluster {
 public:
  // Each dispatcher runs as so many processes, which share the budgets that hold for all of them.
  SimulatedCluster(Settings settings, std::vector<TrafficClass> traffic, std::uint64_t seed,
                   std::uint32_t processes_per_dispatcher = 1);
  // Scheduled tasks refer to it.
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // ---- engines ----

  [[nodiscard]] EngineSet& engines() { return engines_; }
  [[nodiscard]] const EngineSet& engines() const { return engines_; }
  // The process ends and its connections are reset.
  void stop_process(EngineId id);

  // ---- dispatchers ----

  // Sends the present engine list to all dispatchers: to each at a random time within `spread`, and to one in
  // `late_one_in` within 6 s instead (0: to none).
  void publish_list(Time spread, int late_one_in = 0);
  // Kills a dispatcher. Its successor has the cached initial list, or none, and the present one within
  // `list_delay`.
  void restart_dispatcher(std::uint32_t dispatcher, Time list_delay = 2 * kSecond / 5,
                          bool has_cached_list = true);

  // ---- time ----

  [[nodiscard]] Time now() const { return now_; }
  void schedule(Time when, std::function<void()> task);
  void run_until(Time until);
  void run_for(Time duration) { run_until(now_ + duration); }
  // Stops the traffic and runs until all requests have had a final response, 30 s at most.
  void finish_requests();

  // ---- figures ----

  [[nodiscard]] SimulationConditions& conditions() { return conditions_; }
  [[nodiscard]] const std::vector<SimulatedRequest>& requests() const { return requests_; }
  [[nodiscard]] const std::vector<SentAttempt>& sent_attempts() const { return sent_attempts_; }
  [[nodiscard]] const RuleViolations& violations() const { return violations_; }
  // Mean work of all requests, in microseconds of one thread.
  [[nodiscard]] double mean_work() const;
  // Share of its full capacity that an engine has at this share of its warm-up period.
  [[nodiscard]] double capacity_share(const SlowStart& slow_start, double elapsed_share) const;
  // Requests whose dispatcher lived on and that had no final response in time.
  [[nodiscard]] std::size_t unanswered_requests() const;

 private:
  [[nodiscard]] Settings settings_of(std::uint32_t dispatcher) const;

  void step();
  void run_due_tasks();
  [[nodiscard]] double traffic_share(std::uint32_t dispatcher) const;
  void generate_arrivals(std::uint32_t dispatcher);
  void create_request(std::uint32_t dispatcher, ClassIndex class_index);

  [[nodiscard]] double warm_up_share(const EngineProcess& process) const;
  [[nodiscard]] int threads_of(const RunningAttempt& attempt) const;
  // The share of its demand for threads that the process can run.
  [[nodiscard]] double speed_of(const EngineProcess& process) const;
  void run_process(EngineProcess& process);
  void advance_attempt(const EngineProcess& process, double speed, RunningAttempt& attempt);
  [[nodiscard]] bool is_over(const RunningAttempt& attempt) const;
  void report_progress(const RunningAttempt& attempt);
  void report_outcome(const RunningAttempt& attempt, Outcome outcome);
  void complete_request(std::size_t request, bool succeeded);

  void apply_action(std::uint32_t dispatcher, const Action& action);
  void send(std::uint32_t dispatcher, const Send& send);
  void record_send(std::uint32_t dispatcher, const Send& send);
  void check_send(std::uint32_t dispatcher, const Send& send);
  [[nodiscard]] bool sent_after_drain(std::uint32_t dispatcher, EngineId engine) const;
  void cancel(const Cancel& cancel);
  void probe(std::uint32_t dispatcher, const Probe& probe);

  Settings settings_;
  std::vector<TrafficClass> traffic_;
  RandomSource random_;
  SimulationConditions conditions_;
  RuleViolations violations_;
  Time now_ = 0;
  std::multimap<Time, std::function<void()>> scheduled_tasks_;

  std::uint32_t processes_per_dispatcher_;
  std::vector<SimulatedDispatcher> dispatchers_;

  EngineSet engines_;
  std::vector<EngineEntry> initial_list_;
  std::uint64_t list_version_ = 0;

  std::vector<SimulatedRequest> requests_;
  std::vector<SentAttempt> sent_attempts_;
};

}  // namespace rookproxy::routing::simulation
