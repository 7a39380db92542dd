// The prepared statements of one connection to an engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rookproxy {

// An LRU cache that maps the text of a prepared statement to the id that the engine assigned. It sends
// nothing: the caller must close removed statements at the engine. Texts may be megabytes long, so a text is
// compared with few others: they are ordered, since clients could choose texts whose hashes collide.
class EngineStatementCache {
 public:
  // Returns the id of the statement and marks it as most recently used; empty if it is not prepared.
  [[nodiscard]] std::optional<std::uint32_t> use(const std::string& text);
  // Adds a statement as the most recently used one, in place of an earlier one with the same text. Removes
  // the least recently used one if the cache exceeds its limit. Returns the ids that must be closed at the
  // engine.
  [[nodiscard]] std::vector<std::uint32_t> add(const std::string& text, std::uint32_t id);
  // Removes a statement that the engine no longer knows.
  void remove(const std::string& text);
  // Removes the statement if it is cached. Returns the ids that must be closed at the engine.
  [[nodiscard]] std::vector<std::uint32_t> evict(const std::string& text);

 private:
  static constexpr std::size_t kMaxPreparedStatements = 64;

  struct Statement;
  using Statements = std::map<std::string, Statement>;
  // The statements in the order of their use, the most recent first.
  using UseOrder = std::list<Statements::iterator>;

  // The id that the engine gave a statement, and the statement's place in the order of use.
  struct Statement {
    std::uint32_t id = 0;
    UseOrder::iterator place;
  };

  // Returns the id of the removed statement.
  std::uint32_t erase(Statements::iterator statement);

  Statements statements_;
  UseOrder use_order_;
};

}  // namespace rookproxy
