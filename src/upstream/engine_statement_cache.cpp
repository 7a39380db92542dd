#include "upstream/engine_statement_cache.h"

namespace rookproxy {

std::optional<std::uint32_t> EngineStatementCache::use(const StatementKey& key) {
  if (single_use_id_) return single_use_id_;
  const auto found = statements_.find(key);
  if (found == statements_.end()) return std::nullopt;
  use_order_.splice(use_order_.begin(), use_order_, found->second.place);
  return found->second.id;
}

std::vector<std::uint32_t> EngineStatementCache::add(const StatementKey& key, std::uint32_t id) {
  std::vector<std::uint32_t> removed = evict(key);
  if (statements_.size() >= kMaxPreparedStatements) removed.push_back(erase(use_order_.back()));
  while (!holding_.try_add(key.schema.size() + key.text.size())) {
    if (statements_.empty()) {
      single_use_id_ = id;
      return removed;
    }
    removed.push_back(erase(use_order_.back()));
  }
  const auto added =
      statements_.emplace(OwnedKey{std::string(key.schema), std::string(key.text)}, Statement{id, {}}).first;
  added->second.place = use_order_.insert(use_order_.begin(), added);
  return removed;
}

std::vector<std::uint32_t> EngineStatementCache::end_use() {
  if (!single_use_id_) return {};
  return {*std::exchange(single_use_id_, std::nullopt)};
}

void EngineStatementCache::remove(const StatementKey& key) {
  const auto found = statements_.find(key);
  if (found != statements_.end()) erase(found);
}

std::vector<std::uint32_t> EngineStatementCache::evict(const StatementKey& key) {
  std::vector<std::uint32_t> ids;
  const auto found = statements_.find(key);
  if (found != statements_.end()) ids.push_back(erase(found));
  return ids;
}

std::uint32_t EngineStatementCache::erase(Statements::iterator statement) {
  const std::uint32_t id = statement->second.id;
  holding_.remove(statement->first.schema.size() + statement->first.text.size());
  use_order_.erase(statement->second.place);
  statements_.erase(statement);
  return id;
}

}  // namespace rookproxy
