/// What has to hold for every request, whatever faults were injected.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "support/cluster_history.h"
#include "support/cluster_options.h"

namespace rookproxy::test {

/// What was found wrong; a text stands here as often as it was found.
using Violations = std::multiset<std::string>;

/// Checks a history against the options of its cluster; both must outlive it.
class InvariantChecker {
 public:
  InvariantChecker(const ClusterHistory& history, const ClusterOptions& options)
      : history_(history), options_(options) {}

  /// Adds what is wrong, once all requests have come to their end.
  void check(Violations& violations) const;

 private:
  void check_response_count(const ClusterRequest& request, Violations& violations) const;
  void check_attempt(const ClusterRequest& request, const ObservedAttempt& attempt,
                     Violations& violations) const;
  void check_repeated_attempt(const ClusterRequest& request, const ObservedAttempt& earlier,
                              const ObservedAttempt& later, Violations& violations) const;
  void check_responses(const ClusterRequest& request, const std::vector<const ObservedAttempt*>& attempts,
                       Violations& violations) const;

  const ClusterHistory& history_;
  const ClusterOptions& options_;
};

}  // namespace rookproxy::test
