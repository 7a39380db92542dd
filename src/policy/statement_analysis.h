// The analysis of a statement that authorization needs; src/sql produces it.
#pragma once

#include <string>
#include <vector>

namespace rookproxy::policy {

// Whether a statement only reads. A statement whose effect is unknown counts as a write.
enum class StatementEffect { kReads, kWrites };

// The result of analyzing a statement.
struct StatementAnalysis {
  StatementEffect effect = StatementEffect::kWrites;
  // False if not all tables could be determined; `unresolved_reason` then holds the reason.
  bool tables_resolved = false;
  std::string unresolved_reason;
  // The schemas of the tables and functions that the statement uses, without duplicates. An empty name stands
  // for a table without a schema in a session without a default schema.
  std::vector<std::string> schemas;
};

}  // namespace rookproxy::policy
