// The prepared statements of one MySQL client connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"
#include "mysql/protocol.h"

namespace rookproxy {

/// One prepared statement, and what the client has sent ahead for its next execution.
struct PreparedStatement {
  std::string text;
  std::size_t parameter_count = 0;
  std::string parameter_types;                     // as last bound, two bytes each; empty: never bound
  std::map<std::uint16_t, std::string> long_data;  // by parameter
  std::size_t long_data_bytes = 0;                 // also of what exceeded the limit and was not kept

  void clear_long_data();
};

/// Why a statement cannot be executed; kNone if it can.
enum class ExecutionError { kNone, kLongDataTooLarge, kCursorRequested, kTypesNotBound };

/// What an execution asks of an engine; `query` is null if there is an error.
struct PreparedExecution {
  ExecutionError error = ExecutionError::kNone;
  std::shared_ptr<Query> query;
};

/// The statements by the ids that their client knows. Reading a payload that is too short throws
/// mysql::MalformedPacketError.
class PreparedStatements {
 public:
  static constexpr std::size_t kMaxStatements = 256;

  [[nodiscard]] bool is_full() const { return statements_.size() >= kMaxStatements; }
  /// Null if there is none of that id.
  [[nodiscard]] PreparedStatement* find(std::uint32_t id);
  /// Adds a statement and returns its id, which is never used again.
  std::uint32_t add(PreparedStatement statement);
  void remove(std::uint32_t id) { statements_.erase(id); }
  void clear() { statements_.clear(); }
  /// Handles the payload of COM_STMT_SEND_LONG_DATA, which has no response.
  void append_long_data(mysql::PayloadReader& reader);
  /// Reads the payload of COM_STMT_EXECUTE behind the id. An execution takes the long data along.
  static PreparedExecution make_execution(PreparedStatement& statement, mysql::PayloadReader& reader);

 private:
  std::map<std::uint32_t, PreparedStatement> statements_;
  std::uint32_t next_id_ = 1;
};

}  // namespace rookproxy
