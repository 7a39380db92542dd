// The prepared statements of one connection to an engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace rookproxy {

// An LRU cache that maps the text of a prepared statement to the id that the engine assigned. It sends
// nothing: the caller must close removed statements at the engine.
class EngineStatementCache {
 public:
  // Returns the id of the statement and marks it as most recently used; empty if it is not prepared.
  [[nodiscard]] std::optional<std::uint32_t> use(const std::string& text);
  // Adds a statement as the most recently used one.
  void add(const std::string& text, std::uint32_t id);
  // Removes a statement that the engine no longer knows.
  void remove(const std::string& text);
  // Removes the statement if it is cached, and the least recently used one if the cache exceeds its limit.
  // Returns the ids that must be closed at the engine.
  [[nodiscard]] std::vector<std::uint32_t> evict(const std::string& text);

 private:
  static constexpr std::size_t kMaxPreparedStatements = 64;

  // A statement and the id that the engine gave it.
  struct Statement {
    std::string text;
    std::uint32_t id;
  };

  std::list<Statement> statements_;
};

}  // namespace rookproxy
