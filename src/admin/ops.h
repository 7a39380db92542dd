// The operators' address: one line a connection, STATUS or METRICS, and the answer.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dispatcher/figures.h"
#include "net/acceptor.h"
#include "net/stream.h"

namespace rookproxy {

// Whom the operators ask about.
class AdminSource {
 public:
  // Why this process is not ready to serve; empty if it is.
  virtual std::string not_ready_reason() const = 0;
  virtual const Metrics& metrics() const = 0;
  virtual Gauges gauges() const = 0;
  // Of parts that may be off: their names and values, in the order in which they are shown.
  virtual std::vector<std::pair<std::string, std::uint64_t>> optional_metrics() const { return {}; }

 protected:
  ~AdminSource() = default;
};

// The figures as METRICS gives them: a name and a value a line, under the names that operators know.
std::string format_metrics(const Metrics& figures, const Gauges& gauges);
// The whole answer to one call, without its line's end.
std::string admin_response(std::string_view call, const AdminSource& source);

class AdminServer {
 public:
  struct Limits {
    // Callers that hold a connection must not shut out others: at the cap the one that came first gives way.
    std::size_t max_clients = 16;
    std::size_t max_command_bytes = 256;         // bytes of a line
    Duration timeout = std::chrono::seconds(5);  // for the line, and for its answer to be taken
  };
  AdminServer(EventLoop& loop, FileDescriptor listener, const AdminSource& source, Limits limits);
  ~AdminServer();
  std::uint16_t port() const { return acceptor_.port(); }

 private:
  class Client;
  void accept(FileDescriptor fd);
  void close_client(SlotKey key);

  EventLoop& loop_;
  const AdminSource& source_;
  Limits limits_;
  SlotMap<std::unique_ptr<Client>> clients_;
  Acceptor acceptor_;
};

}  // namespace rookproxy
