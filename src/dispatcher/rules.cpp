#include "dispatcher/rules.h"

#include <algorithm>

namespace rookproxy {
namespace {

using routing::ClassSettings;
using routing::Idempotency;

// Safe, keyed and unsafe stand in the order of what they forbid; of two keyed ones the narrower binds.
void restrict_retries(ClassSettings& cls, const ClassSettings& former) {
  if (former.idempotency == Idempotency::kKeyed && cls.idempotency == Idempotency::kKeyed) {
    // From all engines over a zone to a cell; where they differ a zone and a cell hold it together.
    if (former.idempotency_scope &&
        (!cls.idempotency_scope || *former.idempotency_scope > *cls.idempotency_scope)) {
      cls.idempotency_scope = former.idempotency_scope;
    }
    if (former.idempotency_window &&
        (!cls.idempotency_window || *former.idempotency_window < *cls.idempotency_window)) {
      cls.idempotency_window = former.idempotency_window;
    }
  } else if (former.idempotency > cls.idempotency) {
    cls.idempotency = former.idempotency;
    cls.idempotency_scope = former.idempotency_scope;
    cls.idempotency_window = former.idempotency_window;
  }
}

}  // namespace

routing::Settings merge_stricter(const routing::Settings& former, const routing::Settings& fresh) {
  routing::Settings both = fresh;
  for (const auto& old : former.classes) {
    const auto same = std::find_if(both.classes.begin(), both.classes.end(),
                                   [&](const ClassSettings& cls) { return cls.name == old.name; });
    if (same == both.classes.end()) {
      both.classes.push_back(old);
    } else {
      restrict_retries(*same, old);
    }
  }
  // A tenant that is dropped keeps its quota as long as its clients still name it.
  for (const auto& old : former.tenants) {
    const bool stays = std::any_of(both.tenants.begin(), both.tenants.end(),
                                   [&](const auto& tenant) { return tenant.name == old.name; });
    if (!stays) both.tenants.push_back(old);
  }
  both.max_attempts = std::min(former.max_attempts, fresh.max_attempts);
  both.drain_grace_period = std::min(former.drain_grace_period, fresh.drain_grace_period);
  both.hedging = former.hedging && fresh.hedging;
  return both;
}

}  // namespace rookproxy
