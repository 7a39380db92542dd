#include "agent/agent_server.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/sockets.h"
#include "policy/instance_lifecycle.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace rookproxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxLineBytes = 64UL * 1024;
constexpr std::size_t kMaxConnections = 64;
// Only the owner may use the socket, as its commands can stop every instance.
constexpr mode_t kSocketUmask = 0177;

// The `pid` of an instance without a process.
constexpr int kNoProcess = 0;

constexpr std::array<std::string_view, 6> kCommands{"status",  "start",   "drain",
                                                    "restart", "upgrade", "shutdown"};

// Listens on the socket. A socket file that no process listens on was left by an agent that crashed, and is
// replaced.
FileDescriptor listen_on_own_socket(const std::string& path) {
  if (connect_unix(path)) throw ConfigError("socket", path + " belongs to a running agent");
  ::unlink(path.c_str());
  const mode_t former_umask = ::umask(kSocketUmask);
  FileDescriptor listener = listen_unix(path);
  const int error = errno;
  ::umask(former_umask);
  if (!listener) throw ConfigError("socket", "can't listen on " + path + ": " + std::strerror(error));
  return listener;
}

// Returns nothing for the commands that concern the whole agent.
std::optional<policy::InstanceCommand> parse_instance_command(std::string_view command) {
  if (command == "start") return policy::InstanceCommand::kStart;
  if (command == "drain") return policy::InstanceCommand::kDrain;
  if (command == "restart") return policy::InstanceCommand::kRestart;
  if (command == "upgrade") return policy::InstanceCommand::kUpgrade;
  return std::nullopt;
}

std::string error_response(const CommandRejection& rejection) {
  const json response{{"ok", false}, {"error", rejection.reason}};
  // Text that is quoted from the request may be invalid UTF-8.
  return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

class AgentServer::Connection final : public StreamHandler {
 public:
  Connection(AgentServer& server, SlotKey key, FileDescriptor socket)
      : server_(server), key_(key), stream_(server.loop_, std::move(socket), *this, false, kMaxLineBytes) {}

  std::size_t on_bytes(std::string_view bytes) override {
    const auto end = bytes.find('\n');
    if (end == bytes.npos) return 0;
    stream_.write(server_.handle_request(bytes.substr(0, end)) + "\n");
    return end + 1;
  }
  void on_closed(std::string_view) override { server_.remove_connection(key_); }

 private:
  AgentServer& server_;
  SlotKey key_;
  Stream stream_;
};

AgentServer::AgentServer(EventLoop& loop, Logger& logger, const std::string& path, Supervisor& supervisor,
                         std::function<void()> on_shutdown)
    : loop_(loop),
      logger_(logger),
      path_(path),
      supervisor_(supervisor),
      on_shutdown_(std::move(on_shutdown)) {
  const auto on_accepted = [this](FileDescriptor socket) {
    if (connections_.size() >= kMaxConnections) return;
    const SlotKey key = connections_.insert(nullptr);
    *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(socket));
  };
  acceptor_ = std::make_unique<Acceptor>(loop, listen_on_own_socket(path), on_accepted);
}

AgentServer::~AgentServer() { ::unlink(path_.c_str()); }

void AgentServer::remove_connection(SlotKey key) {
  // The connection itself is the caller, so it is destroyed only after the call has returned.
  auto removed = std::make_shared<std::optional<std::unique_ptr<Connection>>>(connections_.take(key));
  loop_.defer([removed] {});
}

std::string AgentServer::handle_request(std::string_view line) {
  const json document = json::parse(line, nullptr, false);
  if (!document.is_object() || !document.contains("do") || !document["do"].is_string()) {
    return error_response({"not a request"});
  }
  Request request;
  request.command = document["do"].get<std::string>();
  if (document.contains("names")) {
    const json& names = document["names"];
    const bool are_strings =
        std::all_of(names.begin(), names.end(), [](const json& name) { return name.is_string(); });
    if (!are_strings) return error_response({"names: not a list of texts"});
    if (!names.is_array()) return error_response({"names: not a list"});
    request.names = names.get<std::vector<std::string>>();
  }
  const auto rejection = execute(request);
  if (request.command != "status") {
    logger_.write(LogLevel::kInfo, "agent", request.command,
                  {{"fault", rejection ? rejection->reason : std::string()}});
  }
  return rejection ? error_response(*rejection) : status_response(request.names);
}

std::optional<CommandRejection> AgentServer::execute(Request& request) {
  const auto instances = supervisor_.status();
  const auto is_known = [&](const std::string& name) {
    return std::any_of(instances.begin(), instances.end(),
                       [&](const InstanceStatus& instance) { return instance.name == name; });
  };
  // All names are checked first, so that nothing is done if one of them is unknown.
  const auto unknown = std::find_if_not(request.names.rbegin(), request.names.rend(), is_known);
  if (unknown != request.names.rend()) return CommandRejection{"no instance '" + *unknown + "'"};
  if (request.names.empty()) {
    for (const auto& instance : instances) request.names.push_back(instance.name);
  }
  if (std::find(kCommands.begin(), kCommands.end(), request.command) == kCommands.end()) {
    return CommandRejection{"unknown request '" + request.command + "'"};
  }
  for (const auto& name : request.names) {
    if (auto rejection = execute_for(request.command, name)) return rejection;
  }
  if (request.command == "shutdown") loop_.defer(on_shutdown_);
  return std::nullopt;
}

std::optional<CommandRejection> AgentServer::execute_for(const std::string& command,
                                                         const std::string& name) {
  const auto instance_command = parse_instance_command(command);
  if (!instance_command) return std::nullopt;
  return supervisor_.execute(*instance_command, name);
}

std::string AgentServer::status_response(const std::vector<std::string>& names) const {
  json instances = json::array();
  for (const auto& instance : supervisor_.status()) {
    if (std::find(names.begin(), names.end(), instance.name) == names.end()) continue;
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(instance.time_in_state);
    instances.push_back({{"name", instance.name},
                         {"state", state_name(instance.state)},
                         {"pid", instance.process ? instance.process->number() : kNoProcess},
                         {"restarts", instance.restarts},
                         {"last_exit", instance.last_exit},
                         {"ops", instance.admin_address},
                         {"upgrade", instance.upgrade.to_string()},
                         {"since_ms", since.count()}});
  }
  return json{{"ok", true}, {"instances", std::move(instances)}}.dump();
}

}  // namespace rookproxy
