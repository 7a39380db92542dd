// Graceful shutdown: the decision as a table, then the real process with signals at every stage.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <fstream>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <map>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/dns_response.h"
#include "fakes/fake_discovery_server.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "frontend/frame_codec.h"
#include "frontend/frames_frontend.h"
#include "net/clock.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "policy/shutdown.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/request_frame.h"
#include "support/require.h"
#include "support/scenario.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

using policy::shutdown_times;
using policy::ShutdownAction;
using policy::ShutdownState;
using policy::ShutdownStep;

TEST_CASE("shutdown: every time limit lies before the earliest SIGKILL, for every longest deadline") {
  for (const Duration longest_deadline :
       {0ms, 100ms, 300ms, 500ms, 1000ms, 1500ms, 2900ms, 3000ms, 25'000ms}) {
    const auto times = shutdown_times(longest_deadline);
    const Duration earliest_kill = std::min<Duration>(longest_deadline, 3s) + 700ms;
    CAPTURE(longest_deadline.count());
    // The protocol still permits new connections for 0.4 s, and requests on open ones for 0.2 s more.
    CHECK(times.accept_until >= 400ms);
    CHECK(times.accept_until < earliest_kill);
    CHECK(times.serve_until >= 600ms);
    CHECK(times.receive_until >= times.serve_until);
    CHECK(times.exit_by >= times.receive_until);
    CHECK(times.exit_by <= earliest_kill - 50ms);
    CHECK(policy::client_close_timeout(times, times.serve_until) >= 250ms);
    CHECK(policy::client_close_timeout(times, 20s) == 250ms);
    if (longest_deadline >= 300ms) CHECK(times.exit_by - times.receive_until >= 200ms);
    if (longest_deadline >= 2500ms)
      CHECK(times.receive_until == 2600ms);  // a request that takes 2 s to write
  }
}

struct ShutdownCase {
  const char* what;
  ShutdownState state;
  ShutdownAction action;
};

TEST_CASE("shutdown: the next step follows from the state") {
  constexpr auto kKeepRunning = ShutdownStep::kContinue, kReadInput = ShutdownStep::kDrainInput,
                 kCloseAll = ShutdownStep::kCloseClients, kExit = ShutdownStep::kExit;
  const auto times = shutdown_times(3s);
  const ShutdownCase cases[] = {
      {"just started, nothing open", {.elapsed = 0ms}, {kKeepRunning, true}},
      {"just started, requests open", {.elapsed = 0ms, .open_requests = 3}, {kKeepRunning, true}},
      {"a successor accepts connections", {.elapsed = 0ms, .successor_ready = true}, {kKeepRunning, false}},
      {"within the grace time", {.elapsed = 999ms, .has_connections = true}, {kKeepRunning, true}},
      {"grace time over", {.elapsed = 1000ms, .has_connections = true}, {kReadInput, true}},
      {"grace time over, requests open", {.elapsed = 1000ms, .open_requests = 1}, {kReadInput, true}},
      {"input drained",
       {.elapsed = 1000ms, .input_drained = true, .has_connections = true},
       {kCloseAll, true}},
      {"input drained, requests open",
       {.elapsed = 1s, .input_drained = true, .open_requests = 1},
       {kCloseAll, true}},
      {"input drained too early", {.elapsed = 999ms, .input_drained = true}, {kKeepRunning, true}},
      {"input never drained", {.elapsed = 2700ms, .has_connections = true}, {kCloseAll, true}},
      {"a request partly received",
       {.elapsed = 1000ms, .is_receiving = true, .input_drained = true},
       {kKeepRunning, true}},
      {"a request partly received for too long",
       {.elapsed = 2600ms, .is_receiving = true, .input_drained = true},
       {kCloseAll, true}},
      {"a successor is ready, grace time over",
       {.elapsed = 1s, .successor_ready = true},
       {kReadInput, false}},
      {"a successor is ready, input drained",
       {.elapsed = 1s, .successor_ready = true, .input_drained = true},
       {kCloseAll, false}},
      {"closing clients, a connection open",
       {.elapsed = 1100ms, .closing_clients = true, .has_connections = true},
       {kKeepRunning, false}},
      {"closing clients, a request open",
       {.elapsed = 1100ms, .closing_clients = true, .open_requests = 1},
       {kKeepRunning, true}},
      {"closing clients, a request open, shared listener",
       {.elapsed = 1100ms, .listener_is_shared = true, .closing_clients = true, .open_requests = 1},
       {kKeepRunning, false}},
      {"all clients closed", {.elapsed = 1100ms, .closing_clients = true}, {kExit, false}},
      {"past the exit time, an idle client",
       {.elapsed = 3550ms, .closing_clients = true, .has_connections = true, .idle_for = 250ms},
       {kExit, false}},
      {"past the exit time, a client just answered",
       {.elapsed = 20s, .closing_clients = true, .has_connections = true, .idle_for = 249ms},
       {kKeepRunning, false}},
      {"past the exit time, a request open",
       {.elapsed = 20s, .closing_clients = true, .has_connections = true, .open_requests = 1},
       {kKeepRunning, true}},
      {"never ready", {.elapsed = 0ms, .was_ready = false}, {kKeepRunning, false}},
      {"never ready, accept time over", {.elapsed = 500ms, .was_ready = false}, {kReadInput, true}},
      {"never ready, input drained",
       {.elapsed = 510ms, .was_ready = false, .input_drained = true},
       {kCloseAll, true}},
      {"never ready, shared listener",
       {.elapsed = 0ms, .was_ready = false, .listener_is_shared = true},
       {kExit, false}},
      {"was ready, shared listener", {.elapsed = 0ms, .listener_is_shared = true}, {kKeepRunning, true}},
  };
  for (const ShutdownCase& one : cases) {
    CAPTURE(one.what);
    const auto action = policy::next_shutdown_step(times, one.state);
    CHECK(action.step == one.action.step);
    CHECK(action.accept_clients == one.action.accept_clients);
  }
}

// Signals in any order, to the real process.

// A dispatcher blocked before it has read its configuration, which is a pipe that the test holds open.
class BlockedStart {
 public:
  BlockedStart() : BlockedStart(make_temporary_directory()) { owns_directory_ = true; }
  explicit BlockedStart(const std::string& folder)
      : directory_(folder), config_path_(folder + "/config.json") {
    ::signal(SIGPIPE, SIG_IGN);  // a dispatcher that exits leaves the pipe without a reader
  }
  ~BlockedStart() {
    if (owns_directory_) std::filesystem::remove_all(directory_);
  }
  DispatcherProcess& process() { return process_; }
  const std::string& folder() const { return directory_; }
  void start(const std::vector<FileDescriptor>& passed = {}) {
    std::filesystem::remove(config_path_);
    require(::mkfifo(config_path_.c_str(), 0600) == 0, "mkfifo failed");
    process_.start({directory_, directory_ + "/held.log"}, passed);
    // Returns once the dispatcher has opened the pipe for reading and waits for its content.
    pipe_ = FileDescriptor(::open(config_path_.c_str(), O_WRONLY | O_CLOEXEC));
    require(static_cast<bool>(pipe_), "the dispatcher did not open the pipe");
  }
  void release(const nlohmann::json& config) {
    const std::string text = config.dump();
    std::ofstream(config_path_ + ".new") << text;  // for later reads of the configuration
    std::filesystem::rename(config_path_ + ".new", config_path_);
    require(::write(pipe_.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size()),
            "short write of the configuration");
    pipe_.reset();
  }

 private:
  std::string directory_, config_path_;
  bool owns_directory_ = false;
  DispatcherProcess process_;
  FileDescriptor pipe_;
};

nlohmann::json make_config(const FakeDiscoveryServer* discovery) {
  nlohmann::json config = default_dispatcher_config();
  if (discovery) {
    config["nameserver"] = "127.0.0.1:" + std::to_string(discovery->port());
  } else {
    config["engines"] = nlohmann::json::array(
        {{{"id", "e"}, {"host_port", "127.0.0.1:9"}, {"locality", "z"}, {"flavor", "m"}}});
  }
  return config;
}

std::string call_id(std::size_t number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

// A request on stream 1 and a readiness query on stream 2.
std::string make_request_and_readiness_frames(std::size_t number) {
  const frames::Fields fields{{"op", "lookup"}, {"ttl", "9000"}, {"call", call_id(number)}};
  return encode_request_frame(1, fields, "SELECT 1") +
         frames::encode_frame(frames::kReadinessQuery, 2, std::string(1, '\0'));
}

void check_never_ready(const DispatcherProcess& process) {
  const std::string log = process.log();
  INFO(log);
  CHECK(log.find("draining") != std::string::npos);
  CHECK(log.find("ready to serve") == std::string::npos);
  CHECK(log.find("idle, so done") != std::string::npos);
}

}  // namespace

TEST_CASE("SIGTERM, SIGINT and SIGHUP before the configuration is read: exit with 0, never ready") {
  // Guards against signals before the handlers are installed, and against a listener opened by a process that
  // is about to exit.
  struct Row {
    std::vector<int> signals;
    bool discovery;
  };
  const Row rows[] = {{{SIGTERM}, true},          {{SIGTERM}, false},
                      {{SIGINT}, true},           {{SIGHUP, SIGTERM}, true},
                      {{SIGTERM, SIGHUP}, false}, {{SIGTERM, SIGTERM, SIGINT}, true}};
  for (const Row& row : rows) {
    CAPTURE(row.signals, row.discovery);
    FakeDiscoveryServer discovery;
    BlockedStart blocked;
    blocked.start();
    for (const int signal : row.signals) blocked.process().send_signal(signal);
    blocked.release(make_config(row.discovery ? &discovery : nullptr));
    CHECK(blocked.process().wait_for_exit() == 0);
    check_never_ready(blocked.process());
  }
}

TEST_CASE("SIGHUP before the configuration is read: the dispatcher starts") {
  BlockedStart blocked;
  blocked.start();
  blocked.process().send_signal(SIGHUP);
  blocked.release(make_config(nullptr));
  blocked.process().wait_for_log("reread");
  blocked.process().wait_for_log("ready to serve");
  blocked.process().send_signal(SIGTERM);
  CHECK(blocked.process().wait_for_exit() == 0);
}

TEST_CASE("SIGTERM while discovery delays its response: never ready, and waiting clients are served") {
  // Guards against the timer that opens the listener after the wait although a signal arrived, and against a
  // backlog lost with the process.
  AutoReplyLineEngine engine;
  FileDescriptor discovery = bind_udp({0x7f000001, 0});
  nlohmann::json config = default_dispatcher_config();
  config["nameserver"] = "127.0.0.1:" + std::to_string(local_port(discovery));
  config["known"]["batch"] = make_known_batch({{"e", engine.port()}});
  BlockedStart blocked;
  blocked.start();
  blocked.release(config);
  require(wait_until_readable(discovery, kWaitLimit), "service discovery received no query");
  TestConnection client = TestConnection::connect(static_cast<std::uint16_t>(
      std::stoi(blocked.process().wait_for_log("start [rookproxy@32473 port=\""))));
  client.send(make_request_and_readiness_frames(1));
  blocked.process().send_signal(SIGTERM);
  blocked.process().wait_for_log("draining");
  char query[512];
  sockaddr_in from{};
  socklen_t size = sizeof from;
  const ssize_t received =
      ::recvfrom(discovery.get(), query, sizeof query, 0, reinterpret_cast<sockaddr*>(&from), &size);
  require(received > 12, "no DNS query received");
  const std::string response = make_dns_response({query, static_cast<std::size_t>(received)}, 1, {});
  ::sendto(discovery.get(), response.data(), response.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
  CHECK(client.wait_for_end());
  CHECK_FALSE(client.was_reset());
  std::size_t used = 0, served = 0, not_ready = 0;
  for (frames::Frame frame;
       frames::parse_frame(client.buffer(), frame, used) == frames::ParseStatus::kComplete;) {
    if (frame.type == frames::kResponse && frame.payload[0] == 0) ++served;
    if (frame.type == frames::kReadiness && frame.payload[0] == 1) ++not_ready;
    client.take(used);
  }
  CHECK(served == 1);
  CHECK(not_ready == 1);
  client.close();
  CHECK(blocked.process().wait_for_exit() == 0);
  const std::string log = blocked.process().log();
  INFO(log);
  const auto ready = log.find("ready to serve");
  CHECK((ready == std::string::npos || ready < log.find("draining")));
}

TEST_CASE(
    "hot restart: SIGTERM to the successor before it is ready, and the predecessor continues to serve") {
  const std::string folder = make_temporary_directory();
  std::vector<FileDescriptor> passed;
  passed.push_back(listen_on_free_port());
  nlohmann::json config = make_config(nullptr);
  config["listen"] = "127.0.0.1:" + std::to_string(local_port(passed[0]));
  std::ofstream(folder + "/config.json") << config.dump();
  DispatcherProcess predecessor;
  predecessor.start({folder, folder + "/former.log"}, passed);
  predecessor.wait_for_log("ready to serve");
  BlockedStart successor(folder);
  successor.start(passed);
  successor.process().send_signal(SIGTERM);
  successor.release(config);
  CHECK(successor.process().wait_for_exit() == 0);
  check_never_ready(successor.process());
  CHECK(call_admin(predecessor, "STATUS").starts_with("+OK"));
  predecessor.send_signal(SIGTERM);
  CHECK(predecessor.wait_for_exit() == 0);
  std::filesystem::remove_all(folder);
}

TEST_CASE("SIGTERM with other signals, in any order: accepted requests are answered and the exit code is 0") {
  const std::pair<const char*, const char*> signal_sequences[] = {
      {"SIGHUP and SIGTERM in one iteration", "signal STOP\nsignal HUP\nsignal TERM\nsignal CONT\n"},
      {"SIGTERM, then SIGHUP", "signal TERM\nexpect log draining\nsignal HUP\nexpect log reread\n"},
      {"SIGTERM, then SIGHUP with an invalid file",
       "signal TERM\nexpect log draining\nconfigure {\nsignal HUP\nexpect log the former settings stay\n"},
      {"SIGHUP with an invalid file, and SIGTERM in one iteration",
       "configure {\nsignal STOP\nsignal HUP\nsignal TERM\nsignal CONT\nexpect log the former settings "
       "stay\n"},
      {"SIGTERM twice", "signal TERM\nexpect log draining\nsignal TERM\n"},
      {"SIGTERM, then SIGINT", "signal TERM\nexpect log draining\nsignal INT\n"},
      {"SIGTERM and SIGINT in one iteration", "signal STOP\nsignal INT\nsignal TERM\nsignal CONT\n"}};
  for (const auto& [what, signals] : signal_sequences) {
    DYNAMIC_SECTION(what) {
      run_scenario(
          std::string("engines a\nstart\nclient c\nsend c request 1 load 20000 INSERT INTO s_1.t VALUES (1)\n"
                      "expect a REQ\n") +
          signals + "expect c goaway\nsend a data parts=1 one\\n\nexpect c served 1 one\\n\n" +
          "expect c eof\nclose c\nexpect dispatcher exit 0\nexpect a requests 1\n");
    }
  }
}

TEST_CASE(
    "SIGTERM with a client that reads nothing: its response and an orderly end can be read after the exit") {
  run_scenario(R"(
    engines a
    start
    client c
    send c request 1 load 3000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    send a data parts=1 one\n
    expect figure passed.load=1
    signal TERM
    expect dispatcher exit 0
    expect c served 1 one\n
    expect c goaway
    expect c eof
    expect a requests 1)");
}

TEST_CASE(
    "SIGTERM at each step of a request's life: one final response, an orderly end, a load runs at most "
    "once") {
  // `before` precedes SIGTERM and `after` follows it. Then the client's connection ends with nothing more on
  // it, and the engine has received `requests` requests.
  struct Step {
    const char* what;
    std::string before, after;
    int requests;
  };
  const Step steps[] = {
      {"an idle connection", "", "", 0},
      {"half a frame, never completed", "send c begin request 1 CLASS 3000 INSERT", "", 0},
      {"half a frame, then the rest", "send c begin request 1 CLASS 3000 INSERT",
       "send c finish\nexpect a REQ\nsend a data parts=1 one\\n\nexpect c served 1 one\\n", 1},
      {"no attempt yet", "fill a\nsend c request 1 CLASS HANG INSERT", "expect c final 1", 0},
      {"the engine hangs", "send c request 1 CLASS HANG INSERT\nexpect a REQ", "expect c failed 1", 1},
      {"the engine hangs, a second request is open",
       "send c request 1 CLASS HANG INSERT\nexpect a REQ\nsend c request 2 CLASS HANG INSERT\nexpect a REQ",
       "expect c failed 1\nexpect c failed 2", 2},
      {"half a response, then the rest",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsend a begin data parts=1 one\\n",
       "send a finish\nexpect c served 1 one\\n", 1},
      {"half a response, never completed",
       "send c request 1 CLASS HANG INSERT\nexpect a REQ\nsend a begin data parts=1 one\\n",
       "expect c failed 1", 1},
      {"response received",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsend a data parts=1 one\\n\n"
       "expect c served 1 one\\n",
       "", 1},
      {"response sent while the process is stopped",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsignal STOP\nsend a data parts=1 one\\n",
       "expect c served 1 one\\n", 1},
  };
  for (const char* cls : {"lookup", "load"}) {
    for (const Step& step : steps) {
      DYNAMIC_SECTION(step.what << ", " << cls) {
        // A load with too short a timeout would not be sent at all.
        const std::map<std::string, std::string> substitutions{
            {"CLASS", cls}, {"HANG", cls == std::string("lookup") ? "900" : "3000"}};
        std::string scenario = "engines a\nstart\nclient c\nsend c ready 900\nexpect c ready 0\n" +
                               step.before + "\nsignal TERM\nsignal CONT\nexpect c goaway among\n" +
                               step.after + "\nexpect c eof\nclose c\nexpect dispatcher exit 0\n";
        // A lookup may be retried, a load never.
        if (cls == std::string("load")) scenario += "expect a requests " + std::to_string(step.requests);
        for (const auto& [placeholder, value] : substitutions) {
          for (std::size_t at; (at = scenario.find(placeholder)) != std::string::npos;)
            scenario.replace(at, placeholder.size(), value);
        }
        run_scenario(scenario);
      }
    }
  }
}

TEST_CASE(
    "SIGTERM: idle clients are closed while a request is open, and their later requests are not forwarded") {
  // Guards against idle clients that are open until SIGKILL because one engine hangs, and against a reset for
  // a client that sends a late request.
  run_scenario(R"(
    engines a
    start
    client rests
    client asks
    send rests request 1 lookup 3000 SELECT 1
    expect a REQ
    send a data parts=1 one\n
    expect rests served 1 one\n
    send asks request 1 load 20000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    signal TERM
    expect rests goaway
    expect rests eof
    send rests request 2 load 20000 INSERT INTO s_1.t VALUES (2)
    expect a nothing 100
    close rests
    send a data parts=1 two\n
    expect asks goaway
    expect asks served 1 two\n
    expect asks eof
    close asks
    expect dispatcher exit 0
    expect a requests 2)");
}

TEST_CASE("readiness: twenty dispatchers restarted together become ready with discovery up, down or silent") {
  // Guards against a start that waits long for discovery, and against a request accepted before it can be
  // served: each client's request waits in the backlog before its dispatcher opens the listener, and only
  // discovery names the live engine.
  struct Row {
    const char* what;
    bool up, bound;
  };
  for (const Row& row : {Row{"up", true, true}, Row{"down", false, false}, Row{"silent", false, true}}) {
    CAPTURE(row.what);
    AutoReplyLineEngine engine;
    FakeDiscoveryServer discovery;
    EngineEndpoint member;
    member.id = "e";
    member.address = {0x7f000001, engine.port()};
    member.machine_type = "m";
    discovery.set_endpoints({member});
    FileDescriptor silent = bind_udp({0x7f000001, 0});
    const std::uint16_t silent_port = local_port(silent);
    if (!row.bound) silent.reset();
    std::vector<BlockedStart> processes(20);
    std::vector<Duration> ready_after;
    std::vector<FileDescriptor> listeners;
    const Time from = monotonic_now();
    for (auto& one : processes) {
      std::vector<FileDescriptor> passed;  // so that its address is known
      passed.push_back(listen_on_free_port());
      nlohmann::json config = default_dispatcher_config();
      config["listen"] = "127.0.0.1:" + std::to_string(local_port(passed[0]));
      config["nameserver"] = "127.0.0.1:" + std::to_string(row.up ? discovery.port() : silent_port);
      if (!row.up) config["known"]["batch"] = make_known_batch({{"e", engine.port()}});
      one.start(passed);
      listeners.push_back(std::move(passed[0]));
      one.release(config);
    }
    std::vector<TestConnection> clients;
    for (const FileDescriptor& listener : listeners) {
      clients.push_back(TestConnection::connect(local_port(listener)));
      clients.back().send(make_request_and_readiness_frames(clients.size()));
    }
    std::size_t served = 0;
    for (TestConnection& client : clients) {
      for (int left = 2; left > 0;) {
        frames::Frame frame;
        std::size_t used = 0;
        if (frames::parse_frame(client.buffer(), frame, used) != frames::ParseStatus::kComplete) {
          require(client.read_more(), "no response");
          continue;
        }
        --left;
        if (frame.type == frames::kReadiness && frame.payload[0] == 0)
          ready_after.push_back(std::chrono::duration_cast<Duration>(monotonic_now() - from));
        if (frame.type == frames::kResponse && frame.payload[0] == 0) ++served;
        client.take(used);
      }
    }
    CHECK(served == 20);
    REQUIRE(ready_after.size() == 20);
    std::sort(ready_after.begin(), ready_after.end());
    WARN("discovery " << row.what << ": 18 of 20 ready after " << ready_after[17].count() / 1000
                      << " ms, all after " << ready_after[19].count() / 1000 << " ms");
    CHECK(ready_after[17] < 10s);
    for (auto& one : processes) one.process().send_signal(SIGTERM);
    for (TestConnection& client : clients) client.close();
    for (auto& one : processes) CHECK(one.process().wait_for_exit() == 0);
  }
}

TEST_CASE("SIGTERM with the process stopped past the grace time: requests sent meanwhile are served") {
  // Guards against an exit by the clock alone: a wait interrupted by a signal has seen neither the backlog
  // nor unread bytes on open connections.
  run_scenario(R"(
    engines a
    start
    client c
    send c ready 900
    expect c ready 0
    signal TERM
    expect c goaway
    signal STOP
    send c request 1 lookup 9000 SELECT 1
    client d
    send d request 1 load 9000 INSERT INTO s_1.t VALUES (1)
    wait 1200
    signal CONT
    expect a REQ
    send a data parts=1 one\n
    expect a REQ
    send a data parts=1 one\n
    expect c served 1 one\n
    expect c eof
    close c
    expect d goaway among
    expect d served 1 one\n
    expect d eof
    close d
    expect dispatcher exit 0
    expect a requests 2)");
}
