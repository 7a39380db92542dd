#include "upstream/responsiveness_monitor.h"

namespace rookproxy {

void ResponsivenessMonitor::start() {
  if (limits_.unresponsive_timeout == Duration(0)) return;
  const Time now = loop_.now();
  timer_.set(now + limits_.unresponsive_timeout, [this, now] { check(now); });
}

void ResponsivenessMonitor::check(Time started_at) {
  if (last_activity_ < started_at) on_unresponsive_();
  start();
}

}  // namespace rookproxy
