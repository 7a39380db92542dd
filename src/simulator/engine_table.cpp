#include "simulator/engine_table.h"

#include "settings/text_values.h"

namespace rookproxy::simulator {

routing::EngineId EngineTable::add(const std::string& address) {
  const auto [entry, is_new] = ids_.try_emplace(address, static_cast<routing::EngineId>(addresses_.size()));
  if (is_new) addresses_.push_back(address);
  return entry->second;
}

routing::EngineId EngineTable::find(std::string_view address) const {
  const auto found = ids_.find(std::string(address));
  if (found == ids_.end()) settings::throw_format_error("unknown engine", address);
  return found->second;
}

void EngineTable::clear() {
  ids_.clear();
  addresses_.clear();
}

}  // namespace rookproxy::simulator
