// Connections to engines that use the line protocol, and their pool.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/slot_map.h"
#include "policy/memory_ledger.h"
#include "upstream/connection_pool.h"
#include "upstream/engine_connection.h"
#include "upstream/line_protocol.h"

namespace rookproxy {

class LineProtocolPool;

// Carries several attempts at a time, which are identified by the ids of their requests. A response arrives
// whole or in pages, which are fetched individually.
class LineProtocolConnection final : public EngineConnection {
 public:
  LineProtocolConnection(LineProtocolPool& pool, SlotKey key, EngineId engine);

  bool cancel_attempt(AttemptKey attempt) override;
  bool has_attempt_started(AttemptKey attempt) const override;
  void set_priority(AttemptKey attempt, int priority) override;
  void end_unsent_attempts() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_connected() override;
  void on_flushed() override { start_waiting_attempts(); }

 private:
  // An attempt and the received part of its response.
  struct OpenAttempt {
    AttemptRequest request;
    // True once a byte was passed to the kernel: the engine may have received it.
    bool started = false;
    // True once the engine has reported that it runs the attempt, or has sent a part of the result.
    bool running = false;
    // When the next page of a paged response must have arrived.
    Time page_deadline = Time::max();
    std::vector<std::optional<std::string>> pages;
    std::size_t missing_pages = 0;
    // What the pages hold.
    policy::MemoryHolding memory;
    std::optional<LoadReport> report;
  };
  using OpenAttempts = std::map<std::string, OpenAttempt>;

  void start_attempt(const AttemptRequest& request) override;
  void probe() override;
  void on_connection_lost(std::string_view reason) override;

  void start_waiting_attempts();
  void handle_response(const LineResponse& response);
  void handle_probe_response(const LineResponse& response);
  void handle_data(const std::string& id, OpenAttempt& attempt, const LineResponse& response);
  void handle_page(const std::string& id, OpenAttempt& attempt, const LineResponse& response);
  void handle_update(OpenAttempt& attempt, const LineResponse& response);
  [[nodiscard]] std::size_t handle_partial_response(std::size_t bytes);
  [[nodiscard]] static Outcome outcome_of_refusal(const OpenAttempt& attempt, Outcome refused);
  void add_page(const std::string& id, OpenAttempt& attempt, std::size_t number, std::string_view body);
  void end_attempt(const std::string& id, Outcome outcome, std::string body = "");
  void refuse_result(const std::string& id);
  [[nodiscard]] OpenAttempts::iterator find_attempt(AttemptKey key);
  void update_response_deadline();

  LineProtocolPool& line_pool_;
  OpenAttempts attempts_by_id_;
  // The ids of attempts that have not started, in order.
  std::deque<std::string> waiting_ids_;
  std::string probe_id_;
  // When a partly received response must be complete.
  Time partial_response_deadline_ = Time::max();
  // What a partly received response holds in the stream's input.
  policy::MemoryHolding partial_response_;
};

// Creates connections of the line protocol.
class LineProtocolPool final : public ConnectionPool {
 public:
  // `memory` limits what results hold; if it is null, they have no limit.
  LineProtocolPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& callbacks, Metrics& metrics,
                   const PoolLimits& limits, std::shared_ptr<policy::MemoryLedger> memory = nullptr)
      : ConnectionPool(loop, log, callbacks, metrics, limits), memory_(std::move(memory)) {}

  [[nodiscard]] policy::MemoryHolding make_result_holding() const {
    return {memory_, policy::MemoryUse::kEngineResults};
  }

 private:
  static constexpr std::size_t kInputLimit = 256 * 1024;

  std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) override {
    return std::make_unique<LineProtocolConnection>(*this, key, engine);
  }
  [[nodiscard]] std::size_t input_limit() const override { return kInputLimit; }

  std::shared_ptr<policy::MemoryLedger> memory_;
};

}  // namespace rookproxy
