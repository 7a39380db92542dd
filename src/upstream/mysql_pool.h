// The pool of connections to engines that use the MySQL protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "mysql/protocol.h"
#include "net/event_loop.h"
#include "net/slot_map.h"
#include "policy/memory_ledger.h"
#include "upstream/connection_pool.h"
#include "upstream/mysql_session_id.h"

namespace rookproxy {

// The account that the dispatcher uses to log in to engines.
struct MysqlAccount {
  std::string user;
  std::string password;
  // The schema for requests that name none; may be empty.
  std::string schema;
};

// Creates MySQL connections and holds the state that they share.
class MysqlPool final : public ConnectionPool {
 public:
  MysqlPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& callbacks, Metrics& metrics,
            const PoolLimits& limits, MysqlAccount account, std::size_t max_result_bytes,
            std::shared_ptr<policy::MemoryLedger> memory);

  [[nodiscard]] const MysqlAccount& account() const { return account_; }
  // The limit for one result, in bytes. The limits for all are those of memory().
  [[nodiscard]] std::size_t max_result_bytes() const { return max_result_bytes_; }
  [[nodiscard]] const std::shared_ptr<policy::MemoryLedger>& memory() const { return memory_; }
  // Opens a connection that kills the query running on the given session of the engine and is then closed.
  // Does nothing if no connection can be opened.
  void kill_query(EngineId engine, const MysqlSessionId& session);

 private:
  // Connections leave no more than a part of a packet's header in their stream's input.
  static constexpr std::size_t kInputLimit = 64 * 1024;

  std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) override;
  [[nodiscard]] std::size_t input_limit() const override { return kInputLimit; }

  MysqlAccount account_;
  std::size_t max_result_bytes_;
  std::shared_ptr<policy::MemoryLedger> memory_;
};

}  // namespace rookproxy
