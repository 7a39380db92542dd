// Connections to engines that speak MySQL's protocol.
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

// How the dispatcher logs in at engines.
struct MysqlAccount {
  std::string user;
  std::string password;
  std::string schema;  // for requests that name none; empty: none
};

// How much of engines' results is buffered, in bytes.
struct MysqlResultLimits {
  std::size_t max_result_bytes = 0;        // of one result
  std::size_t max_total_result_bytes = 0;  // of all that are coming in
};

// Makes MysqlConnections and holds what they share.
class MysqlPool final : public ConnectionPool {
 public:
  MysqlPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& callbacks, Metrics& metrics,
            const PoolLimits& limits, MysqlAccount account, const MysqlResultLimits& result_limits);

  [[nodiscard]] const MysqlAccount& account() const { return account_; }
  [[nodiscard]] const MysqlResultLimits& result_limits() const { return result_limits_; }
  // The bytes of all results that are coming in, which connections count.
  [[nodiscard]] std::size_t& buffered_result_bytes() { return buffered_result_bytes_; }
  // Opens a connection that stops what this connection of the engine's runs, and is then closed; does nothing
  // if none can be opened.
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
