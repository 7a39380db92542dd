// The prepared statements of one connection to an engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "policy/memory_ledger.h"

namespace rookproxy {

// What identifies a prepared statement: its text, and the schema in which it was prepared, since the engine
// resolves unqualified names once, by the schema of that moment.
struct StatementKey {
  std::string_view schema;
  std::string_view text;
};

// An LRU cache that maps a prepared statement to the id that the engine assigned. It sends nothing: the
// caller must close removed statements at the engine. Texts may be megabytes long, so a text is compared with
// few others: they are ordered, since clients could choose texts whose hashes collide.
class EngineStatementCache {
 public:
  explicit EngineStatementCache(std::shared_ptr<policy::MemoryLedger> ledger)
      : holding_(std::move(ledger), policy::MemoryUse::kEngineStatements) {}

  // Returns the id of the statement and marks it as most recently used, or that of the statement in single
  // use. Empty if it is not prepared.
  [[nodiscard]] std::optional<std::uint32_t> use(const StatementKey& key);
  // Adds a statement as the most recently used one, in place of an earlier one with the same key. Removes
  // the least recently used ones if the cache exceeds its limit or memory is short. A statement whose text
  // can't be kept even so is in single use until end_use(). Returns the ids that must be closed at the
  // engine.
  [[nodiscard]] std::vector<std::uint32_t> add(const StatementKey& key, std::uint32_t id);
  // Ends the single use of a statement, if there is one. Returns the ids that must be closed at the engine.
  [[nodiscard]] std::vector<std::uint32_t> end_use();
  // Removes a statement that the engine no longer knows.
  void remove(const StatementKey& key);
  // Removes the statement if it is cached. Returns the ids that must be closed at the engine.
  [[nodiscard]] std::vector<std::uint32_t> evict(const StatementKey& key);

 private:
  static constexpr std::size_t kMaxPreparedStatements = 64;

  struct Statement;
  struct OwnedKey {
    std::string schema;
    std::string text;
    // NOLINTNEXTLINE(google-explicit-constructor): the map compares owned keys with views.
    operator StatementKey() const { return {schema, text}; }
  };
  struct KeyOrder {
    using is_transparent = void;
    bool operator()(const StatementKey& a, const StatementKey& b) const {
      return std::tie(a.text, a.schema) < std::tie(b.text, b.schema);
    }
  };
  using Statements = std::map<OwnedKey, Statement, KeyOrder>;
  // The statements in the order of their use, the most recent first.
  using UseOrder = std::list<Statements::iterator>;

  // The id that the engine gave a statement, and the statement's place in the order of use.
  struct Statement {
    std::uint32_t id = 0;
    UseOrder::iterator place;
  };

  // Returns the id of the removed statement.
  std::uint32_t erase(Statements::iterator statement);

  // The texts of the statements.
  policy::MemoryHolding holding_;
  std::optional<std::uint32_t> single_use_id_;
  Statements statements_;
  UseOrder use_order_;
};

}  // namespace rookproxy
