// The agent's Unix socket: one JSON object a line in, one a line out.
//
//   {"do":"status"|"start"|"drain"|"restart"|"shutdown","names":["n1",...]}      no names: all
//   {"ok":true,"instances":[{"name":..,"state":..,"pid":..,"restarts":..,"last_exit":..,"since_ms":..}]}
//   {"ok":false,"error":"..."}
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "agent/supervisor.h"
#include "net/acceptor.h"
#include "net/stream.h"

namespace rookproxy {

class AgentServer {
 public:
  // Throws ConfigError if the socket can't be had, as when another agent has it.
  AgentServer(EventLoop& loop, Logger& log, const std::string& path, Supervisor& supervisor,
              std::function<void()> shut_down);
  ~AgentServer();

 private:
  class Connection;
  std::string handle_request(std::string_view line);
  void remove_connection(SlotKey key);

  EventLoop& loop_;
  Logger& log_;
  std::string path_;
  Supervisor& supervisor_;
  std::function<void()> shut_down_;
  SlotMap<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace rookproxy
