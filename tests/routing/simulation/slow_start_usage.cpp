#include "routing/simulation/slow_start_usage.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace rookproxy::routing::simulation {

namespace {

// The least share of its cores that an engine's capacity may come to.
constexpr double kLeastCapacityShare = 0.85;

// Requests that a window may hold where the settings allow `expected` on average: so much is put down to
// chance, less than the standing test does.
double allowed_requests(double expected) { return expected + 2 * std::sqrt(expected) + 2; }

// The sends of the latest overload window.
class SendWindow {
 public:
  void add(const SentAttempt& sent) {
    sends_.push_back(&sent);
    listed_work_ += sent.start_was_listed * sent.work;
    all_work_ += sent.work;
    listed_requests_ += sent.start_was_listed;
  }
  void forget_until(Time time) {
    for (; sends_.front()->sent_at <= time; sends_.pop_front()) {
      const SentAttempt& oldest = *sends_.front();
      listed_work_ -= oldest.start_was_listed * oldest.work;
      all_work_ -= oldest.work;
      listed_requests_ -= oldest.start_was_listed;
    }
  }
  [[nodiscard]] double listed_work() const { return listed_work_; }
  [[nodiscard]] double all_work() const { return all_work_; }
  [[nodiscard]] double listed_requests() const { return listed_requests_; }

 private:
  std::deque<const SentAttempt*> sends_;
  double listed_work_ = 0;
  double all_work_ = 0;
  double listed_requests_ = 0;
};

// Requests of mean work that fit into the capacity of a window that begins so long after the engine's start.
double capacity_of_window(const SimulatedCluster& cluster, const SlowStart& slow_start,
                          const EngineProcess& process, double mean_work, Time begins_after) {
  const double elapsed_share =
      static_cast<double>(std::max<Time>(0, begins_after)) / static_cast<double>(slow_start.warm_up_period);
  const double share = cluster.capacity_share(slow_start, elapsed_share);
  return slow_start.overload_factor * share * kLeastCapacityShare * process.cores *
         static_cast<double>(slow_start.overload_window) / mean_work;
}

}  // namespace

void add_usage(const SimulatedCluster& cluster, const SlowStart& slow_start, std::size_t process_index,
               SlowStartUsage& usage) {
  const EngineProcess& process = cluster.engines().processes()[process_index];
  const double mean_work = cluster.mean_work();
  SendWindow window;
  for (const auto& sent : cluster.sent_attempts()) {
    if (sent.process != process_index || sent.sent_at - process.started_at >= slow_start.warm_up_period)
      continue;
    const Time window_begin = sent.sent_at - slow_start.overload_window;
    window.add(sent);
    window.forget_until(window_begin);
    const double requests = allowed_requests(
        capacity_of_window(cluster, slow_start, process, mean_work, window_begin - process.started_at));
    const double work = requests * mean_work;
    usage.listed_work = std::max(usage.listed_work, window.listed_work() / work);
    usage.listed_requests = std::max(usage.listed_requests, window.listed_requests() / requests);
    if (window.listed_work() > window.all_work() * 2 / 3) {
      usage.all_work = std::max(usage.all_work, window.all_work() / work);
    }
  }
}

}  // namespace rookproxy::routing::simulation
