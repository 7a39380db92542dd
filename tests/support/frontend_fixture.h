// Both frontends on an event loop in its own thread, for tests that act as their clients.
#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "auth/auth_settings.h"
#include "auth/authenticator.h"
#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "frontend/frames_frontend.h"
#include "frontend/mysql_frontend.h"
#include "frontend/turn_scheduler.h"
#include "net/event_loop.h"
#include "net/sockets.h"
#include "policy/memory_ledger.h"
#include "support/dispatcher_config.h"
#include "support/event_loop_thread.h"
#include "support/request_frame.h"

namespace rookproxy::test {

// Both frontends with a dispatcher, and a transport to engines that only records its calls. With `access`
// callers of the frames frontend are identified.
struct FrontendFixture final : EngineTransport {
  explicit FrontendFixture(FramesFrontend::Limits limits = {},
                           const std::optional<auth::AuthSettings>& access = std::nullopt)
      : log(text, LogLevel::kDebug, "h", "a"),
        dispatcher(loop_thread.loop, log, metrics, read_config(read_json()).settings, {"z"}, {}, memory) {
    loop_thread.run([&] {
      dispatcher.set_transport(*this);
      loop_thread.on_iteration_end = [this] { dispatcher.process_events(); };
      dispatcher.update_endpoints(
          {{"a", {0x7f000001, 1}, rookproxy::routing::EngineState::kServing, "z", "m", 0, 1, std::nullopt}},
          false);
      dispatcher.process_events();
      if (access) {
        authenticator =
            std::make_unique<auth::Authenticator>(loop_thread.loop, log, metrics.auth, *access, 1);
      }
      frames =
          std::make_unique<FramesFrontend>(loop_thread.loop, log, dispatcher, turns, listen_on_free_port(),
                                           limits, authenticator.get(), nullptr, memory);
      frames->set_accepting(true);
      MysqlFrontendConfig config;
      config.users = {{"school", "secret"}};
      config.read_class = "lookup";
      config.load_class = "load";
      config.read_timeout = config.load_timeout = kWaitLimit;
      mysql = std::make_unique<MysqlFrontend>(loop_thread.loop, log, dispatcher, turns, listen_on_free_port(),
                                              config, 1, nullptr, nullptr, false, memory);
      mysql->set_accepting(true);
    });
  }
  ~FrontendFixture() {
    loop_thread.finish([this] {
      frames.reset();
      mysql.reset();
      authenticator.reset();
      loop_thread.on_iteration_end = {};
    });
  }
  static nlohmann::json read_json() {
    nlohmann::json document = default_dispatcher_config();
    document["nameserver"] = "127.0.0.1:1";  // not used
    document["settings"]["permissions"]["second_copies"] = false;
    return document;
  }

  TestConnection client() { return TestConnection::connect(frames->port()); }
  TestConnection mysql_client() {
    TestConnection peer = TestConnection::connect(mysql->port());
    const auto greeting = read_mysql_message(peer);
    REQUIRE(greeting);
    const auto read = mysql::parse_greeting(greeting->payload);
    mysql::Login login;
    login.capabilities = mysql::kCapabilities & ~mysql::kConnectAttrs & ~mysql::kConnectWithDb;
    login.user = "school";
    login.plugin = read.plugin;
    login.auth_response = *mysql::make_auth_response(read.plugin, "secret", read.nonce);
    std::uint8_t sequence = 1;
    peer.send(mysql::split_into_packets(mysql::login_payload(login), sequence));
    auto answer = read_mysql_message(peer);
    if (answer && answer->payload == "\x01\x03") answer = read_mysql_message(peer);
    REQUIRE((answer && answer->payload.starts_with('\0')));
    return peer;
  }
  static std::string query(const std::string& text) {
    std::uint8_t sequence = 0;
    return mysql::split_into_packets("\x03" + text, sequence);
  }
  std::string request(std::uint32_t stream, const std::string& statement = "SELECT 1",
                      const std::string& token = "") {
    frames::Fields fields{{"op", "lookup"}, {"ttl", "3000"}, {"call", format_call_id(++calls)}};
    if (!token.empty()) fields.emplace("token", token);
    return encode_request_frame(stream, fields, statement);
  }
  bool wait_for_attempts(std::size_t count) {
    return loop_thread.until([&] { return attempts.size() >= count; });
  }
  void serve(std::size_t attempt, const std::string& body) {
    loop_thread.run([&] {
      dispatcher.on_attempt_ended(attempts.at(attempt).key, {Outcome::kServed, std::nullopt, body});
    });
  }

  void send(const AttemptRequest& attempt) override { attempts.push_back(attempt); }
  bool cancel_if_unsent(AttemptKey) override { return false; }  // every attempt counts as sent
  bool cancel(AttemptKey key) override {
    cancelled.push_back(key);
    return true;
  }
  void set_priority(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void set_engine_address(EngineId, const SocketAddress&) override {}
  void stop_new_attempts(EngineId) override {}

  std::ostringstream text;
  EventLoopThread loop_thread;
  Logger log;
  Metrics metrics;
  std::shared_ptr<policy::MemoryLedger> memory = std::make_shared<policy::MemoryLedger>();
  Dispatcher dispatcher;
  TurnScheduler turns{loop_thread.loop};
  // Null if callers are not identified.
  std::unique_ptr<auth::Authenticator> authenticator;
  std::unique_ptr<FramesFrontend> frames;
  std::unique_ptr<MysqlFrontend> mysql;
  std::uint64_t calls = 0;
  std::vector<AttemptRequest> attempts;
  std::vector<AttemptKey> cancelled;
};

}  // namespace rookproxy::test
