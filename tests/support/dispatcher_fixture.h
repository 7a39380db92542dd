/// A dispatcher with real connections to engines, in orders of events that the test decides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "dispatcher/dispatcher.h"
#include "fakes/sockets.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "net/socket_address.h"
#include "support/recording_engine.h"
#include "support/run_until.h"
#include "upstream/line_protocol_connection.h"

namespace rookproxy::test {

/// Limits of connections to engines that wait long to connect and not at all for engines without responses.
[[nodiscard]] PoolLimits make_limits();

/// A dispatcher with the test as its frontend. It has the classes "safe" (idempotent), "unsafe"
/// (non-idempotent), "anywhere" and "cell" (keyed). Request N, from 1, has the id N. For one thread.
class DispatcherFixture final : public ResponseHandler {
 public:
  explicit DispatcherFixture(const PoolLimits& limits = make_limits());

  /// An engine's state in the endpoint list; the engine must outlive the fixture.
  struct EngineState {
    const RecordingEngine* engine;
    routing::EngineState state;
  };
  void update_endpoints(const std::vector<EngineState>& engines);
  void update_endpoints(const std::vector<EngineEndpoint>& endpoints);
  static EngineEndpoint make_endpoint(const std::string& id, const SocketAddress& address,
                                      routing::EngineState state);

  /// Submits the next request, with a statement of so many bytes.
  RequestKey submit(const char* class_name, Duration timeout = std::chrono::seconds(8),
                    std::size_t bytes = 8);
  void cancel(RequestKey request) { dispatcher_.cancel_request(request); }
  /// Handles all events at once, not only at the end of the loop's iteration.
  void process_events() { dispatcher_.process_events(); }
  [[nodiscard]] std::string last_id() const { return std::to_string(responses_.size()); }

  /// The response to the N-th request, from 1, if there is one yet.
  [[nodiscard]] const std::optional<Response>& response(std::size_t number) const {
    return responses_.at(number - 1);
  }
  [[nodiscard]] bool has_response(std::size_t number) const { return response(number).has_value(); }
  [[nodiscard]] ResponseStatus status(std::size_t number) const { return response(number)->status; }

  /// Runs the loop until the condition holds; false if it does not within the limit.
  template <class Condition>
  [[nodiscard]] bool run_until(Condition condition) {
    return test::run_until(loop_, condition);
  }
  [[nodiscard]] bool run_until_response(std::size_t number);
  [[nodiscard]] bool run_until_request(RecordingEngine& engine, const std::string& id);
  [[nodiscard]] bool run_until_request_count(RecordingEngine& engine, std::size_t count);
  [[nodiscard]] bool run_until_connection(const RecordingEngine& engine);
  [[nodiscard]] bool run_until_log(const std::string& text);
  void run_for(Duration duration);

  [[nodiscard]] Time now() const { return loop_.now(); }
  [[nodiscard]] std::size_t open_request_count() const { return dispatcher_.open_request_count(); }
  [[nodiscard]] std::size_t engines_avoided() const { return dispatcher_.gauges().engines_avoided; }
  /// How many requests of the class were served.
  [[nodiscard]] std::uint64_t served(const std::string& class_name) {
    return metrics_.by_class[class_name].served;
  }

 private:
  ResponseStatus on_response(std::uint64_t ticket, Response response) override;

  std::ostringstream log_text_;
  EventLoop loop_;
  Logger log_;
  Metrics metrics_;
  Dispatcher dispatcher_;
  LineProtocolPool pool_;
  std::vector<std::optional<Response>> responses_;
};

}  // namespace rookproxy::test
