#include "dispatcher/stricter_settings.h"

#include <algorithm>

namespace rookproxy {
namespace {

using routing::ClassSettings;
using routing::Idempotency;

// For two keyed classes the narrower scope and the shorter window apply.
void restrict_keyed_retries(ClassSettings& cls, const ClassSettings& previous) {
  // Scopes are ordered from the widest (all engines) to the narrowest (a cell).
  const auto& scope = previous.idempotency_scope;
  if (scope && (!cls.idempotency_scope || *scope > *cls.idempotency_scope)) cls.idempotency_scope = scope;
  const auto& window = previous.idempotency_window;
  if (window && (!cls.idempotency_window || *window < *cls.idempotency_window)) {
    cls.idempotency_window = window;
  }
}

void restrict_retries(ClassSettings& cls, const ClassSettings& previous) {
  if (previous.idempotency == Idempotency::kKeyed && cls.idempotency == Idempotency::kKeyed) {
    restrict_keyed_retries(cls, previous);
  } else if (previous.idempotency > cls.idempotency) {  // Ordered by strictness.
    cls.idempotency = previous.idempotency;
    cls.idempotency_scope = previous.idempotency_scope;
    cls.idempotency_window = previous.idempotency_window;
  }
}

void merge_classes(std::vector<ClassSettings>& classes, const std::vector<ClassSettings>& previous) {
  for (const auto& previous_class : previous) {
    const auto same = std::find_if(classes.begin(), classes.end(),
                                   [&](const ClassSettings& cls) { return cls.name == previous_class.name; });
    if (same == classes.end()) {
      classes.push_back(previous_class);
    } else {
      restrict_retries(*same, previous_class);
    }
  }
}

// A removed tenant keeps its quota while clients may still send requests for it.
void keep_removed_tenants(std::vector<routing::TenantSettings>& tenants,
                          const std::vector<routing::TenantSettings>& previous) {
  for (const auto& previous_tenant : previous) {
    const bool is_kept = std::any_of(tenants.begin(), tenants.end(),
                                     [&](const auto& tenant) { return tenant.name == previous_tenant.name; });
    if (!is_kept) tenants.push_back(previous_tenant);
  }
}

}  // namespace

routing::Settings merge_stricter(const routing::Settings& previous, const routing::Settings& updated) {
  routing::Settings merged = updated;
  merge_classes(merged.classes, previous.classes);
  keep_removed_tenants(merged.tenants, previous.tenants);
  merged.max_attempts = std::min(previous.max_attempts, updated.max_attempts);
  merged.drain_grace_period = std::min(previous.drain_grace_period, updated.drain_grace_period);
  merged.hedging = previous.hedging && updated.hedging;
  return merged;
}

}  // namespace rookproxy
