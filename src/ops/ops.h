// The operators' address: one line a connection, STATUS or METRICS, and the answer.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/figures.h"
#include "net/stream.h"

namespace rookproxy {

// Whom the operators ask about.
class OpsSource {
 public:
  // Why this process is not ready to serve; empty if it is.
  virtual std::string why_not_ready() const = 0;
  virtual const Figures& figures() const = 0;
  virtual Gauges gauges() const = 0;
  // Of parts that may be off: their names and values, in the order in which they are shown.
  virtual std::vector<std::pair<std::string, std::uint64_t>> more_figures() const { return {}; }

 protected:
  ~OpsSource() = default;
};

// The figures as METRICS gives them: a name and a value a line, under the names that operators know.
std::string figures_text(const Figures& figures, const Gauges& gauges);
// The whole answer to one call, without its line's end.
std::string ops_answer(std::string_view call, const OpsSource& source);

class OpsServer {
 public:
  struct Limits {
    // Callers that hold a connection must not shut out others: at the cap the one that came first gives way.
    std::size_t most_callers = 16;
    std::size_t longest_call = 256;               // bytes of a line
    Duration patience = std::chrono::seconds(5);  // for the line, and for its answer to be taken
  };
  OpsServer(Loop& loop, Fd listener, const OpsSource& source, Limits limits);
  ~OpsServer();
  std::uint16_t port() const { return acceptor_.port(); }

 private:
  class Caller;
  void accept(Fd fd);
  void drop(SlotKey key);

  Loop& loop_;
  const OpsSource& source_;
  Limits limits_;
  SlotTable<std::unique_ptr<Caller>> callers_;
  Acceptor acceptor_;
};

}  // namespace rookproxy
