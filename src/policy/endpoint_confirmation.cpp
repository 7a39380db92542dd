#include "policy/endpoint_confirmation.h"

#include <chrono>
#include <utility>

namespace rookproxy::policy {
namespace {

// The platform treats an announcement as received at the latest 7 s after it was made.
constexpr Duration kMaxPropagationDelay = std::chrono::seconds(7);
// How long draining and removed engines are remembered. No response that is still in transit lists them after
// that time.
constexpr Duration kClosedEngineRetention = std::chrono::seconds(60);

template <class StartTimes>
bool contains(const StartTimes& engines, const std::string& id, std::optional<Time> started_at) {
  const auto found = engines.find(id);
  return found != engines.end() && found->second == started_at;
}

}  // namespace

EndpointConfirmation::EndpointConfirmation(const EngineListing& initial, Time now)
    : allowed_(serving_engines(initial)), is_first_list_(initial.empty()) {
  close_draining(initial, now);
}

EndpointConfirmation::StartTimes EndpointConfirmation::serving_engines(const EngineListing& list) {
  StartTimes engines;
  for (const ListedEngine& engine : list) {
    if (engine.serving) engines.emplace(engine.id, engine.started_at);
  }
  return engines;
}

void EndpointConfirmation::close(const std::string& id, std::optional<Time> started_at, Time now) {
  closed_[id] = {started_at, now};
}

bool EndpointConfirmation::is_confirmed(const std::string& id, const Candidate& candidate) const {
  if (blocked_until_.contains(id)) return false;
  const auto closed = closed_.find(id);
  const bool was_closed = closed != closed_.end() && closed->second.started_at == candidate.started_at;
  return candidate.responses >= (was_closed ? kResponsesForClosedEngine : kResponsesForNewEngine);
}

void EndpointConfirmation::on_newest_list(const EngineListing& list, Time now) {
  contradictions_ = 0;
  std::erase_if(blocked_until_, [now](const auto& engine) { return engine.second <= now; });
  std::erase_if(closed_,
                [now](const auto& engine) { return now - engine.second.closed_at > kClosedEngineRetention; });
  const auto previous_candidates = std::exchange(candidates_, {});
  const StartTimes previously_allowed = std::exchange(allowed_, {});
  const bool accept_all = std::exchange(is_first_list_, false);
  for (const auto& [id, started_at] : serving_engines(list)) {
    Candidate candidate{started_at, 1};
    const auto previous = previous_candidates.find(id);
    if (previous != previous_candidates.end() && previous->second.started_at == started_at) {
      candidate.responses += previous->second.responses;
    }
    if (accept_all || contains(previously_allowed, id, started_at) || is_confirmed(id, candidate)) {
      allowed_.emplace(id, started_at);
    } else {
      candidates_.emplace(id, candidate);
    }
  }
  blocked_by_newest_.clear();
  for (const auto& [id, started_at] : previously_allowed) {
    if (contains(allowed_, id, started_at)) continue;
    blocked_by_newest_.emplace(id, started_at);
    close(id, started_at, now);
  }
  close_draining(list, now);
}

void EndpointConfirmation::on_newest_discarded(Time now) {
  for (const auto& [id, started_at] : std::exchange(blocked_by_newest_, {})) {
    blocked_until_[id] = now + kMaxPropagationDelay;
  }
}

void EndpointConfirmation::on_contradicting_list(const EngineListing& list, Time now) {
  candidates_.clear();  // Only consecutive responses confirm an engine.
  close_draining(list, now);
  if (++contradictions_ < kContradictionsToApply) return;
  const StartTimes serving = serving_engines(list);
  // A server that has not loaded a list yet sends an empty one, which must not close all engines.
  if (serving.empty()) return;
  std::erase_if(allowed_, [&](const auto& engine) {
    if (contains(serving, engine.first, engine.second)) return false;
    close(engine.first, engine.second, now);
    return true;
  });
}

void EndpointConfirmation::close_draining(const EngineListing& list, Time now) {
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
