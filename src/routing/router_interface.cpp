// Construction, changes of settings, and the public interface, which delegates to Router::Impl.
#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/router_impl.h"
#include "routing/settings_validation.h"

namespace rookproxy::routing {

Router::Impl::Impl(Settings settings) {
  state_.settings = validated(std::move(settings));
  for (const auto& c : state_.settings.classes) state_.classes.push_back(WorkEstimates::initial_state(c));
  const double work = state_.classes.front().mean_work.value();
  state_.mean_run_time = ExponentialAverage(work / state_.settings.classes.front().threads);
  apply_settings();
}

void Router::Impl::apply_settings() {
  state_.effective_instances = state_.settings.instance_count;
  quota_.reset();
  affinity_.configure();
}

void Router::Impl::update_settings(Settings settings) {
  const auto old = std::exchange(state_.settings, validated(std::move(settings)));
  state_.classes =
      carry_over(old.classes, state_.classes, state_.settings.classes, WorkEstimates::initial_state);
  apply_settings();
}

std::size_t Router::Impl::avoided_engines(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(state_.engines.begin(), state_.engines.end(), [&](const auto& entry) {
        const Engine& engine = entry.second;
        if (engine.entry.state == EngineState::kRemoved) return false;
        return !engine.is_serving() || outliers_.unhealthy(engine) || now < engine.ejected_until;
      }));
}

Router::Router(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->handle(now, events, actions);
}

void Router::update_settings(Settings settings) { impl_->update_settings(std::move(settings)); }

std::size_t Router::avoided_engines(Time now) const { return impl_->avoided_engines(now); }

std::optional<RequestId> Router::request_of_timer(std::uint64_t token) {
  if (token < kFirstRequestToken) return std::nullopt;
  return token - kFirstRequestToken;
}

}  // namespace rookproxy::routing
