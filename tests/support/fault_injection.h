// A dispatcher between clients and engines that are played byte by byte: real connections on loopback, all in
// one thread, with a clock and a loop turned by hand, so that every order is forced. One set of invariants,
// counted from what clients and engines saw.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

#include "dispatcher/dispatcher.h"
#include "dispatcher/routing_time.h"
#include "frontend/frames_frontend.h"
#include "log/log.h"
#include "net/clock.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "upstream/line_protocol_connection.h"

namespace rookproxy::test {

using namespace std::chrono_literals;

constexpr Duration kAttemptAfterDisconnectLimit =
    100ms;  // an attempt that begins later, after its client went, is a break

// The one clock of all worlds.
struct ManualClock {
  Time now = monotonic_now();
  ManualClock() { manual_clock = &now; }
  ~ManualClock() { manual_clock = nullptr; }
};

enum class CloseKind { kGraceful, kReset, kUnresponsive, kHalfClose, kCancelRequest };
inline const char* close_kind_name(CloseKind end) {
  static const char* const names[] = {"close", "reset", "silence", "half-close", "type 8"};
  return names[static_cast<int>(end)];
}

struct ClusterOptions {
  bool may_cancel = true, second_copies = false;
  std::uint32_t max_attempts = 3;
  Duration idempotency_window = 100ms, drain_grace_period = 1s, dial_timeout = 250ms;
  std::size_t streams_per_connection = 6;  // attempts on a connection before another is dialled
  bool small_buffers = false;  // small buffers, and reading stops with the first answer that is not taken
};

inline const char* const kClassNames[] = {"safe", "all", "zone", "cell", "unsafe"};

inline routing::Settings make_routing_settings(const ClusterOptions& setup) {
  routing::Settings settings;
  settings.zones = 2;
  settings.machine_types = {{"m", 64.0, 65536.0}};
  settings.may_cancel = setup.may_cancel;
  settings.hedging = setup.second_copies;
  settings.reports_load = false;
  settings.max_attempts = setup.max_attempts;
  settings.drain_grace_period = to_routing_duration(setup.drain_grace_period);
  settings.progress_interval = to_routing_duration(Duration(500ms));
  for (int i = 0; i < 5; ++i) {
    routing::ClassSettings cls;
    cls.name = kClassNames[i];
    cls.latency_objective = to_routing_duration(Duration(300ms));
    cls.timeout = to_routing_duration(Duration(1000ms));
    cls.idempotency = i == 0   ? routing::Idempotency::kIdempotent
                      : i == 4 ? routing::Idempotency::kNonIdempotent
                               : routing::Idempotency::kKeyed;
    if (i > 0 && i < 4) {
      cls.idempotency_scope = static_cast<routing::IdempotencyScope>(i - 1);
      cls.idempotency_window = to_routing_duration(setup.idempotency_window);
    }
    settings.classes.push_back(cls);
  }
  return settings;
}

// One attempt as its engine saw it.
struct ObservedAttempt {
  std::string id;
  std::size_t engine = 0, connection = 0;
  Time started_at;                        // its first byte
  bool fully_received = false;            // all of it has come
  std::optional<Time> proven_not_run_at;  // a whole answer went out that proves that it never ran
  bool is_in_flight = true;               // neither answered in whole, nor stopped, nor its connection ended
  std::set<std::size_t> fetched_parts;
};

class TestCluster;

class ScriptedEngine {
 public:
  struct Connection {
    FileDescriptor fd;
    std::string receive_buffer;
    std::optional<Time> command_started_at;  // the first byte of the command that is not yet whole
    std::size_t attempt = SIZE_MAX;          // its attempt
    bool ended = false;
  };
  std::size_t index = 0;
  FileDescriptor listener = listen_tcp({0x7f000001, 0});
  std::uint16_t port = local_port(listener);
  std::deque<Connection> connections;
  bool accept_queue_full = false, is_reading = true;

