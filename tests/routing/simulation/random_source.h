#pragma once

#include <cmath>
#include <cstdint>
#include <numbers>
#include <random>

namespace rookproxy::routing::simulation {

// Seeded random numbers that are the same on every platform: the standard library's distributions differ
// between platforms, its engines don't.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Uniform, above 0 and below 1.
  double unit() { return (static_cast<double>(engine_() >> 11U) + 0.5) * 0x1p-53; }

  double exponential(double mean) { return -mean * std::log(unit()); }

  // Log-normal of mean 1.
  double log_normal(double coefficient_of_variation) {
    const double variance = std::log1p(coefficient_of_variation * coefficient_of_variation);
    const double radius = std::sqrt(-2 * variance * std::log(unit()));
    const double angle = 2 * std::numbers::pi * unit();
    return std::exp(radius * std::cos(angle) - variance / 2);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace rookproxy::routing::simulation
