// Latencies of a measurement, and what is printed of them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rookproxy::bench {

// What the requests of one run of load came to.
struct LoadResult {
  std::vector<double> latencies_us;
  std::uint64_t served = 0;
  std::uint64_t not_served = 0;
};

// The quantile `q` from 0 to 1 of the values; 0 if there are none.
[[nodiscard]] double quantile(std::vector<double> values, double q);

// Prints the medians over the rounds of their 50th and 99th percentiles.
void print_rounds(const std::string& name, const std::vector<LoadResult>& rounds);

// The median over the rounds of the ratio of two runs' quantiles; both have as many rounds.
[[nodiscard]] double median_ratio(const std::vector<LoadResult>& numerators,
                                  const std::vector<LoadResult>& denominators, double q);

}  // namespace rookproxy::bench
