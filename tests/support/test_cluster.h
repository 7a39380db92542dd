/// A dispatcher between clients and engines that a test plays byte by byte: real connections on loopback, all
/// in one thread, with a clock and an event loop that move only when the test says so, so that every order of
/// events can be forced.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "dispatcher/dispatcher.h"
#include "frontend/frames_frontend.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "support/cluster_client.h"
#include "support/cluster_history.h"
#include "support/cluster_options.h"
#include "support/invariants.h"
#include "support/manual_clock.h"
#include "support/scripted_engine.h"
#include "upstream/line_protocol_connection.h"

namespace rookproxy::test {

/// A dispatcher with its frontend and connections, four engines and any clients. Clients, requests, attempts
/// and engines are told apart by their index. For the thread that made it.
class TestCluster final : private AttemptObserver {
 public:
  static constexpr Duration kDefaultTimeToLive = std::chrono::seconds(1);

  explicit TestCluster(ManualClock& clock, const ClusterOptions& options = {});

  // ---- what clients do

  /// Connects a client.
  std::size_t connect();
  ClusterClient& client(std::size_t index) { return clients_[index]; }

  /// Adds a request that is not sent yet.
  std::size_t create_request(std::size_t client, const std::string& class_name,
                             Duration time_to_live = kDefaultTimeToLive);
  /// Creates a request and sends it.
  std::size_t send_request(std::size_t client, const std::string& class_name,
                           Duration time_to_live = kDefaultTimeToLive);
  /// Marks a created request as sent now; its frame is for the test to send.
  void mark_as_sent(std::size_t request) { history_.requests[request].sent_at = clock_.now; }
  [[nodiscard]] std::string frame(std::size_t request) const;
  ClusterRequest& request(std::size_t index) { return history_.requests[index]; }

  /// Ends the client's connection, or that one request with CloseKind::kCancelRequest.
  void disconnect_client(std::size_t client, CloseKind kind, std::size_t request);

  // ---- what engines do

  ScriptedEngine& engine(std::size_t index) { return engines_[index]; }
  std::array<ScriptedEngine, kEngineCount>& engines() { return engines_; }
  /// No connection to any engine is established any more, until resume_engines().
  void fill_accept_queues();
  void resume_engines();
  ObservedAttempt& attempt(std::size_t index) { return history_.attempts[index]; }
  [[nodiscard]] std::size_t attempt_count() const { return history_.attempts.size(); }
  /// The last attempt of a request that its engine has received in full, or kNoAttempt.
  [[nodiscard]] std::size_t attempt_of(std::size_t request) const;
  /// The same; throws std::runtime_error if there is none.
  [[nodiscard]] std::size_t require_attempt_of(std::size_t request) const;
  [[nodiscard]] bool is_attempt_of(std::size_t attempt, std::size_t request) const;

  /// Sends on the attempt's connection.
  void write(std::size_t attempt, std::string_view bytes);
  void close_attempt_connection(std::size_t attempt, CloseKind kind);
  /// The body is complete with what the test sends next.
  void record_produced_body(std::size_t attempt, const std::string& body);
  /// A valid response in one page, unless the attempt has ended.
  void serve(std::size_t attempt);
  void reject(std::size_t attempt);

  /// From now on engines serve each attempt as soon as they have received it.
  void serve_requests() { serves_requests_ = true; }
  /// From now on engines leave attempts to the test, as they do at first.
  void leave_requests() { serves_requests_ = false; }
  /// All attempts that engines have received in full, in the order in which they came.
  [[nodiscard]] const std::vector<std::size_t>& received_attempts() const { return received_attempts_; }

  /// Publishes the endpoint list, in which every engine has the state that it was given last.
  void publish_endpoints();
  void publish_engine_state(std::size_t engine, routing::EngineState state);

  // ---- time

  /// Runs the loop until nothing moves any more and nothing is on its way in the kernel; time stands still.
  void settle();
  void advance_time(Duration duration) { advance_time(clock_, {this}, duration); }
  /// Advances several clusters that share a clock, from timer to timer.
  static void advance_time(ManualClock& clock, const std::vector<TestCluster*>& clusters, Duration duration);
  [[nodiscard]] Time now() const override { return clock_.now; }

  /// Runs one iteration of the dispatcher's event loop.
  void poll() { loop_.poll(); }
  /// Calls this once, in the next iteration of the loop, before the dispatcher processes its events.
  void in_next_iteration(std::function<void()> hook) { iteration_hook_ = std::move(hook); }
  /// Starts the frontend's graceful shutdown.
  void drain() { frontend_.drain(); }

  [[nodiscard]] std::uint64_t attempts_written() const { return metrics_.attempts_written; }
  [[nodiscard]] std::size_t attempts_in_flight() const { return pool_.attempts_in_flight(); }

  /// Brings everything to its end, at first by rejections that make the dispatcher retry, and checks the
  /// invariants; then that the dispatcher serves on and closes all that it holds. Adds what is wrong.
  void finish(Violations& violations);

  std::string statement = "select * from s_1.t";  // of requests created from now on
  std::string body_padding;                       // in the bodies that serve() sends

 private:
  std::deque<ObservedAttempt>& attempts() override { return history_.attempts; }
  void on_full_request(std::size_t attempt) override;
  void deliver_packets();
  bool read_client(std::size_t index);
  void record_response(std::size_t client, const frames::Frame& frame);
  void complete_requests();
  void repeat_all_calls(Violations& violations);
  void close_everything();
  void check_nothing_left_open(Violations& violations) const;

  ManualClock& clock_;
  ClusterOptions options_;
  EventLoop loop_;
  std::function<void()> iteration_hook_;
  std::array<ScriptedEngine, kEngineCount> engines_;
  std::array<routing::EngineState, kEngineCount> engine_states_{};
  std::deque<ClusterClient> clients_;
  ClusterHistory history_;
  bool serves_requests_ = false;
  std::vector<std::size_t> received_attempts_;
  std::ostringstream log_text_;
  Logger log_;
  Metrics metrics_;
  Dispatcher dispatcher_;
  LineProtocolPool pool_;
  FramesFrontend frontend_;
};

}  // namespace rookproxy::test
