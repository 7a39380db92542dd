#include "frontend/prepared_statements.h"

#include <string_view>
#include <utility>

namespace rookproxy {
namespace {

// What a statement and a parameter take beside their bytes.
constexpr std::size_t kStatementOverheadBytes = 512;
constexpr std::size_t kParameterOverheadBytes = 128;
// CURSOR_TYPE_READ_ONLY, CURSOR_TYPE_FOR_UPDATE and CURSOR_TYPE_SCROLLABLE.
constexpr std::uint64_t kCursorFlags = 7;

}  // namespace

bool PreparedStatement::try_set_text(const std::string& new_text) {
  if (!memory.try_add(new_text.size() + kStatementOverheadBytes)) return false;
  text = new_text;
  return true;
}

bool PreparedStatement::try_hold_analysis() {
  if (!analysis) return true;
  std::size_t bytes = 0;
  for (const std::string& named : analysis->schemas) bytes += sizeof(std::string) + named.size();
  return memory.try_add(bytes);
}

void PreparedStatement::append_long_data(std::uint16_t parameter, std::string_view data) {
  if (!long_data_state.on_data(data.size())) return drop_long_data();
  const std::size_t overhead = long_data.contains(parameter) ? 0 : kParameterOverheadBytes;
  if (!memory.try_add(data.size() + overhead)) {
    long_data_state.on_refused();
    return drop_long_data();
  }
  held_long_data_bytes += data.size() + overhead;
  long_data[parameter] += data;
}

// The statement can't be executed with a part of its long data.
void PreparedStatement::drop_long_data() {
  long_data.clear();
  memory.remove(std::exchange(held_long_data_bytes, 0));
}

void PreparedStatement::reset_long_data() {
  long_data_state.on_reset();
  drop_long_data();
}

policy::LongDataError PreparedStatement::end_long_data() {
  const policy::LongDataError error = long_data_state.on_execution();
  drop_long_data();
  return error;
}

PreparedStatement* PreparedStatements::find(std::uint32_t id) {
  const auto found = statements_.find(id);
  return found == statements_.end() ? nullptr : &found->second;
}

std::uint32_t PreparedStatements::add(PreparedStatement statement) {
  const std::uint32_t id = next_id_++;
  statements_[id] = std::move(statement);
  return id;
}

void PreparedStatements::append_long_data(mysql::PayloadReader& reader) {
  PreparedStatement* statement = find(static_cast<std::uint32_t>(reader.integer(4)));
  const auto parameter = static_cast<std::uint16_t>(reader.integer(2));
  // The command has no response; the execution reports the unknown statement.
  if (!statement) return;
  statement->append_long_data(parameter, reader.take_remaining());
}

// Passes the parameters on unchanged, but inserts the types that an earlier execution bound, because this
// execution may run on an engine that did not receive the earlier one.
PreparedExecution PreparedStatements::make_execution(PreparedStatement& statement,
                                                     mysql::PayloadReader& reader) {
  std::map<std::uint16_t, std::string> long_data = std::exchange(statement.long_data, {});
  switch (statement.end_long_data()) {
    case policy::LongDataError::kNone:
      break;
    case policy::LongDataError::kTooLarge:
      return {ExecutionError::kLongDataTooLarge, nullptr};
    case policy::LongDataError::kRefused:
      return {ExecutionError::kLongDataRefused, nullptr};
  }
  const std::uint64_t flags = reader.integer(1);
  const std::uint64_t iterations = reader.integer(4);
  if ((flags & kCursorFlags) != 0) return {ExecutionError::kCursorRequested, nullptr};
  std::string parameters;
  mysql::append_integer(parameters, flags, 1);
  mysql::append_integer(parameters, iterations, 4);
  if (statement.parameter_count > 0) {
    // The bitmap of NULL parameters.
    parameters += reader.take((statement.parameter_count + 7) / 8);
    const bool binds_types = reader.integer(1) != 0;
    if (binds_types) {
      statement.parameter_types = reader.take(2 * statement.parameter_count);
    } else if (statement.parameter_types.empty()) {
      return {ExecutionError::kTypesNotBound, nullptr};
    }
    parameters += '\1';
    parameters += statement.parameter_types;
    parameters += reader.take_remaining();
  }
  auto query = std::make_shared<Query>();
  query->parameters = std::move(parameters);
  for (auto& [parameter, data] : long_data) query->long_data.emplace_back(parameter, std::move(data));
  return {ExecutionError::kNone, std::move(query)};
}

}  // namespace rookproxy
