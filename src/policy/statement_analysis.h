// What a statement does, as far as authorization needs to know. src/sql finds it out.
#pragma once

#include <string>
#include <vector>

namespace rookproxy::policy {

// Whether a statement only reads. One whose effect is not known counts as a write.
enum class StatementEffect { kReads, kWrites };

// The result of analyzing a statement.
struct StatementAnalysis {
  StatementEffect effect = StatementEffect::kWrites;
  // False if not all tables could be determined; `unresolved_reason` then says why.
  bool tables_resolved = false;
  std::string unresolved_reason;
  // Each schema whose tables or functions it names, once. An empty name stands for a table without a schema
  // in a session without a default schema.
  std::vector<std::string> schemas;
};

}  // namespace rookproxy::policy
