#include "policy/endpoint_confirmation.h"

#include <chrono>
#include <utility>

namespace rookproxy::policy {
namespace {

// The platform counts an announcement as received 7 s after it was made at the latest.
constexpr Duration kMaxPropagationDelay = std::chrono::seconds(7);
// Engines that were removed are remembered for so long: later no old response can list them.
constexpr Duration kClosedEngineRetention = std::chrono::seconds(60);

template <class Starts>
bool contains(const Starts& engines, const std::string& id, std::optional<Time> started_at) {
  const auto found = engines.find(id);
  return found != engines.end() && found->second == started_at;
}

}  // namespace

EndpointConfirmation::EndpointConfirmation(const EngineListing& initial, Time now)
    : allowed_(serving_engines(initial)), is_first_list_(initial.empty()) {
  withhold_drained(initial, now);
}

EndpointConfirmation::Starts EndpointConfirmation::serving_engines(const EngineListing& list) {
  Starts engines;
  for (const ListedEngine& engine : list) {
    if (engine.serving) engines.emplace(engine.id, engine.started_at);
  }
  return engines;
}

void EndpointConfirmation::close(const std::string& id, std::optional<Time> started_at, Time now) {
  closed_[id] = {started_at, now};
}

bool EndpointConfirmation::is_confirmed(const std::string& id, const Candidate& candidate) const {
  if (withheld_until_.contains(id)) return false;
  const auto closed = closed_.find(id);
  const bool was_closed = closed != closed_.end() && closed->second.started_at == candidate.started_at;
  return candidate.responses >= (was_closed ? kResponsesForClosedEngine : kResponsesForNewEngine);
}

void EndpointConfirmation::on_newest_list(const EngineListing& list, Time now) {
  contradictions_ = 0;
  std::erase_if(withheld_until_, [now](const auto& engine) { return engine.second <= now; });
  std::erase_if(closed_,
                [now](const auto& engine) { return now - engine.second.closed_at > kClosedEngineRetention; });
  const auto former_candidates = std::exchange(candidates_, {});
  const Starts formerly_allowed = std::exchange(allowed_, {});
  const bool believe_all = std::exchange(is_first_list_, false);
  for (const auto& [id, started_at] : serving_engines(list)) {
    Candidate candidate{started_at, 1};
    const auto former = former_candidates.find(id);
    if (former != former_candidates.end() && former->second.started_at == started_at) {
      candidate.responses += former->second.responses;
    }
    if (believe_all || contains(formerly_allowed, id, started_at) || is_confirmed(id, candidate)) {
      allowed_.emplace(id, started_at);
    } else {
      candidates_.emplace(id, candidate);
    }
  }
  withheld_by_newest_.clear();
  for (const auto& [id, started_at] : formerly_allowed) {
    if (contains(allowed_, id, started_at)) continue;
    withheld_by_newest_.emplace(id, started_at);
    close(id, started_at, now);
  }
  withhold_drained(list, now);
}

void EndpointConfirmation::on_newest_refuted(Time now) {
  for (const auto& [id, started_at] : std::exchange(withheld_by_newest_, {})) {
    withheld_until_[id] = now + kMaxPropagationDelay;
  }
}

void EndpointConfirmation::on_contradicting_list(const EngineListing& list, Time now) {
  candidates_.clear();  // confirmations have to follow with nothing else in between
  withhold_drained(list, now);
  if (++contradictions_ < kContradictionsToBelieve) return;
  const Starts serving = serving_engines(list);
  if (serving.empty()) return;  // from a server that has loaded no list yet: it must not end all work
  std::erase_if(allowed_, [&](const auto& engine) {
    if (contains(serving, engine.first, engine.second)) return false;
    close(engine.first, engine.second, now);
    return true;
  });
}

void EndpointConfirmation::withhold_drained(const EngineListing& list, Time now) {
  for (const ListedEngine& engine : list) {
    if (engine.serving) continue;
    close(engine.id, engine.started_at, now);
    if (contains(allowed_, engine.id, engine.started_at)) allowed_.erase(engine.id);
  }
}

bool EndpointConfirmation::may_serve(const std::string& id, std::optional<Time> started_at) const {
  return contains(allowed_, id, started_at);
}

}  // namespace rookproxy::policy
