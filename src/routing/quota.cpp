#include "routing/quota.h"

#include <algorithm>

namespace rookproxy::routing {
// Unused quota that a tenant may accumulate, in seconds of its rate.
constexpr double kMaxSavedQuotaSeconds = 5;
constexpr double kTrafficTimeConstantUs =
    // Time constant of the request counts that give this instance's share of the traffic.
    10'000'000;
// Traffic counts as uneven from this multiple of an even share; a smaller one may be overload or chance.
constexpr double kMinUnevenTrafficRatio = 2;

static double bucket_capacity(double requests_per_second) {
  return kMaxSavedQuotaSeconds * std::max(1.0, requests_per_second);
}

void Quota::reset() {
  tenants_.clear();
  quota_share_ = 1 / static_cast<double>(state_.settings.instance_count);
}

Quota::Tenant& Quota::tenant(std::uint32_t index) {
  const double rate = state_.settings.tenants[index].quota_per_second / state_.settings.instance_count;
  const TokenBucket tokens(bucket_capacity(rate), state_.now);
  const DecayingCounter requests(rate * kTrafficTimeConstantUs / 1e6, state_.now);
  return tenants_.try_emplace(index, Tenant{tokens, requests}).first->second;
}

bool Quota::admit(const std::optional<std::uint32_t>& index) {
  const auto& tenants = state_.settings.tenants;
  if (!index || *index >= tenants.size() || tenants[*index].quota_per_second <= 0) return true;
  const double rate = tenants[*index].quota_per_second * quota_share_;
  Tenant& tenant_state = tenant(*index);
  tenant_state.requests.add(1, state_.now, kTrafficTimeConstantUs);
  return tenant_state.tokens.try_take(rate, bucket_capacity(rate), state_.now);
}

double Quota::update_traffic_share() {
  double total_rate = 0;
  double total_quota = 0;
  double min_share = 1;
  for (std::uint32_t i = 0; i < state_.settings.tenants.size(); ++i) {
    const double quota = state_.settings.tenants[i].quota_per_second;
    if (quota <= 0) continue;
    const double rate =
        tenant(i).requests.value(state_.now, kTrafficTimeConstantUs) * 1e6 / kTrafficTimeConstantUs;
    total_rate += rate;
    total_quota += quota;
    min_share = std::min(min_share, rate / quota);
  }
  const std::uint32_t instances = state_.settings.instance_count;
  const double even_share = 1.0 / instances;
  quota_share_ = std::max(even_share, total_quota > 0 ? min_share : 0);
  const bool uneven = total_rate > kMinUnevenTrafficRatio * even_share * total_quota;
  return uneven ? std::max(1.0, total_quota / total_rate) : instances;
}

}  // namespace rookproxy::routing
