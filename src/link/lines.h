// The engine side of the platform: commands and answers in lines of words (PROTOCOL, "Dispatchers to query
// engines").
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "link/pool.h"

namespace rookproxy {

// One answer of an engine.
struct LineAnswer {
  std::string_view id, word, fields, body;
};

enum class LineParse { kMore, kOne, kBroken };

// Takes one answer off the front of `bytes`; `used` says how many bytes it took. Views point into `bytes`.
LineParse parse_line_answer(std::string_view bytes, LineAnswer& answer, std::size_t& used);
// The value of one field in 'name=value,name=value'; nothing if it is not there.
std::optional<std::string_view> line_field(std::string_view fields, std::string_view name);
// A load report, 'name:value;name:value'. Values that are no numbers are left out.
std::optional<LoadReport> parse_use(std::string_view use);

class LinesConnection final : public LinkConnection {
 public:
  using LinkConnection::LinkConnection;
  void start(const Order& order) override;
  bool withdraw(AttemptKey attempt) override;
  bool has_begun(AttemptKey attempt) const override;
  void set_rank(AttemptKey attempt, int rank) override;
  void probe() override;
  void drop_unsent() override;
  void lost(std::string_view why) override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_connected() override;
  void on_flushed() override { begin_waiting(); }

 private:
  struct Open {
    Order order;
    bool begun = false;      // a byte of it has been handed to the kernel: the peer may have seen it
    Time due = Time::max();  // of an answer in pages: when the next must be in
    std::vector<std::optional<std::string>> pages;
    std::size_t missing = 0;
    std::optional<LoadReport> report;
  };
  void take(const LineAnswer& answer);
  void take_page(const std::string& id, Open& open, std::size_t number, std::string_view body);
  void end(const std::string& id, Outcome outcome, std::string body = "");
  std::map<std::string, Open>::iterator find(AttemptKey attempt);
  void begin_waiting();
  void look_for_what_is_due();

  std::map<std::string, Open> open_by_id_;
  std::deque<std::string> waiting_;  // ids of what has not begun, in order
  std::string probe_tag_;
  Time answer_due_ = Time::max();  // of one of which a part has come
};

class LinesPool final : public Pool {
 public:
  using Pool::Pool;

 private:
  std::unique_ptr<LinkConnection> make(SlotKey key, EngineId engine) override {
    return std::make_unique<LinesConnection>(*this, key, engine);
  }
  std::size_t input_limit() const override { return 256 * 1024; }
};

}  // namespace rookproxy
