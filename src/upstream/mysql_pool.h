// The pool of connections to engines that use the MySQL protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "mysql/protocol.h"
#include "net/event_loop.h"
#include "net/slot_map.h"
#include "upstream/connection_pool.h"

namespace rookproxy {

// The account that the dispatcher uses to log in to engines.
struct MysqlAccount {
  std::string user;
  std::string password;
  // The schema for requests that name none; may be empty.
  std::string schema;
};

// Limits of buffered results, in bytes.
struct MysqlResultLimits {
  // The limit for one result.
  std::size_t max_result_bytes = 0;
  // The limit for all results that are being received.
  std::size_t max_total_result_bytes = 0;
};

// Creates MySQL connections and holds the state that they share.
class MysqlPool final : public ConnectionPool {
 public:
  MysqlPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& callbacks, Metrics& metrics,
            const PoolLimits& limits, MysqlAccount account, const MysqlResultLimits& result_limits);

  [[nodiscard]] const MysqlAccount& account() const { return account_; }
  [[nodiscard]] const MysqlResultLimits& result_limits() const { return result_limits_; }
  // The total size of all results that are being received, in bytes. The connections update it.
  [[nodiscard]] std::size_t& buffered_result_bytes() { return buffered_result_bytes_; }
  // Opens a connection that kills the query running on the given connection of the engine and is then closed.
  // Does nothing if no connection can be opened.
  void kill_query(EngineId engine, std::uint32_t engine_connection_id);

 private:
  static constexpr std::size_t kInputLimit = mysql::kMaxPayloadSize + 64 * 1024;

  std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) override;
  std::size_t input_limit() const override { return kInputLimit; }

  MysqlAccount account_;
  MysqlResultLimits result_limits_;
  std::size_t buffered_result_bytes_ = 0;
};

}  // namespace rookproxy