  bool process_input(TestCluster& world);
  void write(std::size_t link, std::string_view bytes) {
    Connection& to = connections[link];
    if (to.fd && ::send(to.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) to.ended = true;
  }
  void close_connection(std::size_t link, CloseKind how) {
    Connection& one = connections[link];
    if (how == CloseKind::kUnresponsive || !one.fd) return;
    if (how == CloseKind::kReset) set_reset_on_close(one.fd);
    one.fd.reset();
    one.ended = true;
  }
  static void set_reset_on_close(const FileDescriptor& fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  // Its queue takes no connection any more: the kernel drops what comes, as a machine that is cut off does.
  void fill_accept_queue() {
    accept_queue_full = true;
    ::listen(listener.get(), 0);
    for (int i = 0; i < 4; ++i) queue_fillers_.push_back(connect_tcp({0x7f000001, port}));
  }
  void resume() {
    is_reading = true;
    if (!std::exchange(accept_queue_full, false)) return;
    queue_fillers_.clear();
    while (accept_connection(listener)) {
    }
    ::listen(listener.get(), 64);
  }

 private:
  std::vector<FileDescriptor> queue_fillers_;
};

struct Request {
  std::string call_id, class_name;
  std::size_t client = 0;
  std::uint32_t stream = 0;
  Duration time_to_live{};
  std::optional<Time> sent_at, client_disconnected_at;
  bool may_lie_unread = false;  // its attempt may lie unread at an engine: when it began there can't be seen
  std::vector<std::pair<int, std::string>> responses;  // code and body
};

struct TestClient {
  FileDescriptor fd;
  std::string in;
  bool saw_end = false;  // it saw the end
  bool is_reading = true, disconnected = false;
  std::uint32_t next_stream = 1;
};

// A dispatcher with a front and links, four engines and any clients, all in this thread.
class TestCluster {
 public:
  explicit TestCluster(ManualClock& clock, const ClusterOptions& setup = {})
      : clock_(clock),
        setup_(setup),
        log_(text_, LogLevel::kNotice, "h", "a"),
        core(loop, log_, figures_, make_routing_settings(setup), {"east", "west"}, {}),
        pool(loop, log_, core, figures_, make_pool_limits(setup)),
        front_(loop, log_, core, listener(setup), make_frontend_limits(setup)) {
    core.set_transport(pool);
    loop.on_iteration_end([this] {
      if (before_settle_hook) std::exchange(before_settle_hook, nullptr)();
      core.process_events();
    });
    front_.set_accepting(true);
    for (std::size_t i = 0; i < engines.size(); ++i) engines[i].index = i;
    publish_endpoints();
    settle();
  }

  // Two in the first cell, two more cells, the last of another zone.
  std::uint32_t cell(std::size_t engine) const {
    return engine < 2 ? 0 : static_cast<std::uint32_t>(engine - 1);
  }
  std::uint32_t zone(std::size_t engine) const { return engine == 3 ? 1 : 0; }

  // The list of engines, one of them in another state from now on.
  void publish_endpoints(std::size_t other = SIZE_MAX,
                         routing::EngineState state = routing::EngineState::kServing) {
    if (other < engines.size()) states_[other] = state;
    std::vector<EngineEndpoint> members;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      EngineEndpoint member;
      member.id = "e" + std::to_string(i);
      member.address = {0x7f000001, engines[i].port};
      member.zone = zone(i) == 1 ? "west" : "east";
      member.machine_type = "m";
      member.cell = cell(i);
      member.state = states_[i];
      if (states_[i] != routing::EngineState::kServing) drain_started_at_.try_emplace(i, clock_.now);
      if (states_[i] != routing::EngineState::kRemoved) members.push_back(member);
    }
    core.update_endpoints(members, false);
  }

  std::size_t connect() {
    clients.emplace_back();
    TestClient& client = clients.back();
    client.fd = FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int small = 2048;
    if (setup_.small_buffers) ::setsockopt(client.fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    const sockaddr_in at = SocketAddress{0x7f000001, front_.port()}.to_sockaddr();
    if (::connect(client.fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("no connection to the front");
    settle();
    return clients.size() - 1;
  }
  std::string frame(std::size_t request) const {
    const Request& r = requests[request];
    const frames::Fields fields{
        {"op", r.class_name}, {"ttl", std::to_string(r.time_to_live / 1ms)}, {"call", r.call_id}};
    std::string payload(1, static_cast<char>(fields.size()));
    for (const auto& [key, value] : fields) {
      payload += static_cast<char>(key.size()) + key;
      payload += '\0';
      payload += static_cast<char>(value.size()) + value;
    }
    return frames::encode_frame(frames::kRequest, r.stream, payload + statement);
  }
  std::size_t create_request(std::size_t client, const std::string& cls, Duration ttl = 1000ms) {
    static std::uint64_t calls = 0;
    char call[17];
    std::snprintf(call, sizeof call, "%016llx", static_cast<unsigned long long>(++calls));
    requests.push_back({call, cls, client, clients[client].next_stream++, ttl, {}, {}, false, {}});
    return requests.size() - 1;
  }
  void send_bytes(std::size_t client, std::string_view bytes) {
    if (::send(clients[client].fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
      clients[client].saw_end = true;
  }
  std::size_t send_request(std::size_t client, const std::string& cls, Duration ttl = 1000ms) {
    const std::size_t request = create_request(client, cls, ttl);
    requests[request].sent_at = clock_.now;
    send_bytes(client, frame(request));
    return request;
  }
  // The client ends: the whole connection, or one request.
  void disconnect_client(std::size_t client, CloseKind how, std::size_t request = SIZE_MAX) {
    TestClient& one = clients[client];
    if (how == CloseKind::kCancelRequest) {
      send_bytes(client, frames::encode_frame(frames::kCancel, requests[request].stream, ""));
      requests[request].client_disconnected_at = clock_.now;
      return;
    }
    for (Request& r : requests) {
      if (r.client == client && !r.client_disconnected_at) r.client_disconnected_at = clock_.now;
    }
    one.disconnected = true;
    if (how == CloseKind::kHalfClose) {
      ::shutdown(one.fd.get(), SHUT_WR);
    } else {
      if (how == CloseKind::kReset) ScriptedEngine::set_reset_on_close(one.fd);
      one.fd.reset();
    }
  }

  // Turns until nothing moves any more; time stands.
  void settle() {
    for (int idle = 0, turns = 0; idle < 2; ++turns) {
      if (turns > 5000) throw std::runtime_error("it never comes to rest");
      bool moved = loop.poll() || loop.next_timer_due() <= clock_.now;
      for (ScriptedEngine& engine : engines) moved |= engine.process_input(*this);
      for (std::size_t i = 0; i < clients.size(); ++i) moved |= receive_client_frames(i);
      idle = moved ? 0 : idle + 1;
    }
  }
  static void advance_time(ManualClock& clock, const std::vector<TestCluster*>& worlds, Duration span) {
    const Time until = clock.now + span;
    for (;;) {
      Time next = until;
      for (TestCluster* world : worlds) {
        world->settle();
        next = std::min(next, world->loop.next_timer_due());
      }
      if (clock.now >= until) return;
      clock.now = std::max(next, clock.now + Duration(1));
    }
  }
  void advance_time(Duration span) { advance_time(clock_, {this}, span); }
  void drain() { front_.drain(); }
  std::uint64_t attempts_written() const { return figures_.attempts_written; }

  // The attempt that is out for a request; SIZE_MAX: none has come whole.
  std::size_t attempt_of(std::size_t request) const {
    for (std::size_t i = observed_attempts.size(); i-- > 0;) {
      if (observed_attempts[i].id == requests[request].call_id && observed_attempts[i].fully_received)
        return i;
    }
    return SIZE_MAX;
  }
  void write(std::size_t attempt, std::string_view bytes) {
    engines[observed_attempts[attempt].engine].write(observed_attempts[attempt].connection, bytes);
  }
  void close_attempt_connection(std::size_t attempt, CloseKind how) {
    engines[observed_attempts[attempt].engine].close_connection(observed_attempts[attempt].connection, how);
  }
  void record_served_body(std::size_t attempt, const std::string& body) {
    produced_bodies[observed_attempts[attempt].id].insert(body);
    observed_attempts[attempt].is_in_flight = false;
  }
  void reject(std::size_t attempt) {
    write(attempt, observed_attempts[attempt].id + " full - 0\r\n\r\n");
    observed_attempts[attempt].proven_not_run_at = clock_.now;
    observed_attempts[attempt].is_in_flight = false;
  }
  // An honest answer in one page.
  void serve(std::size_t attempt) {
    if (!observed_attempts[attempt].is_in_flight) return;
    const std::string body =
        "row\t" + observed_attempts[attempt].id + "\t" + std::to_string(attempt) + body_padding + "\n";
    record_served_body(attempt, body);
    write(attempt, observed_attempts[attempt].id + " data parts=1 " + std::to_string(body.size()) + "\r\n" +
                       body + "\r\n");
  }

  // Lets everything come to its end, some of it first in ways that make the dispatcher try again; then looks
  // at what was seen. Returns what is wrong, one word each.
  void finish(std::multiset<std::string>& wrong) {
    advance_time(150ms);
    for (ScriptedEngine& engine : engines) engine.resume();
    on_request = [this](std::size_t attempt) { serve(attempt); };
    for (std::size_t i = 0; i < observed_attempts.size(); ++i) {
      if (observed_attempts[i].is_in_flight && observed_attempts[i].fully_received &&
          engines[observed_attempts[i].engine].connections[observed_attempts[i].connection].fd)
        reject(i);
    }
    advance_time(3s);
    for (TestClient& client : clients) client.is_reading = true;
    settle();
    check_invariants(wrong);
    // It serves on: the same calls may be asked again, and whoever asks is served.
    std::vector<std::string> calls;
    for (const Request& request : requests) calls.push_back(request.call_id);
    requests.clear();
    observed_attempts.clear();
    drain_started_at_.clear();
    states_.fill(routing::EngineState::kServing);
    publish_endpoints();
    const std::size_t fresh = connect();
    for (const std::string& call : calls) {
      const std::size_t again = create_request(fresh, "safe", 3000ms);
      requests[again].call_id = call;
      requests[again].sent_at = clock_.now;
      send_bytes(fresh, frame(again));
    }
    advance_time(3200ms);
    std::multiset<std::string> later;
    check_invariants(later);
    for (const Request& request : requests) {
      if (request.responses.size() == 1 && request.responses[0].first != frames::kServed)
        later.insert("not served");
    }
    for (const std::string& one : later) wrong.insert("afterwards: " + one);
    // Resets leave no port behind in TIME-WAIT, of which there are few; at one point in 32 what rests is left
    // to its idle times.
    static int points_checked = 0;
    if (++points_checked % 32 == 0) {
      advance_time(90s);
    } else {
      for (std::size_t i = 0; i < clients.size(); ++i) {
        if (clients[i].fd) disconnect_client(i, CloseKind::kReset);
      }
      for (ScriptedEngine& engine : engines) {
        for (std::size_t i = 0; i < engine.connections.size(); ++i)
          engine.close_connection(i, CloseKind::kReset);
      }
      settle();
    }
    if (core.open_request_count() != 0) wrong.insert("a request stays open");
    if (!front_.is_flushed()) wrong.insert("an answer stays queued");
    if (pool.attempts_in_flight() != 0) wrong.insert("an attempt stays carried");
    for (const ScriptedEngine& engine : engines) {
      for (const auto& link : engine.connections) {
        if (link.fd && !link.ended) wrong.insert("a connection to an engine stays open");
      }
    }
    for (const TestClient& client : clients) {
      if (client.fd && !client.saw_end) wrong.insert("a client's connection stays open");
    }
  }

  void check_invariants(std::multiset<std::string>& wrong) const {
    for (const Request& r : requests) {
      if (r.sent_at && !r.client_disconnected_at && r.responses.empty()) wrong.insert("no answer");
      if (r.responses.size() > 1) wrong.insert("a second answer");
      if (!r.sent_at && !r.responses.empty()) wrong.insert("an answer to half a request");
      std::vector<const ObservedAttempt*> tries;
      for (const ObservedAttempt& one : observed_attempts) {
        if (one.id == r.call_id) tries.push_back(&one);
      }
      if (tries.size() > setup_.max_attempts) wrong.insert("too many attempts");
      const bool unsafe = r.class_name == "unsafe";
      for (std::size_t i = 0; i < tries.size(); ++i) {
        const ObservedAttempt& one = *tries[i];
        if (!r.sent_at) wrong.insert("an attempt of half a request");
        if (r.client_disconnected_at &&
            one.started_at > *r.client_disconnected_at + kAttemptAfterDisconnectLimit)
          wrong.insert("an attempt after its client went");
        if (r.sent_at && one.started_at > *r.sent_at + r.time_to_live)
          wrong.insert("an attempt after the deadline");
        if (const auto told = drain_started_at_.find(one.engine);
            !r.may_lie_unread && told != drain_started_at_.end() &&
            one.started_at > told->second + setup_.drain_grace_period) {
          wrong.insert("an attempt after the drain's grace");
        }
        for (std::size_t k = 0; k < i; ++k) {
          const ObservedAttempt& earlier = *tries[k];
          if (earlier.proven_not_run_at && *earlier.proven_not_run_at <= one.started_at)
            continue;  // proven never to have run
          if (unsafe) wrong.insert("unsafe, and an earlier attempt may have run");
          if (unsafe || r.class_name == "safe") continue;
          if (one.started_at > earlier.started_at + setup_.idempotency_window)
            wrong.insert("keyed, and its window is over");
          if ((r.class_name == "zone" && zone(one.engine) != zone(earlier.engine)) ||
              (r.class_name == "cell" && cell(one.engine) != cell(earlier.engine))) {
            wrong.insert("keyed, and outside its group");
          }
        }
      }
      for (const auto& [code, body] : r.responses) {
        if (code == frames::kServed &&
            (!produced_bodies.contains(r.call_id) || !produced_bodies.at(r.call_id).contains(body)))
          wrong.insert("served what no engine made");
        const bool ran = std::any_of(tries.begin(), tries.end(),
                                     [](const ObservedAttempt* one) { return !one->proven_not_run_at; });
        if (code == frames::kRejected && unsafe && ran) wrong.insert("refused, and it may have run");
      }
    }
    for (const std::string& one : protocol_violations) wrong.insert(one);
  }

  EventLoop loop;
  std::function<void()> before_settle_hook;                          // once, in the middle of a turn
  std::function<void(std::size_t)> on_request = [](std::size_t) {};  // what engines do with what comes
  std::array<ScriptedEngine, 4> engines;
  std::deque<TestClient> clients;
  std::deque<Request> requests;
  std::deque<ObservedAttempt> observed_attempts;
  std::map<std::string, std::set<std::string>> produced_bodies;  // whole bodies, by id
  std::string statement = "select * from s_1.t";
  std::string body_padding;                        // in the bodies of honest answers
  std::multiset<std::string> protocol_violations;  // what should never come
  std::string log() const { return text_.str(); }
  Time now() const { return clock_.now; }

 private:
  static FileDescriptor listener(const ClusterOptions& setup) {
    FileDescriptor fd = listen_tcp({0x7f000001, 0});
    const int small = 4096;
    if (setup.small_buffers) ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    return fd;
  }
  static PoolLimits make_pool_limits(const ClusterOptions& setup) {
    PoolLimits limits;
    limits.max_streams_per_connection = 32;
    limits.preferred_streams_per_connection = setup.streams_per_connection;
    limits.connect_timeout = setup.dial_timeout;
    return limits;
  }
  static FramesFrontend::Limits make_frontend_limits(const ClusterOptions& setup) {
    FramesFrontend::Limits limits;
    if (setup.small_buffers) limits.max_unread_bytes_per_connection = 100;
    return limits;
  }
  bool receive_client_frames(std::size_t at) {
    TestClient& client = clients[at];
    if (!client.fd || client.saw_end || !client.is_reading) return false;
    char chunk[64 * 1024];
    const ssize_t got = ::recv(client.fd.get(), chunk, sizeof chunk, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return false;
    if (got <= 0) {
      client.saw_end = true;
      if (!client.in.empty() && !client.disconnected) protocol_violations.insert("half an answer");
      return true;
    }
    client.in.append(chunk, static_cast<std::size_t>(got));
    frames::Frame frame;
    std::size_t used = 0;
    while (frames::parse_frame(client.in, frame, used) == frames::ParseStatus::kComplete) {
      if (frame.type == frames::kResponse && frame.stream_id != 0) {
        std::string_view body = frame.payload.substr(1);
        frames::Fields fields;
        const auto asked = std::find_if(requests.begin(), requests.end(), [&](const Request& r) {
          return r.client == at && r.stream == frame.stream_id;
        });
        if (!frames::parse_fields(body, fields)) protocol_violations.insert("an answer that can't be read");
        if (asked == requests.end()) {
          protocol_violations.insert("an answer to nothing");
        } else {
          asked->responses.emplace_back(frame.payload[0], body);
        }
      }
      client.in.erase(0, used);
    }
    return true;
  }

  ManualClock& clock_;
  ClusterOptions setup_;
  std::ostringstream text_;
  Logger log_;
  Metrics figures_;
  std::array<routing::EngineState, 4> states_{};
  std::map<std::size_t, Time> drain_started_at_;  // when each engine was first told not to serve

 public:
  Dispatcher core;
  LineProtocolPool pool;

 private:
  FramesFrontend front_;
};

inline bool ScriptedEngine::process_input(TestCluster& world) {
  bool moved = false;
  while (!accept_queue_full) {
    FileDescriptor fd = accept_connection(listener);
    if (!fd) break;
    connections.push_back({std::move(fd), "", {}, SIZE_MAX, false});
    moved = true;
  }
  for (std::size_t at = 0; at < connections.size(); ++at) {
    Connection& link = connections[at];
    if (!link.fd || link.ended || !is_reading) continue;
    char chunk[16 * 1024];
    const ssize_t got = ::recv(link.fd.get(), chunk, sizeof chunk, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) continue;
    moved = true;
    if (got <= 0) {
      link.ended = true;
      for (ObservedAttempt& one : world.observed_attempts) {
        if (one.engine == index && one.connection == at) one.is_in_flight = false;
      }
      continue;
    }
    link.receive_buffer.append(chunk, static_cast<std::size_t>(got));
    while (!link.receive_buffer.empty()) {
      if (!link.command_started_at) link.command_started_at = world.now();
      const auto line_end = link.receive_buffer.find("\r\n");
      std::istringstream words(link.receive_buffer.substr(0, line_end));
      std::string verb, id, last, word;
      words >> verb >> id;
      while (words >> word) last = word;
      // A request counts from its first byte, once that says what it is and whose.
      if (verb == "REQ" && id.size() == 16 && link.attempt == SIZE_MAX) {
        link.attempt = world.observed_attempts.size();
        world.observed_attempts.push_back({id, index, at, *link.command_started_at, false, {}, true, {}});
      }
      if (line_end == std::string::npos) break;
      std::size_t used = line_end + 2;
      if (verb == "REQ") {
        const std::size_t body = std::stoul(last);
        if (link.receive_buffer.size() < used + body + 2) break;
        used += body + 2;
      }
      link.receive_buffer.erase(0, used);
      link.command_started_at.reset();
      const std::size_t mine = std::exchange(link.attempt, SIZE_MAX);
      if (verb == "REQ") {
        world.observed_attempts[mine].fully_received = true;
        world.on_request(mine);
        continue;
      }
      if (verb == "STAT" || verb == "HELO") write(at, id + " well - 0\r\n\r\n");
      for (ObservedAttempt& one : world.observed_attempts) {
        if (one.id != id || one.engine != index || one.connection != at) continue;
        if (verb == "STOP" || verb == "END") one.is_in_flight = false;
        if (verb == "FETCH") one.fetched_parts.insert(std::stoul(last));
      }
    }
  }
  return moved;
}

// What was wrong at which points: one line for each kind, with the first points and how many there are.
class InvariantReport {
 public:
  int points = 0;
  void add(TestCluster& world, const std::string& point) {
    ++points;
    std::multiset<std::string> wrong;
    try {
      world.finish(wrong);
    } catch (const std::exception& fault) {
      wrong.insert(fault.what());
    }
    for (const std::string& one : std::set<std::string>(wrong.begin(), wrong.end()))
      points_by_violation_[one].push_back(point);
  }
  std::string text() const {
    std::string all;
    for (const auto& [what, where] : points_by_violation_) {
      all += what + " (" + std::to_string(where.size()) + " of " + std::to_string(points) + "): ";
      for (std::size_t i = 0; i < std::min<std::size_t>(where.size(), 8); ++i) all += where[i] + " | ";
      all += "\n";
    }
    return all;
  }

 private:
  std::map<std::string, std::vector<std::string>> points_by_violation_;
};

struct PointName {
  std::ostringstream text;
  template <class... Parts>
  explicit PointName(const Parts&... parts) {
    ((text << parts << ' '), ...);
  }
  operator std::string() const { return text.str(); }
};

}  // namespace rookproxy::test
