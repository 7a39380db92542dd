#include "support/invariant_report.h"

#include <algorithm>
#include <exception>
#include <set>

namespace rookproxy::test {
namespace {

constexpr std::size_t kPointsShown = 8;

}  // namespace

void InvariantReport::add(TestCluster& cluster, const std::string& point) {
  ++points_;
  Violations violations;
  try {
    cluster.finish(violations);
  } catch (const std::exception& error) {
    violations.insert(error.what());
  }
  for (const std::string& violation : std::set<std::string>(violations.begin(), violations.end())) {
    points_by_violation_[violation].push_back(point);
  }
}

std::string InvariantReport::text() const {
  std::ostringstream text;
  for (const auto& [violation, points] : points_by_violation_) {
    text << violation << " (" << points.size() << " of " << points_ << "): ";
    for (std::size_t i = 0; i < std::min(points.size(), kPointsShown); ++i) text << points[i] << " | ";
    text << "\n";
  }
  return text.str();
}

}  // namespace rookproxy::test
