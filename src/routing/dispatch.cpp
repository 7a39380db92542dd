#include <algorithm>
#include <limits>
#include <utility>

#include "routing/router_impl.h"

namespace rookproxy::routing {

void Router::Impl::place(Request& request) {
  const auto& best = selection_.best_engines(request);
  request.queued_on = nullptr;
  if (best.empty() || selection_.probe(request, best)) return unplaced_.push_back(request.id);
  RequestLifecycle::join_queue(request, *best.front().engine);
}

void Router::Impl::requeue(Engine& engine) {
  for (Request* const request : std::exchange(engine.queue, {})) place(*request);
}

void Router::Impl::dispatch_queued() {
  for (const RequestId id : std::exchange(unplaced_, {})) {
    Request* const request = requests_.find(id);
    if (!request || request->completed || request->queued_on) continue;
    selection_.is_probing(*request) ? unplaced_.push_back(id) : place(*request);
  }
  // Requests in an engine's own queue come first; the rest can be stolen.
  while (dispatch_best()) continue;
  while (steal_work()) continue;
}

bool Router::Impl::dispatch_best() {
  Request* best = nullptr;
  double best_rank = 0;
  for (auto& [id, engine] : state_.engines) {
    if (engine.queue.empty() || !limit_.engine_has_capacity(engine, kHighestPriority)) continue;
    for (Request* const request : engine.queue) {
      const double rank = admission_.rank(*request);
      if ((best && rank <= best_rank) || !admission_.may_start(engine, *request)) continue;
      best = request;
      best_rank = rank;
    }
  }
  if (best) send(*best, *best->queued_on);
  return best != nullptr;
}

bool Router::Impl::steal_work() {
  Engine* longest = nullptr;
  std::vector<Engine*> idle;
  for (auto& [id, engine] : state_.engines) {
    const std::size_t length = engine.queue.size();
    if (length > 0 && (!longest || length > longest->queue.size())) longest = &engine;
    const bool takes_more = length == 0 && engine.is_serving();
    if (takes_more && limit_.engine_has_capacity(engine, kHighestPriority)) idle.push_back(&engine);
  }
  if (!longest || idle.empty()) return false;
  auto queue = longest->queue;
  std::sort(queue.begin(), queue.end(), [](const Request* a, const Request* b) { return a->id < b->id; });
  for (Request* const request : queue) {
    ScoredEngine best{std::numeric_limits<double>::max(), nullptr};
    for (Engine* const engine : idle) {
      if (!admission_.may_start(*engine, *request)) continue;
      const double score = selection_.score(*engine, *request);
      if (score < best.score) best = {score, engine};
    }
    if (!best.engine) continue;
    send(*request, *best.engine);
    return true;
  }
  return false;
}

void Router::Impl::send(Request& request, Engine& engine) {
  const bool is_retry = !request.attempts.empty();
  lifecycle_.send(request, engine, admission_.priority(request));
  if (is_retry) retries_.record_retry();
  if (!state_.settings_of(request).is_load) affinity_.record_send(engine, request.group);
}

void Router::Impl::shed_if_late(Request& request) {
  if (admission_.should_shed(request)) finish(request, FinalResponse::kReject);
}

void Router::Impl::finish(Request& request, FinalResponse response) {
  if (request.completed) return;
  const bool may_reject = response == FinalResponse::kReject && retries_.safe_to_retry(request);
  lifecycle_.respond(request, may_reject ? FinalResponse::kReject : FinalResponse::kFail);
  close(request);
}

void Router::Impl::close(Request& request) {
  const bool is_idempotent = state_.settings_of(request).idempotency != Idempotency::kNonIdempotent;
  lifecycle_.complete(request, is_idempotent);
}

void Router::Impl::cancel_for_retry(Request& request, std::size_t attempt) {
  if (state_.settings_of(request).idempotency != Idempotency::kIdempotent) return;
  const bool may_replace = retries_.attempt_allowed(request, 0) && retries_.has_time_left(request);
  if (may_replace) lifecycle_.cancel(request, attempt);
}

}  // namespace rookproxy::routing
