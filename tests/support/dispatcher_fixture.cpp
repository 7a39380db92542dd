#include "support/dispatcher_fixture.h"

#include <functional>
#include <memory>
#include <type_traits>

#include "dispatcher/routing_time.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using routing::Idempotency;
using routing::IdempotencyScope;

constexpr Duration kClassTimeout = 9s;
constexpr Duration kIdempotencyWindow = 800ms;
constexpr Duration kDrainGracePeriod = 500ms;

routing::ClassSettings make_class(const char* name, Idempotency idempotency,
                                  std::optional<IdempotencyScope> scope = std::nullopt) {
  routing::ClassSettings settings;
  settings.name = name;
  settings.idempotency = idempotency;
  settings.idempotency_scope = scope;
  settings.latency_objective = to_routing_duration(kClassTimeout);
  settings.timeout = settings.latency_objective;
  if (scope) settings.idempotency_window = to_routing_duration(kIdempotencyWindow);
  return settings;
}

routing::Settings make_settings() {
  routing::Settings settings;
  settings.zones = 2;
  settings.max_attempts = 4;
  settings.drain_grace_period = to_routing_duration(kDrainGracePeriod);
  settings.machine_types = {{"k", 8, 8000}};
  settings.classes = {make_class("safe", Idempotency::kIdempotent),
                      make_class("unsafe", Idempotency::kNonIdempotent),
                      make_class("anywhere", Idempotency::kKeyed, IdempotencyScope::kAll),
                      make_class("cell", Idempotency::kKeyed, IdempotencyScope::kCell)};
  settings.may_cancel = true;
  return settings;
}

}  // namespace

PoolLimits make_limits() {
  PoolLimits limits;
  limits.max_streams_per_connection = 8;
  limits.preferred_streams_per_connection = 8;
  limits.connect_timeout = 9s;
  limits.response_timeout = 100ms;
  limits.page_timeout = 300ms;
  limits.unresponsive_timeout = Duration(0);
  return limits;
}

DispatcherFixture::DispatcherFixture(const PoolLimits& limits)
    : log_(log_text_, LogLevel::kDebug, "h", "a"),
      dispatcher_(loop_, log_, metrics_, make_settings(), {"z0", "z1"}, {}),
      pool_(loop_, log_, dispatcher_, metrics_, limits) {
  dispatcher_.set_transport(pool_);
  loop_.on_iteration_end(std::bind_front(&Dispatcher::process_events, &dispatcher_));
}

void DispatcherFixture::update_endpoints(const std::vector<EngineState>& engines) {
  std::vector<EngineEndpoint> endpoints;
  for (const auto& [engine, state] : engines) {
    endpoints.push_back(make_endpoint(engine->address().to_string(), engine->address(), state));
  }
  update_endpoints(endpoints);
}

void DispatcherFixture::update_endpoints(const std::vector<EngineEndpoint>& endpoints) {
  dispatcher_.update_endpoints(endpoints, false);
  dispatcher_.process_events();
}

EngineEndpoint DispatcherFixture::make_endpoint(const std::string& id, const SocketAddress& address,
                                                routing::EngineState state) {
  EngineEndpoint endpoint;
  endpoint.id = id;
  endpoint.address = address;
  endpoint.state = state;
  endpoint.zone = "z0";
  endpoint.machine_type = "k";
  return endpoint;
}

RequestKey DispatcherFixture::submit(const char* class_name, Duration timeout, std::size_t bytes) {
  responses_.emplace_back();
  auto query = std::make_shared<Query>();
  query->id = last_id();
  query->class_name = class_name;
  query->statement.assign(bytes, 'x');
  IncomingRequest incoming;
  incoming.query = query;
  incoming.class_index = *dispatcher_.find_class(class_name);
  incoming.table_group = 1;
  incoming.deadline = loop_.now() + timeout;
  incoming.estimated_work = Duration(1ms);
  const RequestKey key = dispatcher_.submit(incoming, *this, responses_.size());
  dispatcher_.process_events();
  return key;
}

bool DispatcherFixture::run_until_response(std::size_t number) {
  return run_until(std::bind_front(&DispatcherFixture::has_response, this, number));
}

bool DispatcherFixture::run_until_request(RecordingEngine& engine, const std::string& id) {
  return run_until(std::bind_front(&RecordingEngine::has, &engine, id));
}

bool DispatcherFixture::run_until_request_count(RecordingEngine& engine, std::size_t count) {
  return run_until(std::bind_front(&RecordingEngine::has_requests, &engine, count));
}

bool DispatcherFixture::run_until_connection(const RecordingEngine& engine) {
  return run_until(std::bind_front(&RecordingEngine::has_waiting_connection, &engine));
}

bool DispatcherFixture::run_until_log(const std::string& text) {
  return run_until([&] {
    const std::string log = log_text_.str();
    return log.find(text) != std::string::npos;
  });
}

void DispatcherFixture::run_for(Duration duration) {
  const auto never = std::false_type();
  test::run_until(loop_, never, duration);
}

ResponseStatus DispatcherFixture::on_response(std::uint64_t ticket, Response response) {
  const ResponseStatus status = response.status;
  responses_[ticket - 1] = std::move(response);
  return status;
}

}  // namespace rookproxy::test
