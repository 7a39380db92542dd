// How the program ends: the decision by a table, then the real program, with signals at every moment.
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

TEST_CASE("shutdown: each time lies before the earliest SIGKILL, for every longest deadline") {
  for (const Duration longest : {0ms, 100ms, 300ms, 500ms, 1000ms, 1500ms, 2900ms, 3000ms, 25'000ms}) {
    const auto times = shutdown_times(longest);
    const Duration kill = std::min<Duration>(longest, 3s) + 700ms;
    CAPTURE(longest.count());
    // What the protocol says still comes: new connections for 0.4 s, requests on open ones 0.2 s more.
    CHECK(times.accept_until >= 400ms);
    CHECK(times.accept_until < kill);
    CHECK(times.serve_until >= 600ms);
    CHECK(times.receive_until >= times.serve_until);
    CHECK(times.exit_by >= times.receive_until);
    CHECK(times.exit_by <= kill - 50ms);
    CHECK(policy::client_close_timeout(times, times.serve_until) >= 250ms);
    CHECK(policy::client_close_timeout(times, 20s) == 250ms);
    if (longest >= 300ms) CHECK(times.exit_by - times.receive_until >= 200ms);
    if (longest >= 2500ms) CHECK(times.receive_until == 2600ms);  // a request that is written in 2 s
  }
}

struct ShutdownCase {
  const char* what;
  ShutdownState state;
  ShutdownAction order;
};

TEST_CASE("shutdown: what is done next, by what holds") {
  constexpr auto kGoOn = ShutdownStep::kContinue, kLook = ShutdownStep::kDrainInput,
                 kEndClients = ShutdownStep::kCloseClients, kExit = ShutdownStep::kExit;
  const auto times = shutdown_times(3s);
  const ShutdownCase cases[] = {
      {"at once, nothing open", {.elapsed = 0ms}, {kGoOn, true}},
      {"at once, requests open", {.elapsed = 0ms, .open_requests = 3}, {kGoOn, true}},
      {"a successor has the door", {.elapsed = 0ms, .successor_ready = true}, {kGoOn, false}},
      {"stragglers", {.elapsed = 999ms, .has_connections = true}, {kGoOn, true}},
      {"stragglers are over", {.elapsed = 1000ms, .has_connections = true}, {kLook, true}},
      {"stragglers are over, requests open", {.elapsed = 1000ms, .open_requests = 1}, {kLook, true}},
      {"all was seen",
       {.elapsed = 1000ms, .input_drained = true, .has_connections = true},
       {kEndClients, true}},
      {"all was seen, requests open",
       {.elapsed = 1s, .input_drained = true, .open_requests = 1},
       {kEndClients, true}},
      {"seen too early", {.elapsed = 999ms, .input_drained = true}, {kGoOn, true}},
      {"events never cease", {.elapsed = 2700ms, .has_connections = true}, {kEndClients, true}},
      {"a request on its way in",
       {.elapsed = 1000ms, .is_receiving = true, .input_drained = true},
       {kGoOn, true}},
      {"for too long", {.elapsed = 2600ms, .is_receiving = true, .input_drained = true}, {kEndClients, true}},
      {"the successor's backlog", {.elapsed = 1s, .successor_ready = true}, {kLook, false}},
      {"then", {.elapsed = 1s, .successor_ready = true, .input_drained = true}, {kEndClients, false}},
      {"ending, a connection open",
       {.elapsed = 1100ms, .closing_clients = true, .has_connections = true},
       {kGoOn, false}},
      {"ending, a request open",
       {.elapsed = 1100ms, .closing_clients = true, .open_requests = 1},
       {kGoOn, true}},
      {"ending, a request open, another's door",
       {.elapsed = 1100ms, .listener_is_shared = true, .closing_clients = true, .open_requests = 1},
       {kGoOn, false}},
      {"ended", {.elapsed = 1100ms, .closing_clients = true}, {kExit, false}},
      {"late, a client stays",
       {.elapsed = 3550ms, .closing_clients = true, .has_connections = true, .idle_for = 250ms},
       {kExit, false}},
      {"late, just answered",
       {.elapsed = 20s, .closing_clients = true, .has_connections = true, .idle_for = 249ms},
       {kGoOn, false}},
      {"late, a request open",
       {.elapsed = 20s, .closing_clients = true, .has_connections = true, .open_requests = 1},
       {kGoOn, true}},
      {"never opened", {.elapsed = 0ms, .was_ready = false}, {kGoOn, false}},
      {"never opened, newcomers over", {.elapsed = 500ms, .was_ready = false}, {kLook, true}},
      {"never opened, who waited was seen",
       {.elapsed = 510ms, .was_ready = false, .input_drained = true},
       {kEndClients, true}},
      {"never opened, another's door",
       {.elapsed = 0ms, .was_ready = false, .listener_is_shared = true},
       {kExit, false}},
      {"opened, another's door", {.elapsed = 0ms, .listener_is_shared = true}, {kGoOn, true}},
  };
  for (const ShutdownCase& one : cases) {
    CAPTURE(one.what);
    const auto order = policy::next_shutdown_step(times, one.state);
    CHECK(order.step == one.order.step);
    CHECK(order.accept_clients == one.order.accept_clients);
  }
}

// ---- signals in any order, to the real program

// A dispatcher that has read nothing yet: its configuration is a pipe that the test holds.
class BlockedStart {
 public:
  BlockedStart() : BlockedStart(make_temporary_directory()) { owns_directory_ = true; }
  explicit BlockedStart(const std::string& folder)
      : directory_(folder), config_path_(folder + "/config.json") {
    ::signal(SIGPIPE, SIG_IGN);  // a dispatcher that dies leaves the pipe without a reader
  }
  ~BlockedStart() {
    if (owns_directory_) std::filesystem::remove_all(directory_);
  }
  DispatcherProcess& process() { return process_; }
  const std::string& folder() const { return directory_; }
  void start(const std::vector<FileDescriptor>& passed = {}) {
    std::filesystem::remove(config_path_);
    require(::mkfifo(config_path_.c_str(), 0600) == 0, "no pipe");
    process_.start({directory_, directory_ + "/held.log"}, passed);
    // Comes back once the dispatcher has opened it to read: it is past its first lines, and waits.
    pipe_ = FileDescriptor(::open(config_path_.c_str(), O_WRONLY | O_CLOEXEC));
    require(static_cast<bool>(pipe_), "the pipe was not opened");
  }
  void release(const nlohmann::json& config) {
    const std::string text = config.dump();
    std::ofstream(config_path_ + ".new") << text;  // for whoever reads it again
    std::filesystem::rename(config_path_ + ".new", config_path_);
    require(::write(pipe_.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size()),
            "not written");
    pipe_.reset();
  }

 private:
  std::string directory_, config_path_;
  bool owns_directory_ = false;
  DispatcherProcess process_;
  FileDescriptor pipe_;
};

nlohmann::json make_config(const FakeDiscoveryServer* directory) {
  nlohmann::json config = default_dispatcher_config();
  if (directory) {
    config["nameserver"] = "127.0.0.1:" + std::to_string(directory->port());
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

// A request on stream 1, and on stream 2 the question whether the dispatcher is ready.
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

TEST_CASE("SIGTERM, SIGINT and SIGHUP before the configuration is read: ended in order, never ready") {
  // Guards against signals that find no handler yet, and against a door that opens for a process about to
  // leave.
  struct Row {
    std::vector<int> signals;
    bool directory;
  };
  const Row rows[] = {{{SIGTERM}, true},          {{SIGTERM}, false},
                      {{SIGINT}, true},           {{SIGHUP, SIGTERM}, true},
                      {{SIGTERM, SIGHUP}, false}, {{SIGTERM, SIGTERM, SIGINT}, true}};
  for (const Row& row : rows) {
    CAPTURE(row.signals, row.directory);
    FakeDiscoveryServer directory;
    BlockedStart held;
    held.start();
    for (const int signal : row.signals) held.process().send_signal(signal);
    held.release(make_config(row.directory ? &directory : nullptr));
    CHECK(held.process().wait_for_exit() == 0);
    check_never_ready(held.process());
  }
}

TEST_CASE("SIGHUP before the configuration is read: it starts all the same") {
  BlockedStart held;
  held.start();
  held.process().send_signal(SIGHUP);
  held.release(make_config(nullptr));
  held.process().wait_for_log("reread");
  held.process().wait_for_log("ready to serve");
  held.process().send_signal(SIGTERM);
  CHECK(held.process().wait_for_exit() == 0);
}

TEST_CASE("SIGTERM while the directory holds its answer: readiness never follows, and who waits is served") {
  // Guards against the timer that opens the door after the wait, whatever has come meanwhile, and against a
  // backlog that falls with the process.
  AutoReplyLineEngine engine;
  FileDescriptor directory = bind_udp({0x7f000001, 0});
  nlohmann::json config = default_dispatcher_config();
  config["nameserver"] = "127.0.0.1:" + std::to_string(local_port(directory));
  config["known"]["batch"] = make_known_batch({{"e", engine.port()}});
  BlockedStart held;
  held.start();
  held.release(config);
  require(wait_until_readable(directory, kWaitLimit), "the directory was never asked");
  TestConnection client = TestConnection::connect(
      static_cast<std::uint16_t>(std::stoi(held.process().wait_for_log("start [rookproxy@32473 port=\""))));
  client.send(make_request_and_readiness_frames(1));
  held.process().send_signal(SIGTERM);
  held.process().wait_for_log("draining");
  char question[512];
  sockaddr_in from{};
  socklen_t size = sizeof from;
  const ssize_t got =
      ::recvfrom(directory.get(), question, sizeof question, 0, reinterpret_cast<sockaddr*>(&from), &size);
  require(got > 12, "no question");
  const std::string answer = make_dns_response({question, static_cast<std::size_t>(got)}, 1, {});
  ::sendto(directory.get(), answer.data(), answer.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
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
  CHECK(held.process().wait_for_exit() == 0);
  const std::string log = held.process().log();
  INFO(log);
  const auto ready = log.find("ready to serve");
  CHECK((ready == std::string::npos || ready < log.find("draining")));
}

TEST_CASE("hot restart: SIGTERM to the successor before it is ready, and the former serves on") {
  const std::string folder = make_temporary_directory();
  std::vector<FileDescriptor> passed;
  passed.push_back(listen_on_free_port());
  nlohmann::json config = make_config(nullptr);
  config["listen"] = "127.0.0.1:" + std::to_string(local_port(passed[0]));
  std::ofstream(folder + "/config.json") << config.dump();
  DispatcherProcess former;
  former.start({folder, folder + "/former.log"}, passed);
  former.wait_for_log("ready to serve");
  BlockedStart successor(folder);
  successor.start(passed);
  successor.process().send_signal(SIGTERM);
  successor.release(config);
  CHECK(successor.process().wait_for_exit() == 0);
  check_never_ready(successor.process());
  CHECK(call_admin(former, "STATUS").starts_with("+OK"));
  former.send_signal(SIGTERM);
  CHECK(former.wait_for_exit() == 0);
  std::filesystem::remove_all(folder);
}

TEST_CASE("SIGTERM with other signals, in any order: what was taken is answered, and it ends with 0") {
  const std::pair<const char*, const char*> orders[] = {
      {"SIGHUP and SIGTERM in one turn", "signal STOP\nsignal HUP\nsignal TERM\nsignal CONT\n"},
      {"SIGTERM, then SIGHUP", "signal TERM\nexpect log draining\nsignal HUP\nexpect log reread\n"},
      {"SIGTERM, then SIGHUP with a broken file",
       "signal TERM\nexpect log draining\nconfigure {\nsignal HUP\nexpect log the former settings stay\n"},
      {"SIGHUP with a broken file, and SIGTERM in one turn",
       "configure {\nsignal STOP\nsignal HUP\nsignal TERM\nsignal CONT\nexpect log the former settings "
       "stay\n"},
      {"SIGTERM twice", "signal TERM\nexpect log draining\nsignal TERM\n"},
      {"SIGTERM, then SIGINT", "signal TERM\nexpect log draining\nsignal INT\n"},
      {"SIGTERM and SIGINT in one turn", "signal STOP\nsignal INT\nsignal TERM\nsignal CONT\n"}};
  for (const auto& [what, signals] : orders) {
    DYNAMIC_SECTION(what) {
      run_scenario(
          std::string("engines a\nstart\nclient c\nsend c request 1 load 20000 INSERT INTO s_1.t VALUES (1)\n"
                      "expect a REQ\n") +
          signals + "expect c goaway\nsend a data parts=1 one\\n\nexpect c served 1 one\\n\n" +
          "expect c eof\nclose c\nexpect dispatcher exit 0\nexpect a requests 1\n");
    }
  }
}

TEST_CASE("SIGTERM with a client that reads nothing: its answer and an orderly end are there when it does") {
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

TEST_CASE("SIGTERM at each step of a request's life: one final answer, an orderly end, unsafe runs once") {
  // `before` SIGTERM, and `after`; then the client has its end and nothing more, and the engine had so many
  // requests.
  struct Step {
    const char* what;
    std::string before, after;
    int requests;
  };
  const Step steps[] = {
      {"an idle connection", "", "", 0},
      {"half a frame, for good", "send c begin request 1 CLASS 3000 INSERT", "", 0},
      {"half a frame, then the rest", "send c begin request 1 CLASS 3000 INSERT",
       "send c finish\nexpect a REQ\nsend a data parts=1 one\\n\nexpect c served 1 one\\n", 1},
      {"no attempt yet", "fill a\nsend c request 1 CLASS HANG INSERT", "expect c final 1", 0},
      {"the engine hangs", "send c request 1 CLASS HANG INSERT\nexpect a REQ", "expect c failed 1", 1},
      {"the engine hangs, the client has asked again",
       "send c request 1 CLASS HANG INSERT\nexpect a REQ\nsend c request 2 CLASS HANG INSERT\nexpect a REQ",
       "expect c failed 1\nexpect c failed 2", 2},
      {"half an answer, then the rest",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsend a begin data parts=1 one\\n",
       "send a finish\nexpect c served 1 one\\n", 1},
      {"half an answer, for good",
       "send c request 1 CLASS HANG INSERT\nexpect a REQ\nsend a begin data parts=1 one\\n",
       "expect c failed 1", 1},
      {"answered",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsend a data parts=1 one\\n\n"
       "expect c served 1 one\\n",
       "", 1},
      {"answered as it stops",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsignal STOP\nsend a data parts=1 one\\n",
       "expect c served 1 one\\n", 1},
  };
  for (const char* cls : {"lookup", "load"}) {
    for (const Step& step : steps) {
      DYNAMIC_SECTION(step.what << ", " << cls) {
        // Of a load that is too short for its time nothing would be sent at all.
        const std::map<std::string, std::string> words{
            {"CLASS", cls}, {"HANG", cls == std::string("lookup") ? "900" : "3000"}};
        std::string scenario = "engines a\nstart\nclient c\nsend c ready 900\nexpect c ready 0\n" +
                               step.before + "\nsignal TERM\nsignal CONT\nexpect c goaway among\n" +
                               step.after + "\nexpect c eof\nclose c\nexpect dispatcher exit 0\n";
        // A lookup may be tried again, a load never.
        if (cls == std::string("load")) scenario += "expect a requests " + std::to_string(step.requests);
        for (const auto& [word, value] : words) {
          for (std::size_t at; (at = scenario.find(word)) != std::string::npos;)
            scenario.replace(at, word.size(), value);
        }
        run_scenario(scenario);
      }
    }
  }
}

TEST_CASE(
    "SIGTERM: resting clients are ended while a request is open, and what they send then is not sent on") {
  // Guards against resting clients that SIGKILL ends because one engine hangs, and against a reset for who
  // asks late.
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

TEST_CASE("readiness: twenty restarted together, with the directory up, down and silent") {
  // Guards against a start that waits for the directory for long, and against a request that is taken before
  // it can be served: each client's lies at the door before its dispatcher opens, and only the directory
  // names the engine that lives.
  struct Row {
    const char* what;
    bool up, bound;
  };
  for (const Row& row : {Row{"up", true, true}, Row{"down", false, false}, Row{"silent", false, true}}) {
    CAPTURE(row.what);
    AutoReplyLineEngine engine;
    FakeDiscoveryServer directory;
    EngineEndpoint member;
    member.id = "e";
    member.address = {0x7f000001, engine.port()};
    member.machine_type = "m";
    directory.set_endpoints({member});
    FileDescriptor silent = bind_udp({0x7f000001, 0});
    const std::uint16_t silent_port = local_port(silent);
    if (!row.bound) silent.reset();
    std::vector<BlockedStart> all(20);
    std::vector<Duration> took;
    std::vector<FileDescriptor> doors;
    const Time from = monotonic_now();
    for (auto& one : all) {
      std::vector<FileDescriptor> passed;  // so that its address is known
      passed.push_back(listen_on_free_port());
      nlohmann::json config = default_dispatcher_config();
      config["listen"] = "127.0.0.1:" + std::to_string(local_port(passed[0]));
      config["nameserver"] = "127.0.0.1:" + std::to_string(row.up ? directory.port() : silent_port);
      if (!row.up) config["known"]["batch"] = make_known_batch({{"e", engine.port()}});
      one.start(passed);
      doors.push_back(std::move(passed[0]));
      one.release(config);
    }
    std::vector<TestConnection> clients;
    for (const FileDescriptor& door : doors) {
      clients.push_back(TestConnection::connect(local_port(door)));
      clients.back().send(make_request_and_readiness_frames(clients.size()));
    }
    std::size_t served = 0;
    for (TestConnection& client : clients) {
      for (int left = 2; left > 0;) {
        frames::Frame frame;
        std::size_t used = 0;
        if (frames::parse_frame(client.buffer(), frame, used) != frames::ParseStatus::kComplete) {
          require(client.read_more(), "no answer");
          continue;
        }
        --left;
        if (frame.type == frames::kReadiness && frame.payload[0] == 0)
          took.push_back(std::chrono::duration_cast<Duration>(monotonic_now() - from));
        if (frame.type == frames::kResponse && frame.payload[0] == 0) ++served;
        client.take(used);
      }
    }
    CHECK(served == 20);
    REQUIRE(took.size() == 20);
    std::sort(took.begin(), took.end());
    WARN("directory " << row.what << ": 18 of 20 ready after " << took[17].count() / 1000 << " ms, all after "
                      << took[19].count() / 1000 << " ms");
    CHECK(took[17] < 10s);
    for (auto& one : all) one.process().send_signal(SIGTERM);
    for (TestConnection& client : clients) client.close();
    for (auto& one : all) CHECK(one.process().wait_for_exit() == 0);
  }
}

TEST_CASE("SIGTERM, and the process stands still over the stragglers' time: who asked meanwhile is served") {
  // Guards against an exit by the clock alone: a wait that a signal cut short has seen neither the backlog
  // nor what lies unread on open connections.
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
