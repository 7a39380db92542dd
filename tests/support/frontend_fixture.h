/// Both frontends with their dispatcher on an event loop, for tests that act as clients on real sockets.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "dispatcher/dispatcher.h"
#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "frontend/frames_frontend.h"
#include "frontend/mysql_frontend.h"
#include "support/event_loop_thread.h"

namespace rookproxy::test {

/// The response codes of a frames client, by stream.
using ResponseCodes = std::map<std::uint32_t, int>;

/// The codes of all responses in these bytes, which have to be whole frames.
ResponseCodes response_codes(std::string_view bytes);

/// What a connection held and received up to its end, which must not be a reset.
std::string read_to_graceful_end(TestConnection& connection);

/// A frame of a type that does not exist; its connection takes no further requests.
std::string encode_unknown_frame();

/// The bytes of a command with this statement, as a MySQL client writes them.
std::string encode_mysql_query(const std::string& statement);

/// The bytes of an OK in answer to a command.
std::string encode_mysql_ok();

/// A dispatcher with one engine and both frontends. The engine's transport only records what it is told; the
/// test decides when an attempt is served. The loop runs in a thread of its own, the test and its clients in
/// another; members of the test's side are safe to call from there.
class FrontendFixture final : private EngineTransport {
 public:
  explicit FrontendFixture(FramesFrontend::Limits limits = {});
  ~FrontendFixture();
  FrontendFixture(const FrontendFixture&) = delete;
  FrontendFixture& operator=(const FrontendFixture&) = delete;

  /// A client of the frames frontend.
  [[nodiscard]] TestConnection connect_frames_client() const;
  /// A connection to the MySQL frontend that has its greeting and says nothing.
  [[nodiscard]] TestConnection connect_silent_mysql_client() const;
  /// A client that is logged in to the MySQL frontend.
  [[nodiscard]] TestConnection connect_mysql_client() const;

  /// A request frame on that stream, with a call id of its own.
  std::string encode_request(std::uint32_t stream_id);

  /// Waits until so many attempts were sent to the engine.
  bool wait_for_attempts(std::size_t count);
  /// Ends the attempt of that index, from 0 in the order of sending, with this body as its result.
  void serve(std::size_t attempt, const std::string& body);
  /// Waits until exactly so many requests are open.
  bool wait_for_open_requests(std::size_t count, std::chrono::milliseconds within = kWaitLimit);
  /// Sends a request on that stream and serves it as the attempt of that index; returns once its client has
  /// something to read.
  void serve_request(TestConnection& client, std::uint32_t stream_id, std::size_t attempt);

  std::size_t attempt_count();
  std::size_t open_request_count();
  /// The indices of the attempts that were cancelled, in the order of their cancellation.
  std::vector<std::size_t> cancelled_attempts();

  void close_frames_gracefully(Duration timeout);
  void close_mysql_gracefully(Duration timeout);
  bool has_frames_connections();
  bool has_mysql_connections();
  bool wait_for_frames_connections();
  bool wait_for_no_frames_connections();
  bool wait_for_no_mysql_connections();
  /// Waits until neither frontend has a connection.
  bool wait_for_no_connections();
  bool is_frames_flushed();

  /// Waits until the MySQL frontend is, or is not, receiving a large command.
  bool wait_for_large_command(bool is_receiving);
  void set_mysql_limits(std::size_t max_connections, std::size_t max_bytes);

  /// The frames frontend, for tasks on the loop's thread alone.
  [[nodiscard]] FramesFrontend& frames() { return *frames_; }
  /// Runs the task on the loop's thread.
  void run_on_loop(const std::function<void()>& task) { host_.run(task); }
  /// From a task on the loop's thread: runs another one there after that time.
  void run_later(Duration delay, const std::function<void()>& task);

 private:
  void send(const AttemptRequest& attempt) override { attempts_.push_back(attempt.key); }
  bool cancel(AttemptKey key) override;
  bool cancel_if_unsent(AttemptKey) override { return false; }  // whatever is sent here has begun
  void set_priority(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void set_engine_address(EngineId, const SocketAddress&) override {}
  void stop_new_attempts(EngineId) override {}

  template <class Object, class Result>
  Result query(const Object& object, Result (Object::*function)() const);
  template <class Object, class Result>
  bool wait_until(const Object& object, Result (Object::*function)() const, Result wanted,
                  std::chrono::milliseconds within = kWaitLimit);

  std::ostringstream log_text_;
  EventLoopThread host_;
  Logger log_;
  Metrics metrics_;
  Dispatcher dispatcher_;
  std::unique_ptr<FramesFrontend> frames_;
  std::unique_ptr<MysqlFrontend> mysql_;
  std::uint64_t last_call_id_ = 0;
  std::vector<AttemptKey> attempts_;
  std::vector<AttemptKey> cancelled_;
};

}  // namespace rookproxy::test
