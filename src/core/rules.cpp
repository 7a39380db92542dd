#include "core/rules.h"

#include <algorithm>

namespace rookproxy {
namespace {

using lemonshift::ClassSettings;
using lemonshift::Effect;

// Safe, keyed and unsafe stand in the order of what they forbid; of two keyed ones the narrower binds.
void tighten(ClassSettings& cls, const ClassSettings& former) {
  if (former.effect == Effect::kKeyed && cls.effect == Effect::kKeyed) {
    // From all engines over a zone to a cell; where they differ a zone and a cell hold it together.
    if (former.repeat_scope && (!cls.repeat_scope || *former.repeat_scope > *cls.repeat_scope)) {
      cls.repeat_scope = former.repeat_scope;
    }
    if (former.repeat_window && (!cls.repeat_window || *former.repeat_window < *cls.repeat_window)) {
      cls.repeat_window = former.repeat_window;
    }
  } else if (former.effect > cls.effect) {
    cls.effect = former.effect;
    cls.repeat_scope = former.repeat_scope;
    cls.repeat_window = former.repeat_window;
  }
}

}  // namespace

lemonshift::Settings stricter(const lemonshift::Settings& former, const lemonshift::Settings& fresh) {
  lemonshift::Settings both = fresh;
  for (const auto& old : former.classes) {
    const auto same = std::find_if(both.classes.begin(), both.classes.end(),
                                   [&](const ClassSettings& cls) { return cls.name == old.name; });
    if (same == both.classes.end()) {
      both.classes.push_back(old);
    } else {
      tighten(*same, old);
    }
  }
  // A tenant that is dropped keeps its quota as long as its clients still name it.
  for (const auto& old : former.tenants) {
    const bool stays = std::any_of(both.tenants.begin(), both.tenants.end(),
                                   [&](const auto& tenant) { return tenant.name == old.name; });
    if (!stays) both.tenants.push_back(old);
  }
  both.max_attempts = std::min(former.max_attempts, fresh.max_attempts);
  both.drain_grace = std::min(former.drain_grace, fresh.drain_grace);
  both.second_copies = former.second_copies && fresh.second_copies;
  return both;
}

}  // namespace rookproxy
