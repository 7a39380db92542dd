// The analysis of a statement that authorization needs; src/sql produces it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rookproxy::policy {

// Whether a statement only reads. A statement whose effect is unknown counts as a write.
enum class StatementEffect { kReads, kWrites };

// Stands for the default schema of the session that runs the statement, to which unqualified tables belong.
inline constexpr std::string_view kSessionSchema;

// The result of analyzing a statement. It does not depend on the session.
struct StatementAnalysis {
  StatementEffect effect = StatementEffect::kWrites;
  // False if not all tables could be determined; `unresolved_reason` then holds the reason.
  bool tables_resolved = false;
  std::string unresolved_reason;
  // The schemas of the tables that the statement uses, without duplicates; kSessionSchema may be among them.
  std::vector<std::string> schemas;
};

}  // namespace rookproxy::policy
