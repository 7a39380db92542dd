#include "policy/descriptor_shares.h"

#include <algorithm>

namespace rookproxy::policy {

DescriptorBudget descriptor_budget(std::size_t limit) {
  DescriptorBudget shares{};
  shares.reserved = std::clamp<std::size_t>(limit / 4, 12, 20);
  shares.admin = std::clamp<std::size_t>(limit / 16, 2, 32);
  const std::size_t taken = shares.reserved + shares.admin;
  const std::size_t left = limit > taken ? limit - taken : 0, most = limit * 2 / 5;
  shares.clients = std::clamp<std::size_t>(left / 2, 1, std::max<std::size_t>(1, most));
  shares.engines =
      std::clamp<std::size_t>(left - std::min(left, shares.clients), 1, std::max<std::size_t>(1, most));
  return shares;
}

}  // namespace rookproxy::policy
