// A sum whose entries lose their weight exponentially with age.
#pragma once

#include <cmath>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Counts amounts over about one time constant. Without entries for a while it approaches zero.
class DecayingCounter {
 public:
  DecayingCounter() = default;
  DecayingCounter(double amount, Time now) : amount_(amount), updated_at_(now) {}

  // Adds `amount` at the time `now`; `time_constant` in microseconds.
  void add(double amount, Time now, double time_constant) {
    amount_ = value(now, time_constant) + amount;
    updated_at_ = now;
  }
  // The sum at the time `now`, each entry multiplied by exp(-age / time_constant).
  [[nodiscard]] double value(Time now, double time_constant) const {
    return amount_ * std::exp(-static_cast<double>(now - updated_at_) / time_constant);
  }

 private:
  double amount_ = 0;
  Time updated_at_ = 0;
};

}  // namespace rookproxy::routing
