// An exponentially weighted moving average.
#pragma once

namespace rookproxy::routing {

// Holds one exponentially weighted moving average. The caller chooses the weight of each sample.
class ExponentialAverage {
 public:
  constexpr ExponentialAverage() = default;
  explicit constexpr ExponentialAverage(double initial) : value_(initial) {}

  // Moves the average toward `sample` by the fraction `weight` (0 to 1) of the difference.
  constexpr void add(double sample, double weight) { value_ += weight * (sample - value_); }
  // Multiplies the average by `factor`.
  constexpr void scale(double factor) { value_ *= factor; }
  // Returns the current average, in the unit of the samples.
  [[nodiscard]] constexpr double value() const { return value_; }

 private:
  double value_ = 0;
};

}  // namespace rookproxy::routing
