#include "latency_samples.h"

#include <algorithm>
#include <cstddef>
#include <iostream>

namespace rookproxy::bench {

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(q * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, index)];
}

void print_rounds(const std::string& name, const std::vector<LoadResult>& rounds) {
  std::vector<double> p50;
  std::vector<double> p99;
  p50.reserve(rounds.size());
  p99.reserve(rounds.size());
  std::uint64_t served = 0;
  std::uint64_t not_served = 0;
  for (const auto& round : rounds) {
    p50.push_back(quantile(round.latencies_us, 0.5));
    p99.push_back(quantile(round.latencies_us, 0.99));
    served += round.served;
    not_served += round.not_served;
  }
  std::cout << name << ": p50 " << quantile(p50, 0.5) << " us, p99 " << quantile(p99, 0.5)
            << " us (p99 by round " << quantile(p99, 0) << " to " << quantile(p99, 0.999) << "), served "
            << served << ", not served " << not_served << "\n";
}

double median_ratio(const std::vector<LoadResult>& numerators, const std::vector<LoadResult>& denominators,
                    double q) {
  std::vector<double> ratios;
  ratios.reserve(numerators.size());
  for (std::size_t i = 0; i < numerators.size(); ++i) {
    ratios.push_back(quantile(numerators[i].latencies_us, q) / quantile(denominators[i].latencies_us, q));
  }
  return quantile(ratios, 0.5);
}

}  // namespace rookproxy::bench
