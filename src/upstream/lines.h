// The engine side of the platform: commands and answers in lines of words (PROTOCOL, "Dispatchers to query
// engines").
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "upstream/pool.h"

namespace rookproxy {

// One answer of an engine.
struct LineResponse {
  std::string_view id, kind, fields, body;
};

enum class LineParseStatus { kIncomplete, kComplete, kMalformed };

// Takes one answer off the front of `bytes`; `used` says how many bytes it took. Views point into `bytes`.
LineParseStatus parse_line_response(std::string_view bytes, LineResponse& answer, std::size_t& used);
// The value of one field in 'name=value,name=value'; nothing if it is not there.
std::optional<std::string_view> find_line_field(std::string_view fields, std::string_view name);
// A load report, 'name:value;name:value'. Values that are no numbers are left out.
std::optional<LoadReport> parse_load_report(std::string_view use);

class LineProtocolConnection final : public EngineConnection {
 public:
  using EngineConnection::EngineConnection;
  void start_attempt(const AttemptRequest& order) override;
  bool cancel_attempt(AttemptKey attempt) override;
  bool has_attempt_started(AttemptKey attempt) const override;
  void set_priority(AttemptKey attempt, int rank) override;
  void probe() override;
  void end_never_sent() override;
  void on_connection_lost(std::string_view why) override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_connected() override;
  void on_flushed() override { start_waiting_attempts(); }

 private:
  struct OpenAttempt {
    AttemptRequest request;
    bool started = false;  // a byte of it has been handed to the kernel: the peer may have seen it
    Time page_deadline = Time::max();  // of an answer in pages: when the next must be in
    std::vector<std::optional<std::string>> pages;
    std::size_t missing_pages = 0;
    std::optional<LoadReport> report;
  };
  void handle_response(const LineResponse& answer);
  void add_page(const std::string& id, OpenAttempt& open, std::size_t number, std::string_view body);
  void end_attempt(const std::string& id, Outcome outcome, std::string body = "");
  std::map<std::string, OpenAttempt>::iterator find_attempt(AttemptKey attempt);
  void start_waiting_attempts();
  void update_response_deadline();

  std::map<std::string, OpenAttempt> attempts_by_id_;
  std::deque<std::string> waiting_ids_;  // ids of what has not begun, in order
  std::string probe_id_;
  Time partial_response_deadline_ = Time::max();  // of one of which a part has come
};

class LineProtocolPool final : public ConnectionPool {
 public:
  using ConnectionPool::ConnectionPool;

 private:
  std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) override {
    return std::make_unique<LineProtocolConnection>(*this, key, engine);
  }
  std::size_t input_limit() const override { return 256 * 1024; }
};

}  // namespace rookproxy
