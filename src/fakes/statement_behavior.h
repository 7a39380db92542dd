// Determines from words in a statement how a fake engine responds to it.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace rookproxy::test {

// The behavior that a statement's words select: `full` rejects the statement before it runs, `occupied`
// rejects its preparation, `bad` is a
// syntax error, `sleep_N` runs for N ms, `cut` closes the connection after the run, `fails_N` responds with
// error N after the run, `rows_N` returns N rows and `wide_N` returns one row of N bytes. Without the last
// three the response is an OK.
struct StatementBehavior {
  bool is_rejected = false;
  bool preparation_is_rejected = false;
  bool is_malformed = false;
  bool closes_connection = false;
  std::optional<int> error_after_run;
  std::chrono::milliseconds run_time{0};
  std::optional<int> row_count;
  std::optional<int> row_size;

  [[nodiscard]] static StatementBehavior parse(const std::string& statement);
};

// Returns the decimal number after the first occurrence of `word`, or nothing if the text does not contain
// it.
[[nodiscard]] std::optional<int> find_number_after(const std::string& text, const std::string& word);

}  // namespace rookproxy::test
