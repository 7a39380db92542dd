#include "upstream/engine_statement_cache.h"

#include <algorithm>
#include <iterator>

namespace rookproxy {

std::optional<std::uint32_t> EngineStatementCache::use(const std::string& text) {
  const auto found = std::find_if(statements_.begin(), statements_.end(),
                                  [&](const Statement& statement) { return statement.text == text; });
  if (found == statements_.end()) return std::nullopt;
  statements_.splice(statements_.begin(), statements_, found);
  return found->id;
}

void EngineStatementCache::add(const std::string& text, std::uint32_t id) {
  statements_.push_front({text, id});
}

void EngineStatementCache::remove(const std::string& text) {
  statements_.remove_if([&](const Statement& statement) { return statement.text == text; });
}

std::vector<std::uint32_t> EngineStatementCache::evict(const std::string& text) {
  std::vector<std::uint32_t> ids;
  for (auto statement = statements_.begin(); statement != statements_.end();) {
    const bool is_oldest = std::next(statement) == statements_.end();
    const bool is_surplus = is_oldest && statements_.size() > kMaxPreparedStatements;
    if (statement->text != text && !is_surplus) {
      ++statement;
      continue;
    }
    ids.push_back(statement->id);
    statement = statements_.erase(statement);
  }
  return ids;
}

}  // namespace rookproxy
