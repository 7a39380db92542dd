#include "support/frontend_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "config/config.h"
#include "support/dispatcher_config.h"
#include "support/mysql_client.h"
#include "support/read_to_end.h"
#include "support/request_frame.h"

namespace rookproxy::test {
namespace {

Config make_frontend_config() {
  nlohmann::json document = default_dispatcher_config();
  document["nameserver"] = "127.0.0.1:1";  // never queried
  document["settings"]["permissions"]["second_copies"] = false;
  return read_config(document);
}

MysqlFrontConfig make_mysql_config() {
  MysqlFrontConfig config;
  config.users = {{"school", "secret"}};
  config.read_class = "lookup";
  config.load_class = "load";
  config.read_timeout = kWaitLimit;
  config.load_timeout = kWaitLimit;
  return config;
}

EngineEndpoint make_serving_endpoint() {
  EngineEndpoint endpoint;
  endpoint.id = "a";
  endpoint.address = {kLoopbackAddress, 1};
  endpoint.zone = "z";
  endpoint.machine_type = "m";
  return endpoint;
}

}  // namespace

ResponseCodes response_codes(std::string_view bytes) {
  ResponseCodes codes;
  frames::ParsedFrame parsed = frames::parse_frame(bytes);
  while (parsed.status == frames::ParseStatus::kComplete) {
    if (parsed.frame.type == frames::kResponse) codes[parsed.frame.stream_id] = parsed.frame.payload[0];
    bytes.remove_prefix(parsed.frame_size);
    parsed = frames::parse_frame(bytes);
  }
  CHECK(bytes.empty());
  return codes;
}

std::string read_to_graceful_end(TestConnection& connection) {
  const ReadResult read = read_to_end(connection.fd());
  CHECK(read.error == 0);
  return connection.buffer() + read.bytes;
}

std::string encode_unknown_frame() {
  constexpr std::uint8_t kUnknownType = 77;
  return frames::encode_frame(kUnknownType, 3, "");
}

std::string encode_mysql_query(const std::string& statement) {
  std::uint8_t sequence = 0;
  return mysql::split_into_packets(static_cast<char>(mysql::kQuery) + statement, sequence);
}

std::string encode_mysql_ok() {
  std::uint8_t sequence = 1;
  return mysql::split_into_packets(mysql::ok_payload(0, 0, mysql::kAutocommit), sequence);
}

FrontendFixture::FrontendFixture(FramesFrontend::Limits limits)
    : log_(log_text_, LogLevel::kDebug, "h", "a"),
      dispatcher_(host_.loop, log_, metrics_, make_frontend_config().settings, {"z"}, {}) {
  host_.run([&] {
    dispatcher_.set_transport(*this);
    host_.on_iteration_end = [this] {
      dispatcher_.process_events();
    };
    dispatcher_.update_endpoints({make_serving_endpoint()}, false);
    dispatcher_.process_events();
    frames_ = std::make_unique<FramesFrontend>(host_.loop, log_, dispatcher_, listen_on_free_port(), limits);
    frames_->set_accepting(true);
    mysql_ = std::make_unique<MysqlFrontend>(host_.loop, log_, dispatcher_, listen_on_free_port(),
                                             make_mysql_config(), 1);
    mysql_->set_accepting(true);
  });
}

// The result of a const member function, on the loop's thread.
template <class Object, class Result>
Result FrontendFixture::query(const Object& object, Result (Object::*function)() const) {
  return host_.run([&] {
    return (object.*function)();
  });
}

// Waits until a const member function returns that, on the loop's thread.
template <class Object, class Result>
bool FrontendFixture::wait_until(const Object& object, Result (Object::*function)() const, Result wanted,
                                 std::chrono::milliseconds within) {
  return host_.until(
      [&] {
        return (object.*function)() == wanted;
      },
      within);
}

FrontendFixture::~FrontendFixture() {
  host_.finish([this] {
    frames_.reset();
    mysql_.reset();
    host_.on_iteration_end = {};
  });
}

TestConnection FrontendFixture::connect_frames_client() const {
  return TestConnection::connect(frames_->port());
}

TestConnection FrontendFixture::connect_silent_mysql_client() const {
  TestConnection connection = TestConnection::connect(mysql_->port());
  REQUIRE(read_mysql_message(connection));
  return connection;
}

TestConnection FrontendFixture::connect_mysql_client() const {
  MysqlClient client(TestConnection::connect(mysql_->port()));
  REQUIRE(client.log_in({}).was_accepted());
  return std::move(client.connection());
}

std::string FrontendFixture::encode_request(std::uint32_t stream_id) {
  const frames::Fields fields{{"op", "lookup"}, {"ttl", "3000"}, {"call", format_call_id(++last_call_id_)}};
  return encode_request_frame(stream_id, fields, "SELECT 1");
}

bool FrontendFixture::wait_for_attempts(std::size_t count) {
  return host_.until([&] {
    return attempts_.size() >= count;
  });
}

void FrontendFixture::serve(std::size_t attempt, const std::string& body) {
  const AttemptResult result{Outcome::kServed, std::nullopt, body};
  host_.run([&] {
    dispatcher_.on_attempt_ended(attempts_.at(attempt), result);
  });
}

bool FrontendFixture::wait_for_open_requests(std::size_t count, std::chrono::milliseconds within) {
  return wait_until(dispatcher_, &Dispatcher::open_request_count, count, within);
}

void FrontendFixture::serve_request(TestConnection& client, std::uint32_t stream_id, std::size_t attempt) {
  client.send(encode_request(stream_id));
  REQUIRE(wait_for_attempts(attempt + 1));
  serve(attempt, "one");
  REQUIRE(client.wait_for_bytes(1));
}

std::size_t FrontendFixture::attempt_count() {
  return host_.run([this] {
    return attempts_.size();
  });
}

std::size_t FrontendFixture::open_request_count() {
  return query(dispatcher_, &Dispatcher::open_request_count);
}

std::vector<std::size_t> FrontendFixture::cancelled_attempts() {
  return host_.run([this] {
    std::vector<std::size_t> indices;
    for (const AttemptKey& key : cancelled_) {
      const auto sent = std::find(attempts_.begin(), attempts_.end(), key);
      indices.push_back(static_cast<std::size_t>(sent - attempts_.begin()));
    }
    return indices;
  });
}

void FrontendFixture::close_frames_gracefully(Duration timeout) {
  host_.run([&] {
    frames_->close_all_gracefully(timeout);
  });
}

void FrontendFixture::close_mysql_gracefully(Duration timeout) {
  host_.run([&] {
    mysql_->close_all_gracefully(timeout);
  });
}

bool FrontendFixture::has_frames_connections() { return query(*frames_, &FramesFrontend::has_connections); }

bool FrontendFixture::has_mysql_connections() { return query(*mysql_, &MysqlFrontend::has_connections); }

bool FrontendFixture::wait_for_frames_connections() {
  return wait_until(*frames_, &FramesFrontend::has_connections, true);
}

bool FrontendFixture::wait_for_no_frames_connections() {
  return wait_until(*frames_, &FramesFrontend::has_connections, false);
}

bool FrontendFixture::wait_for_no_mysql_connections() {
  return wait_until(*mysql_, &MysqlFrontend::has_connections, false);
}

bool FrontendFixture::wait_for_no_connections() {
  return host_.until([this] {
    return !frames_->has_connections() && !mysql_->has_connections();
  });
}

bool FrontendFixture::is_frames_flushed() { return query(*frames_, &FramesFrontend::is_flushed); }

bool FrontendFixture::wait_for_large_command(bool is_receiving) {
  return wait_until(*mysql_, &MysqlFrontend::is_receiving_large_command, is_receiving);
}

void FrontendFixture::set_mysql_limits(std::size_t max_connections, std::size_t max_bytes) {
  host_.run([&] {
    mysql_->set_resource_limits(max_connections, max_bytes, max_bytes);
  });
}

void FrontendFixture::run_later(Duration delay, const std::function<void()>& task) {
  host_.loop.run_at(host_.loop.now() + delay, task);
}

bool FrontendFixture::cancel(AttemptKey key) {
  cancelled_.push_back(key);
  return true;
}

}  // namespace rookproxy::test
