#include "app/readiness.h"
#include "net/event_loop.h"

#include <chrono>
#include <utility>

namespace rookproxy {
namespace {

// A starting process waits this long for service discovery before it serves with the configured endpoints.
constexpr Duration kMaxDiscoveryWait = std::chrono::milliseconds(500);
constexpr Duration kCheckInterval = std::chrono::milliseconds(5);

}  // namespace

Readiness::Readiness(EventLoop& loop, std::function<bool()> engines_known, std::function<void()> on_ready)
    : loop_(loop), engines_known_(std::move(engines_known)), on_ready_(std::move(on_ready)) {}

void Readiness::start() {
  loop_.run_at(loop_.now(), [this, wait_until = loop_.now() + kMaxDiscoveryWait] { check(wait_until); });
}

std::string Readiness::not_ready_reason() const {
  if (stopped_) return "draining";
  return ready_ ? "" : "starting";
}

void Readiness::check(Time wait_until) {
  if (stopped_) return;
  if (!engines_known_() && loop_.now() < wait_until) {
    loop_.run_at(loop_.now() + kCheckInterval, [this, wait_until] { check(wait_until); });
    return;
  }
  ready_ = true;
  on_ready_();
}

}  // namespace rookproxy
