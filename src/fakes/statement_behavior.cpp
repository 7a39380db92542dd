#include "fakes/statement_behavior.h"

#include <cstdlib>

namespace rookproxy::test {
namespace {

bool contains(const std::string& text, const char* word) { return text.find(word) != std::string::npos; }

}  // namespace

std::optional<int> find_number_after(const std::string& text, const std::string& word) {
  const auto at = text.find(word);
  if (at == std::string::npos) return std::nullopt;
  return std::atoi(text.c_str() + at + word.size());
}

StatementBehavior StatementBehavior::parse(const std::string& statement) {
  StatementBehavior behavior;
  behavior.is_rejected = contains(statement, "full");
  behavior.preparation_is_rejected = contains(statement, "occupied");
  behavior.is_malformed = contains(statement, "bad");
  behavior.closes_connection = contains(statement, "cut");
  behavior.error_after_run = find_number_after(statement, "fails_");
  behavior.run_time = std::chrono::milliseconds(find_number_after(statement, "sleep_").value_or(0));
  behavior.row_count = find_number_after(statement, "rows_");
  behavior.row_size = find_number_after(statement, "wide_");
  return behavior;
}

}  // namespace rookproxy::test
