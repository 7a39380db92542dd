// The statements that a connection has prepared at its engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace rookproxy {

// Maps the texts of prepared statements to the ids that the engine gave them, the most recently used first.
// It sends nothing: who removes a statement has to close it at the engine.
class EngineStatementCache {
 public:
  // The id of that statement, which becomes the most recently used one; empty if it is not prepared.
  [[nodiscard]] std::optional<std::uint32_t> use(const std::string& text);
  // Adds a statement as the most recently used one.
  void add(const std::string& text, std::uint32_t id);
  // Drops a statement that the engine no longer knows.
  void remove(const std::string& text);
  // Drops a statement, if it is there, and the least recently used one, if there are too many; returns the
  // ids to be closed.
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
