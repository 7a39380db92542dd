#include "policy/descriptor_budget.h"

#include <algorithm>

namespace rookproxy::policy {

DescriptorBudget descriptor_budget(std::size_t limit) {
  DescriptorBudget budget{};
  budget.reserved = std::clamp<std::size_t>(limit / 4, 12, 20);
  budget.admin = std::clamp<std::size_t>(limit / 16, 2, 32);
  const std::size_t taken = budget.reserved + budget.admin;
  const std::size_t left = limit > taken ? limit - taken : 0;
  // Clients and engines get at most two fifths of the limit each.
  const std::size_t max_share = std::max<std::size_t>(1, limit * 2 / 5);
  budget.clients = std::clamp<std::size_t>(left / 2, 1, max_share);
  budget.engines = std::clamp<std::size_t>(left - std::min(left, budget.clients), 1, max_share);
  return budget;
}

}  // namespace rookproxy::policy
