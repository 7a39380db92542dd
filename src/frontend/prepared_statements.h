// The prepared statements of one MySQL client connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"
#include "mysql/protocol.h"
#include "policy/long_data_state.h"
#include "policy/memory_ledger.h"
#include "policy/statement_analysis.h"
#include "sql/statement_facts.h"

namespace rookproxy {

// A prepared statement and the long data for its next execution.
struct PreparedStatement {
  // The maximum size of the long data for one execution.
  static constexpr std::size_t kMaxLongDataBytes = 4u << 20;

  std::string text;
  // The client's schema at the PREPARE, in which it is executed whatever the client has selected since.
  std::string schema;
  // Read from the text once, so that the time for an execution does not depend on the text's size.
  sql::StatementFacts facts;
  // Null if callers are not authorized.
  std::shared_ptr<const policy::StatementAnalysis> analysis;
  std::size_t parameter_count = 0;
  // The parameter types as last bound, two bytes each. Empty if they were never bound.
  std::string parameter_types;
  // The long data by parameter number.
  std::map<std::uint16_t, std::string> long_data;
  // Decides what is stored of the long data, and for how long.
  policy::LongDataState long_data_state{kMaxLongDataBytes};
  // What the statement and its long data hold.
  policy::MemoryHolding memory;
  // The part of `memory` that is for long data.
  std::size_t held_long_data_bytes = 0;

  // Stores the text, or returns false if its memory must not be taken.
  [[nodiscard]] bool try_set_text(const std::string& new_text);
  // Asks for the memory of the analysis, which depends on the number of schemas.
  [[nodiscard]] bool try_hold_analysis();
  void append_long_data(std::uint16_t parameter, std::string_view data);
  void reset_long_data();
  // An execution that is not carried out leaves no long data either. Returns what it fails with.
  policy::LongDataError end_long_data();
  void drop_long_data();
};

// The reason why a statement can't be executed; kNone if it can.
enum class ExecutionError { kNone, kLongDataTooLarge, kLongDataRefused, kCursorRequested, kTypesNotBound };

// An execution of a prepared statement. `query` is null if there is an error.
struct PreparedExecution {
  ExecutionError error = ExecutionError::kNone;
  std::shared_ptr<Query> query;
};

// Maps the ids that the client knows to its prepared statements. Functions that read a payload throw
// mysql::MalformedPacketError if it is too short.
class PreparedStatements {
 public:
  static constexpr std::size_t kMaxStatements = 256;

  [[nodiscard]] bool is_full() const { return statements_.size() >= kMaxStatements; }
  // Returns null if there is no statement with that id.
  [[nodiscard]] PreparedStatement* find(std::uint32_t id);
  // Adds a statement and returns its id. Ids are not reused.
  std::uint32_t add(PreparedStatement statement);
  void remove(std::uint32_t id) { statements_.erase(id); }
  void clear() { statements_.clear(); }
  // Handles the payload of COM_STMT_SEND_LONG_DATA, which has no response.
  void append_long_data(mysql::PayloadReader& reader);
  // Reads the payload of COM_STMT_EXECUTE after the statement id. Moves the long data to the execution, and
  // leaves none if there is an error.
  static PreparedExecution make_execution(PreparedStatement& statement, mysql::PayloadReader& reader);

 private:
  std::map<std::uint32_t, PreparedStatement> statements_;
  std::uint32_t next_id_ = 1;
};

}  // namespace rookproxy
