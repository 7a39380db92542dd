#include "agent/server.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>

namespace rookproxy {
namespace {

using nlohmann::json;

constexpr std::size_t kLongestLine = 64 * 1024, kMostConnections = 64;

// A socket file that nobody listens on was left by an agent that died: it may be replaced, a living one may
// not.
FileDescriptor own_socket(const std::string& path) {
  if (FileDescriptor other = connect_unix(path))
    throw ConfigError("socket", path + " belongs to a running agent");
  ::unlink(path.c_str());
  const mode_t before = ::umask(0177);  // for its owner alone: who can write to it can stop every instance
  FileDescriptor fd = listen_unix(path);
  const int fault = errno;
  ::umask(before);
  if (!fd) throw ConfigError("socket", "can't listen on " + path + ": " + std::strerror(fault));
  return fd;
}

}  // namespace

class AgentServer::Connection final : public StreamHandler {
 public:
  Connection(AgentServer& server, SlotKey key, FileDescriptor fd)
      : server_(server), key_(key), stream_(server.loop_, std::move(fd), *this, false, kLongestLine) {}
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

AgentServer::AgentServer(EventLoop& loop, Logger& log, const std::string& path, Supervisor& supervisor,
                         std::function<void()> shut_down)
    : loop_(loop), log_(log), path_(path), supervisor_(supervisor), shut_down_(std::move(shut_down)) {
  acceptor_ = std::make_unique<Acceptor>(loop, own_socket(path), [this](FileDescriptor fd) {
    if (connections_.size() >= kMostConnections) return;
    const SlotKey key = connections_.insert(nullptr);
    *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd));
  });
}

AgentServer::~AgentServer() { ::unlink(path_.c_str()); }

void AgentServer::remove_connection(SlotKey key) {
  auto kept = std::make_shared<std::optional<std::unique_ptr<Connection>>>(connections_.take(key));
  loop_.defer([kept] {});
}

std::string AgentServer::handle_request(std::string_view line) {
  std::string fault;
  const json asked = json::parse(line, nullptr, false);
  std::vector<std::string> names;
  if (!asked.is_object() || !asked.contains("do") || !asked["do"].is_string()) {
    fault = "not a request";
  } else if (asked.contains("names")) {
    if (!asked["names"].is_array()) fault = "names: not a list";
    for (const auto& name : asked["names"]) {
      if (name.is_string()) names.push_back(name.get<std::string>());
      if (!name.is_string()) fault = "names: not a list of texts";
    }
  }
  if (fault.empty()) {
    const std::string what = asked["do"].get<std::string>();
    const auto known = supervisor_.status();
    for (const auto& name : names) {
      const bool found =
          std::any_of(known.begin(), known.end(), [&](const auto& one) { return one.name == name; });
      if (!found) fault = "no instance '" + name + "'";
    }
    if (names.empty()) {
      for (const auto& one : known) names.push_back(one.name);
    }
    // All names are known by now, so that none is acted on when one is wrong.
    for (const auto& name : names) {
      if (!fault.empty()) break;
      if (what == "start") fault = supervisor_.start(name);
      if (what == "drain") fault = supervisor_.drain(name);
      if (what == "restart") fault = supervisor_.restart(name);
      if (what == "upgrade") fault = supervisor_.upgrade(name);
    }
    if (what == "shutdown" && fault.empty()) {
      loop_.defer(shut_down_);
    } else if (what != "status" && what != "start" && what != "drain" && what != "restart" &&
               what != "upgrade") {
      if (fault.empty()) fault = "unknown request '" + what + "'";
    }
    if (what != "status") log_.write(LogLevel::kInfo, "agent", what, {{"fault", fault}});
  }
  if (!fault.empty())
    return json{{"ok", false}, {"error", fault}}.dump(-1, ' ', false, json::error_handler_t::replace);
  json instances = json::array();
  for (const auto& one : supervisor_.status()) {
    if (std::find(names.begin(), names.end(), one.name) == names.end()) continue;
    instances.push_back(
        {{"name", one.name},
         {"state", state_name(one.state)},
         {"pid", one.process},
         {"restarts", one.restarts},
         {"last_exit", one.last_exit},
         {"ops", one.admin_address},
         {"upgrade", one.upgrade},
         {"since_ms", std::chrono::duration_cast<std::chrono::milliseconds>(one.time_in_state).count()}});
  }
  return json{{"ok", true}, {"instances", std::move(instances)}}.dump();
}

}  // namespace rookproxy
