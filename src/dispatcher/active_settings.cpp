#include "dispatcher/active_settings.h"

#include <algorithm>
#include <utility>

namespace rookproxy {
namespace {

// The table of classes being prepared, and which of its entries are in use.
struct ClassTable {
  std::vector<routing::ClassSettings> classes;
  std::vector<bool> in_use;

  // Stores the class in the first free entry and returns its index.
  routing::ClassIndex insert(routing::ClassSettings cls) {
    const auto free = std::find(in_use.begin(), in_use.end(), false);
    const auto index = static_cast<std::size_t>(free - in_use.begin());
    if (free == in_use.end()) {
      in_use.push_back(true);
      classes.push_back(std::move(cls));
    } else {
      *free = true;
      classes[index] = std::move(cls);
    }
    return static_cast<routing::ClassIndex>(index);
  }

  void remove_unused_at_end() {
    while (!in_use.empty() && !in_use.back()) {
      in_use.pop_back();
      classes.pop_back();
    }
  }
};

}  // namespace

ActiveSettings::Prepared ActiveSettings::prepare(const routing::Settings& configured,
                                                 std::size_t process_count) const {
  ClassTable table;
  table.classes = active_.classes;
  for (const std::size_t requests : open_requests_) table.in_use.push_back(requests > 0);
  ClassIndexByName index_by_name;
  std::vector<routing::ClassSettings> changed;
  for (routing::ClassSettings cls : configured.classes) {
    cls.max_attempts = configured.max_attempts;
    if (const auto index = find_unchanged(cls)) {
      index_by_name[cls.name] = *index;
      table.in_use[*index] = true;
    } else {
      changed.push_back(std::move(cls));
    }
  }
  // Inserted last, when all entries of unchanged classes are marked as in use.
  for (auto& cls : changed) {
    const std::string name = cls.name;
    index_by_name[name] = table.insert(std::move(cls));
  }
  table.remove_unused_at_end();
  Prepared prepared{configured, configured, std::move(index_by_name)};
  prepared.active.classes = std::move(table.classes);
  // The limit applies to the sum of what all processes send.
  if (auto& slow_start = prepared.active.slow_start) {
    slow_start->overload_factor /= static_cast<double>(process_count);
  }
  return prepared;
}

void ActiveSettings::activate(Prepared prepared) {
  configured_ = std::move(prepared.configured);
  active_ = std::move(prepared.active);
  class_index_by_name_ = std::move(prepared.class_index_by_name);
  open_requests_.resize(active_.classes.size());
  tenant_index_by_name_.clear();
  for (std::uint32_t i = 0; i < active_.tenants.size(); ++i) {
    const std::string& name = active_.tenants[i].name;
    if (!name.empty()) tenant_index_by_name_.try_emplace(name, i);
  }
}

std::optional<routing::ClassIndex> ActiveSettings::find_unchanged(const routing::ClassSettings& cls) const {
  const auto index = find_class(cls.name);
  if (!index || active_.classes[*index] != cls) return std::nullopt;
  return index;
}

std::optional<routing::ClassIndex> ActiveSettings::find_class(std::string_view name) const {
  const auto found = class_index_by_name_.find(name);
  if (found == class_index_by_name_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::uint32_t> ActiveSettings::find_tenant(std::string_view name) const {
  const auto found = tenant_index_by_name_.find(name);
  if (found == tenant_index_by_name_.end()) return std::nullopt;
  return found->second;
}

}  // namespace rookproxy
