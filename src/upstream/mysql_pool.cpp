#include "upstream/mysql_pool.h"

#include <utility>

#include "net/event_loop.h"
#include "net/slot_map.h"
#include "upstream/mysql_connection.h"

namespace rookproxy {

MysqlPool::MysqlPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& callbacks, Metrics& metrics,
                     const PoolLimits& limits, MysqlAccount account, std::size_t max_result_bytes,
                     std::shared_ptr<policy::MemoryLedger> memory)
    : ConnectionPool(loop, log, callbacks, metrics, limits),
      account_(std::move(account)),
      max_result_bytes_(max_result_bytes),
      memory_(std::move(memory)) {}

std::unique_ptr<EngineConnection> MysqlPool::create_connection(SlotKey key, EngineId engine) {
  return std::make_unique<MysqlConnection>(*this, key, engine);
}

void MysqlPool::kill_query(EngineId engine, const MysqlSessionId& session) {
  EngineConnection* connection = open_connection(engine).connection;
  if (connection) static_cast<MysqlConnection*>(connection)->set_kill_target(session);
}

}  // namespace rookproxy
