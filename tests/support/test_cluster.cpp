#include "support/test_cluster.h"

#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "fakes/sockets.h"
#include "net/sockets.h"
#include "support/loopback_barrier.h"
#include "support/request_frame.h"
#include "support/require.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

constexpr int kSmallSendBuffer = 4096;
// A packet that is delivered may cause others that no program sees: the steps of a handshake, or a window
// update and the bytes that waited for it. So many deliveries in a row have to change nothing.
constexpr int kDeliveries = 4;
constexpr int kMaxIterations = 5000;
constexpr Duration kRepeatTimeToLive = 3s;
// One point in so many leaves its connections to their idle timeouts.
constexpr int kPointsPerIdleTimeout = 32;
constexpr Duration kAllIdleTimeouts = 90s;

FileDescriptor make_frontend_listener(const ClusterOptions& options) {
  FileDescriptor listener = listen_tcp(kAnyLoopbackPort);
  if (options.small_buffers) {
    ::setsockopt(listener.get(), SOL_SOCKET, SO_SNDBUF, &kSmallSendBuffer, sizeof kSmallSendBuffer);
  }
  return listener;
}

// Call ids are not used again, not even by another cluster.
std::string next_call_id() {
  static std::uint64_t last_call = 0;
  return format_call_id(++last_call);
}

// One for all clusters, which live in one thread.
LoopbackBarrier& loopback_barrier() {
  static LoopbackBarrier barrier;
  return barrier;
}

}  // namespace

TestCluster::TestCluster(ManualClock& clock, const ClusterOptions& options)
    : clock_(clock),
      options_(options),
      log_(log_text_, LogLevel::kNotice, "h", "a"),
      dispatcher_(loop_, log_, metrics_, make_routing_settings(options), {"east", "west"}, {}),
      pool_(loop_, log_, dispatcher_, metrics_, make_pool_limits(options)),
      frontend_(loop_, log_, dispatcher_, make_frontend_listener(options), make_frontend_limits(options)) {
  loopback_barrier();  // before the first packet
  dispatcher_.set_transport(pool_);
  loop_.on_iteration_end([this] {
    if (iteration_hook_) std::exchange(iteration_hook_, nullptr)();
    dispatcher_.process_events();
  });
  frontend_.set_accepting(true);
  for (std::size_t index = 0; index < engines_.size(); ++index) engines_[index].index = index;
  publish_endpoints();
  settle();
}

void TestCluster::publish_endpoints() {
  std::vector<EngineEndpoint> endpoints;
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    EngineEndpoint endpoint;
    endpoint.id = "e" + std::to_string(index);
    endpoint.address = {kLoopbackAddress, engines_[index].port};
    endpoint.zone = zone_of_engine(index) == 1 ? "west" : "east";
    endpoint.machine_type = "m";
    endpoint.cell = cell_of_engine(index);
    endpoint.state = engine_states_[index];
    if (endpoint.state != routing::EngineState::kServing) {
      history_.drain_started_at.try_emplace(index, clock_.now);
    }
    if (endpoint.state != routing::EngineState::kRemoved) endpoints.push_back(endpoint);
  }
  dispatcher_.update_endpoints(endpoints, false);
}

void TestCluster::publish_engine_state(std::size_t engine, routing::EngineState state) {
  engine_states_[engine] = state;
  publish_endpoints();
}

std::size_t TestCluster::connect() {
  clients_.emplace_back(SocketAddress{kLoopbackAddress, frontend_.port()}, options_.small_buffers);
  settle();
  return clients_.size() - 1;
}

std::size_t TestCluster::create_request(std::size_t client, const std::string& class_name,
                                        Duration time_to_live) {
  ClusterRequest request;
  request.call_id = next_call_id();
  request.class_name = class_name;
  request.client = client;
  request.stream_id = clients_[client].take_stream_id();
  request.time_to_live = time_to_live;
  history_.requests.push_back(std::move(request));
  return history_.requests.size() - 1;
}

std::size_t TestCluster::send_request(std::size_t client, const std::string& class_name,
                                      Duration time_to_live) {
  const std::size_t request = create_request(client, class_name, time_to_live);
  mark_as_sent(request);
  clients_[client].send(frame(request));
  return request;
}

