// A sum whose entries decay exponentially with age.
#pragma once

#include <cmath>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Counts amounts over roughly the last time constant. Decays to zero when nothing is added.
class DecayingCounter {
 public:
  DecayingCounter() = default;
  DecayingCounter(double amount, Time now) : amount_(amount), updated_at_(now) {}

  // Adds `amount` at `now`. `time_constant` is in microseconds.
  void add(double amount, Time now, double time_constant) {
    amount_ = value(now, time_constant) + amount;
    updated_at_ = now;
  }
  // Returns the sum at `now`, with each entry multiplied by exp(-age / time_constant).
  [[nodiscard]] double value(Time now, double time_constant) const {
    return amount_ * std::exp(-static_cast<double>(now - updated_at_) / time_constant);
  }

 private:
  double amount_ = 0;
  Time updated_at_ = 0;
};

}  // namespace rookproxy::routing
