#include "decide/descriptor_shares.h"

#include <algorithm>

namespace rookproxy::decide {

DescriptorShares descriptor_shares(std::size_t limit) {
  DescriptorShares shares{};
  shares.own = std::clamp<std::size_t>(limit / 4, 12, 20);
  shares.operators = std::clamp<std::size_t>(limit / 16, 2, 32);
  const std::size_t taken = shares.own + shares.operators;
  const std::size_t left = limit > taken ? limit - taken : 0, most = limit * 2 / 5;
  shares.clients = std::clamp<std::size_t>(left / 2, 1, std::max<std::size_t>(1, most));
  shares.engines =
      std::clamp<std::size_t>(left - std::min(left, shares.clients), 1, std::max<std::size_t>(1, most));
  return shares;
}

}  // namespace rookproxy::decide
