#include "routing/quota.h"

#include <algorithm>

namespace rookproxy::routing {
constexpr double kSavedSeconds = 5;  // of its quota that a tenant may save up
constexpr double kTrafficTimeConstant =
    10'000'000;                // us, of requests by which our part of the traffic is told
constexpr double kUneven = 2;  // times the even part: less may be an overload or chance

static double bucket_capacity(double requests_per_second) {
  return kSavedSeconds * std::max(1.0, requests_per_second);
}

void Quota::reset() {
  tenants_.clear();
  quota_share_ = 1 / static_cast<double>(state_.settings.instance_count);
}

Quota::Tenant& Quota::tenant(std::uint32_t index) {
  const double rate = state_.settings.tenants[index].quota_per_second / state_.settings.instance_count;
  const TokenBucket tokens(bucket_capacity(rate), state_.now);
  const DecayingCounter requests(rate * kTrafficTimeConstant / 1e6, state_.now);
  return tenants_.try_emplace(index, Tenant{tokens, requests}).first->second;
}

bool Quota::admit(const std::optional<std::uint32_t>& index) {
  const auto& tenants = state_.settings.tenants;
  if (!index || *index >= tenants.size() || tenants[*index].quota_per_second <= 0) return true;
  const double rate = tenants[*index].quota_per_second * quota_share_;
  Tenant& known = tenant(*index);
  known.requests.add(1, state_.now, kTrafficTimeConstant);
  return known.tokens.try_take(rate, bucket_capacity(rate), state_.now);
}

double Quota::update_traffic_share() {
  double all_rates = 0;
  double all_quotas = 0;
  double least_share = 1;
  for (std::uint32_t i = 0; i < state_.settings.tenants.size(); ++i) {
    const double quota = state_.settings.tenants[i].quota_per_second;
    if (quota <= 0) continue;
    const double rate =
        tenant(i).requests.value(state_.now, kTrafficTimeConstant) * 1e6 / kTrafficTimeConstant;
    all_rates += rate;
    all_quotas += quota;
    least_share = std::min(least_share, rate / quota);
  }
  const std::uint32_t instances = state_.settings.instance_count;
  const double even_share = 1.0 / instances;
  quota_share_ = std::max(even_share, all_quotas > 0 ? least_share : 0);
  const bool uneven = all_rates > kUneven * even_share * all_quotas;
  return uneven ? std::max(1.0, all_quotas / all_rates) : instances;
}

}  // namespace rookproxy::routing
