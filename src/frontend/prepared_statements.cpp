#include "frontend/prepared_statements.h"

#include <string_view>
#include <utility>

namespace rookproxy {
namespace {

// The maximum size of the long data for one execution.
constexpr std::size_t kMaxLongDataBytes = 4u << 20;
// CURSOR_TYPE_READ_ONLY, CURSOR_TYPE_FOR_UPDATE and CURSOR_TYPE_SCROLLABLE.
constexpr std::uint64_t kCursorFlags = 7;

}  // namespace

void PreparedStatement::clear_long_data() {
  long_data.clear();
  long_data_bytes = 0;
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
  const std::string_view data = reader.take_remaining();
  // Bytes above the limit are counted but not stored, so that the execution can report the error.
  statement->long_data_bytes += data.size();
  if (statement->long_data_bytes <= kMaxLongDataBytes) statement->long_data[parameter] += data;
}

// Passes the parameters on unchanged, but inserts the types that an earlier execution bound, because this
// execution may run on an engine that did not receive the earlier one.
PreparedExecution PreparedStatements::make_execution(PreparedStatement& statement,
                                                     mysql::PayloadReader& reader) {
  if (statement.long_data_bytes > kMaxLongDataBytes) return {ExecutionError::kLongDataTooLarge, nullptr};
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
  for (auto& [parameter, data] : statement.long_data) {
    query->long_data.emplace_back(parameter, std::move(data));
  }
  statement.clear_long_data();
  return {ExecutionError::kNone, std::move(query)};
}

}  // namespace rookproxy
