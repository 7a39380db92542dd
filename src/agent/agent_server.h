// The agent's Unix socket. Requests and responses are JSON objects, one per line:
//
//   {"do":"status"|"start"|"drain"|"restart"|"upgrade"|"shutdown","names":["n1",...]}
//   {"ok":true,"instances":[{"name":..,"state":..,"pid":..,"restarts":..,"last_exit":..,"since_ms":..}]}
//   {"ok":false,"error":"..."}
//
// A request without names applies to all instances.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/supervisor.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/slot_map.h"
#include "net/stream.h"

namespace rookproxy {

// Accepts operators' connections and passes their commands to the supervisor. Used only on the loop's thread;
// loop, logger and supervisor must outlive it.
class AgentServer {
 public:
  // `on_shutdown` is called from the loop when a client requests a shutdown. Throws ConfigError if listening
  // on the socket fails, for example because another agent uses it.
  AgentServer(EventLoop& loop, Logger& logger, const std::string& path, Supervisor& supervisor,
              std::function<void()> on_shutdown);
  // Removes the socket file.
  ~AgentServer();
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

 private:
  class Connection;

  // A parsed request. Its command may be unknown.
  struct Request {
    std::string command;
    std::vector<std::string> names;
  };

  [[nodiscard]] std::string handle_request(std::string_view line);
  // Executes a request and returns why it was rejected, if it was. Fills in the names of all instances if the
  // request has none.
  [[nodiscard]] std::optional<CommandRejection> execute(Request& request);
  [[nodiscard]] std::optional<CommandRejection> execute_for(const std::string& command,
                                                            const std::string& name);
  [[nodiscard]] std::string status_response(const std::vector<std::string>& names) const;
  void remove_connection(SlotKey key);

  EventLoop& loop_;
  Logger& logger_;
  std::string path_;
  Supervisor& supervisor_;
  std::function<void()> on_shutdown_;
  SlotMap<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace rookproxy
