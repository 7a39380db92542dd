// The agent's Unix socket: one JSON object a line in, one a line out.
//
//   {"do":"status"|"start"|"drain"|"restart"|"upgrade"|"shutdown","names":["n1",...]}      no names: all
//   {"ok":true,"instances":[{"name":..,"state":..,"pid":..,"restarts":..,"last_exit":..,"since_ms":..}]}
//   {"ok":false,"error":"..."}
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

// Accepts operators' connections and passes their commands to the supervisor. Used on the loop's thread
// alone; loop, logger and supervisor must outlive it.
class AgentServer {
 public:
  // `on_shutdown` is called, from the loop, once a client asks for it. Throws ConfigError if the socket can't
  // be listened on, as when another agent has it.
  AgentServer(EventLoop& loop, Logger& logger, const std::string& path, Supervisor& supervisor,
              std::function<void()> on_shutdown);
  // Removes the socket's file.
  ~AgentServer();
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

 private:
  class Connection;

  // A request that was parsed; its command may still be unknown.
  struct Request {
    std::string command;
    std::vector<std::string> names;
  };

  [[nodiscard]] std::string handle_request(std::string_view line);
  // Why the request was rejected, if it was. An empty list of names becomes that of all instances.
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