std::string TestCluster::frame(std::size_t request) const {
  const ClusterRequest& sent = history_.requests[request];
  const frames::Fields fields{
      {"op", sent.class_name}, {"ttl", std::to_string(sent.time_to_live / 1ms)}, {"call", sent.call_id}};
  return encode_request_frame(sent.stream_id, fields, statement);
}

void TestCluster::disconnect_client(std::size_t client, CloseKind kind, std::size_t request) {
  if (kind == CloseKind::kCancelRequest) {
    ClusterRequest& cancelled = history_.requests[request];
    clients_[client].send(frames::encode_frame(frames::kCancel, cancelled.stream_id, ""));
    cancelled.client_disconnected_at = clock_.now;
    return;
  }
  for (ClusterRequest& open : history_.requests) {
    if (open.client == client && !open.client_disconnected_at) open.client_disconnected_at = clock_.now;
  }
  clients_[client].disconnect(kind);
}

std::size_t TestCluster::attempt_of(std::size_t request) const {
  for (std::size_t index = history_.attempts.size(); index-- > 0;) {
    if (is_attempt_of(index, request) && history_.attempts[index].fully_received) return index;
  }
  return kNoAttempt;
}

std::size_t TestCluster::require_attempt_of(std::size_t request) const {
  const std::size_t attempt = attempt_of(request);
  require(attempt != kNoAttempt, "no attempt");
  return attempt;
}

bool TestCluster::is_attempt_of(std::size_t attempt, std::size_t request) const {
  return history_.attempts[attempt].id == history_.requests[request].call_id;
}

void TestCluster::write(std::size_t attempt, std::string_view bytes) {
  const ObservedAttempt& observed = history_.attempts[attempt];
  engines_[observed.engine].write(observed.connection, bytes);
}

void TestCluster::close_attempt_connection(std::size_t attempt, CloseKind kind) {
  const ObservedAttempt& observed = history_.attempts[attempt];
  engines_[observed.engine].close_connection(observed.connection, kind);
}

void TestCluster::record_produced_body(std::size_t attempt, const std::string& body) {
  history_.produced_bodies[history_.attempts[attempt].id].insert(body);
  history_.attempts[attempt].is_in_flight = false;
}

void TestCluster::serve(std::size_t attempt) {
  const ObservedAttempt& observed = history_.attempts[attempt];
  if (!observed.is_in_flight) return;
  const std::string body = "row\t" + observed.id + "\t" + std::to_string(attempt) + body_padding + "\n";
  record_produced_body(attempt, body);
  const std::string line = observed.id + " data parts=1 " + std::to_string(body.size());
  write(attempt, line + "\r\n" + body + "\r\n");
}

void TestCluster::on_full_request(std::size_t attempt) {
  received_attempts_.push_back(attempt);
  if (serves_requests_) serve(attempt);
}

void TestCluster::reject(std::size_t attempt) {
  ObservedAttempt& observed = history_.attempts[attempt];
  write(attempt, observed.id + " full - 0\r\n\r\n");
  observed.proven_not_run_at = clock_.now;
  observed.is_in_flight = false;
}

// Each engine's queue is full only once the handshakes that fill it are through.
void TestCluster::fill_accept_queues() {
  for (ScriptedEngine& engine : engines_) engine.fill_accept_queue();
  deliver_packets();
}

void TestCluster::resume_engines() {
  for (ScriptedEngine& engine : engines_) engine.resume();
}

void TestCluster::deliver_packets() {
  for (int delivery = 0; delivery < kDeliveries; ++delivery) loopback_barrier().wait();
}

void TestCluster::settle() {
  int iterations = 0;
  for (int idle_iterations = 0; idle_iterations < kDeliveries;) {
    require(++iterations <= kMaxIterations, "it never comes to rest");
    bool has_moved = loop_.poll() || loop_.next_timer_due() <= clock_.now;
    for (ScriptedEngine& engine : engines_) has_moved |= engine.process_input(*this);
    for (std::size_t index = 0; index < clients_.size(); ++index) has_moved |= read_client(index);
    idle_iterations = has_moved ? 0 : idle_iterations + 1;
    if (!has_moved) loopback_barrier().wait();
  }
}

void TestCluster::advance_time(ManualClock& clock, const std::vector<TestCluster*>& clusters,
                               Duration duration) {
  const Time end = clock.now + duration;
  for (;;) {
    Time next = end;
    for (TestCluster* cluster : clusters) {
      cluster->settle();
      next = std::min(next, cluster->loop_.next_timer_due());
    }
    if (clock.now >= end) return;
    clock.now = std::max(next, clock.now + Duration(1));
  }
}

