// An average in which every new sample takes a share of the weight and all earlier ones lose it.
#pragma once

namespace rookproxy::routing {

// Holds one exponentially weighted average. The owner chooses the weight of each sample; no decision is made
// here.
class ExponentialAverage {
 public:
  constexpr ExponentialAverage() = default;
  explicit constexpr ExponentialAverage(double initial) : value_(initial) {}

  // Moves the average toward `sample` by the share `weight` (0 to 1) of the difference.
  constexpr void add(double sample, double weight) { value_ += weight * (sample - value_); }
  // Multiplies the average by `factor`.
  constexpr void scale(double factor) { value_ *= factor; }
  // The current average, in the unit of the samples.
  [[nodiscard]] constexpr double value() const { return value_; }

 private:
  double value_ = 0;
};

}  // namespace rookproxy::routing
