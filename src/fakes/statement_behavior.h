/// How a fake engine behaves for a statement, said by words in the statement's text.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace rookproxy::test {

/// The words of a statement, read. `full` rejects it before it runs, `bad` is an error in the statement,
/// `sleep_N` runs for N ms, `cut` closes the connection once it has run, `rows_N` returns N rows and `wide_N`
/// one row of N bytes; without one of these two the response is an OK.
struct StatementBehavior {
  bool is_rejected = false;
  bool is_malformed = false;
  bool closes_connection = false;
  std::chrono::milliseconds run_time{0};
  std::optional<int> row_count;
  std::optional<int> row_size;

  [[nodiscard]] static StatementBehavior parse(const std::string& statement);
};

/// The decimal number that follows the first occurrence of `word`; nothing if the text does not hold the
/// word.
[[nodiscard]] std::optional<int> find_number_after(const std::string& text, const std::string& word);

}  // namespace rookproxy::test