bool TestCluster::read_client(std::size_t index) {
  const bool has_read =
      clients_[index].read_frames(std::bind_front(&TestCluster::record_response, this, index));
  if (has_read && clients_[index].was_cut_off()) history_.protocol_violations.insert("half a response");
  return has_read;
}

void TestCluster::record_response(std::size_t client, const frames::Frame& frame) {
  if (frame.type != frames::kResponse || frame.stream_id == 0) return;
  const std::string_view payload = frame.payload.substr(1);
  const auto parsed = frames::parse_payload(payload);
  if (!parsed) history_.protocol_violations.insert("a response that can't be read");
  const auto request =
      std::find_if(history_.requests.begin(), history_.requests.end(), [&](const ClusterRequest& candidate) {
        return candidate.client == client && candidate.stream_id == frame.stream_id;
      });
  if (request == history_.requests.end()) {
    history_.protocol_violations.insert("a response to nothing");
  } else {
    request->responses.emplace_back(frame.payload[0], parsed ? parsed->body : payload);
  }
}

void TestCluster::finish(Violations& violations) {
  complete_requests();
  InvariantChecker(history_, options_).check(violations);
  Violations later;
  repeat_all_calls(later);
  for (const std::string& violation : later) violations.insert("afterwards: " + violation);
  close_everything();
  check_nothing_left_open(violations);
}

void TestCluster::complete_requests() {
  advance_time(150ms);
  resume_engines();
  serve_requests();
  for (std::size_t index = 0; index < history_.attempts.size(); ++index) {
    const ObservedAttempt& attempt = history_.attempts[index];
    if (!attempt.is_in_flight || !attempt.fully_received) continue;
    if (engines_[attempt.engine].connections[attempt.connection].fd) reject(index);
  }
  advance_time(3s);
  for (ClusterClient& client : clients_) client.set_reading(true);
  settle();
}

// The same calls may be sent again, and every client is served.
void TestCluster::repeat_all_calls(Violations& violations) {
  std::vector<std::string> call_ids;
  for (const ClusterRequest& request : history_.requests) call_ids.push_back(request.call_id);
  history_.requests.clear();
  history_.attempts.clear();
  received_attempts_.clear();
  history_.drain_started_at.clear();
  engine_states_.fill(routing::EngineState::kServing);
  publish_endpoints();
  const std::size_t client = connect();
  for (const std::string& call_id : call_ids) {
    const std::size_t request = create_request(client, "safe", kRepeatTimeToLive);
    history_.requests[request].call_id = call_id;
    mark_as_sent(request);
    clients_[client].send(frame(request));
  }
  advance_time(kRepeatTimeToLive + 200ms);
  InvariantChecker(history_, options_).check(violations);
  for (const ClusterRequest& request : history_.requests) {
    if (request.responses.size() == 1 && request.responses[0].first != frames::kServed) {
      violations.insert("not served");
    }
  }
}

// Resets leave no port behind in TIME-WAIT, of which there are few.
void TestCluster::close_everything() {
  static int clusters_closed = 0;
  if (++clusters_closed % kPointsPerIdleTimeout == 0) return advance_time(kAllIdleTimeouts);
  for (ClusterClient& client : clients_) {
    if (client.is_open()) client.disconnect(CloseKind::kReset);
  }
  for (ScriptedEngine& engine : engines_) {
    for (std::size_t connection = 0; connection < engine.connections.size(); ++connection) {
      engine.close_connection(connection, CloseKind::kReset);
    }
  }
  settle();
}

void TestCluster::check_nothing_left_open(Violations& violations) const {
  if (dispatcher_.open_request_count() != 0) violations.insert("a request stays open");
  if (!frontend_.is_flushed()) violations.insert("a response stays queued");
  if (pool_.attempts_in_flight() != 0) violations.insert("an attempt stays in flight");
  for (const ScriptedEngine& engine : engines_) {
    for (const ScriptedEngine::Connection& connection : engine.connections) {
      if (connection.fd && !connection.ended) violations.insert("a connection to an engine stays open");
    }
  }
  for (const ClusterClient& client : clients_) {
    if (client.is_open() && !client.saw_end()) violations.insert("a client's connection stays open");
  }
}

}  // namespace rookproxy::test
