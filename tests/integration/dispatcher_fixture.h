// A dispatcher with real connections to scripted engines, with an order of events that the test controls.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "dispatcher/dispatcher.h"
#include "dispatcher/routing_time.h"
#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/run_until.h"
#include "upstream/line_protocol_connection.h"

namespace rookproxy::test {

using namespace std::chrono_literals;
using routing::EngineState;
using routing::Idempotency;
using routing::IdempotencyScope;

// A scripted engine: records what it receives by connection and sends what the test tells it to.
class ScriptedEngine {
 public:
  [[nodiscard]] const SocketAddress& address() const { return address_; }
  [[nodiscard]] const FileDescriptor& listener() const { return listener_; }
  [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }

  // Fills the listener's accept queue: the kernel drops further connects, and clients retry a second later.
  void block_connects() {
    ::listen(listener_.get(), 0);
    for (int i = 0; i < 8; ++i) blocking_.push_back(connect_tcp(address_));
  }
  void unblock_connects() {
    blocking_.clear();
    while (wait_until_readable(listener_, 20ms)) accept_connection(listener_);
    ::listen(listener_.get(), 64);
  }

  void add_connection(TestConnection connection) { connections_.push_back(std::move(connection)); }
  // Accepts all pending connections and reads all available bytes.
  void read_all() {
    while (wait_until_readable(listener_, 0ms)) connections_.emplace_back(accept_connection(listener_));
    for (auto& connection : connections_) {
      while (connection.fd() && !connection.has_ended() && connection.read_more(0ms)) continue;
    }
  }

  // The ids of all requests received.
  std::vector<std::string> ids() {
    read_all();
    std::vector<std::string> ids;
    for (auto& connection : connections_) {
      std::istringstream lines(connection.buffer());
      for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("REQ ")) ids.push_back(line.substr(4, line.find(' ', 4) - 4));
      }
    }
    return ids;
  }
  bool has(const std::string& id) {
    const auto all = ids();
    return std::find(all.begin(), all.end(), id) != all.end();
  }

  // The connection on which a request arrived.
  TestConnection& connection_of(const std::string& id) {
    for (auto& connection : connections_) {
      if (connection.buffer().find("REQ " + id + " ") != std::string::npos) return connection;
    }
    throw std::runtime_error("no such request");
  }
  void serve(const std::string& id) { connection_of(id).send(id + " data parts=1 3\r\nok\n\r\n"); }
  void reset(const std::string& id) {
    const linger at_once{1, 0};
    ::setsockopt(connection_of(id).fd().get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    connection_of(id).close();
  }

 private:
  FileDescriptor listener_ = listen_on_free_port();
  SocketAddress address_{0x7f000001, local_port(listener_)};
  std::vector<TestConnection> connections_;
  std::vector<FileDescriptor> blocking_;
};

inline routing::ClassSettings make_class(const char* name, Idempotency idempotency,
                                         std::optional<IdempotencyScope> scope = std::nullopt) {
  routing::ClassSettings cls;
  cls.name = name;
  cls.idempotency = idempotency;
  cls.idempotency_scope = scope;
  cls.latency_objective = to_routing_duration(Duration(9s));
  cls.timeout = cls.latency_objective;
  if (scope) cls.idempotency_window = to_routing_duration(Duration(800ms));
  return cls;
}

inline routing::Settings make_settings() {
  routing::Settings settings;
  settings.zones = 2;
  settings.max_attempts = 4;
  settings.drain_grace_period = to_routing_duration(Duration(500ms));
  settings.machine_types = {{"k", 8, 8000}};
  settings.classes = {make_class("safe", Idempotency::kIdempotent),
                      make_class("unsafe", Idempotency::kNonIdempotent),
                      make_class("anywhere", Idempotency::kKeyed, IdempotencyScope::kAll),
                      make_class("cell", Idempotency::kKeyed, IdempotencyScope::kCell)};
  settings.may_cancel = true;
  return settings;
}

inline PoolLimits make_limits() {
  PoolLimits limits;
  limits.max_streams_per_connection = 8;
  limits.preferred_streams_per_connection = 8;
  limits.connect_timeout = 9s;
  limits.response_timeout = 100ms;
  limits.page_timeout = 300ms;
  limits.unresponsive_timeout = Duration(0);
  return limits;
}

// A dispatcher with real connections to engines, and the test as its frontend.
struct DispatcherFixture final : ResponseHandler {
  explicit DispatcherFixture(PoolLimits limits = make_limits())
      : log(log_text, LogLevel::kDebug, "h", "a"),
        dispatcher(loop, log, metrics, make_settings(), {"z0", "z1"}, {}),
        pool(loop, log, dispatcher, metrics, limits, memory) {
    dispatcher.set_transport(pool);
    loop.on_iteration_end([this] { dispatcher.process_events(); });
  }

  void update_endpoints(const std::vector<std::pair<ScriptedEngine*, EngineState>>& engines) {
    std::vector<EngineEndpoint> endpoints;
    for (const auto& [engine, state] : engines) {
      endpoints.push_back(make_endpoint(engine->address().to_string(), engine->address(), state));
    }
    update_endpoints(endpoints);
  }
  void update_endpoints(const std::vector<EngineEndpoint>& endpoints) {
    dispatcher.update_endpoints(endpoints, false);
    dispatcher.process_events();
  }
  static EngineEndpoint make_endpoint(const std::string& id, const SocketAddress& address,
                                      EngineState state) {
    EngineEndpoint endpoint;
    endpoint.id = id;
    endpoint.address = address;
    endpoint.state = state;
    endpoint.zone = "z0";
    endpoint.machine_type = "k";
    return endpoint;
  }

  RequestKey submit(const char* class_name, Duration timeout = 8s, std::size_t bytes = 8) {
    auto query = std::make_shared<Query>();
    query->id = std::to_string(++submitted);
    query->class_name = class_name;
    query->statement.assign(bytes, 'x');
    IncomingRequest incoming;
    incoming.query = query;
    incoming.class_index = *dispatcher.find_class(class_name);
    incoming.table_group = 1;
    incoming.deadline = loop.now() + timeout;
    incoming.estimated_work = Duration(1ms);
    responses.emplace_back();
    const RequestKey key = dispatcher.submit(incoming, *this, submitted);
    dispatcher.process_events();
    return key;
  }
  [[nodiscard]] std::string last_id() const { return std::to_string(submitted); }

  template <class Condition>
  bool run_until(Condition condition, Duration limit = Duration(kWaitLimit)) {
    return test::run_until(loop, condition, limit);
  }
  void run_for(Duration duration) {
    run_until([] { return false; }, duration);
  }

  ResponseStatus on_response(std::uint64_t correlation_id, Response response) override {
    responses[correlation_id - 1] = response;
    return response.status;
  }

  std::ostringstream log_text;
  EventLoop loop;
  Logger log;
  Metrics metrics;
  Dispatcher dispatcher;
  std::shared_ptr<policy::MemoryLedger> memory = std::make_shared<policy::MemoryLedger>();
  LineProtocolPool pool;
  std::uint64_t submitted = 0;
  std::vector<std::optional<Response>> responses;  // by correlation id, from 1
};

}  // namespace rookproxy::test
