/// The invariants' violations at all points of a test.
#pragma once

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "support/test_cluster.h"

namespace rookproxy::test {

/// What was wrong at which points: one line for each violation, with the first points and how many there are.
class InvariantReport {
 public:
  /// Brings the cluster of a point to its end and checks it.
  void add(TestCluster& cluster, const std::string& point);

  [[nodiscard]] int points() const { return points_; }

  /// Empty if nothing was wrong.
  [[nodiscard]] std::string text() const;

 private:
  int points_ = 0;
  std::map<std::string, std::vector<std::string>> points_by_violation_;
};

/// The name of a point at which a fault was injected: its parts with a space after each.
template <class... Parts>
std::string point_name(const Parts&... parts) {
  std::ostringstream text;
  ((text << parts << ' '), ...);
  return text.str();
}

}  // namespace rookproxy::test
