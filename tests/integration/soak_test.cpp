// A soak: seeded mixes of flooding clients, a crowd of idle ones and signals, against usual clients that keep
// using their connections until the process is killed. ROOKPROXY_SOAK_SEEDS sets the number of seeds, and
// ROOKPROXY_SOAK_FIRST_SEED the first one.
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "support/flood_messages.h"
#include "support/flooded_dispatcher.h"
#include "support/flooding_client.h"
#include "support/frames_client.h"
#include "support/mysql_client.h"
#include "support/request_frame.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;
using Protocol = FloodedDispatcher::Protocol;

constexpr int kDefaultSeeds = 12;
constexpr std::size_t kMemoryMegabytes = 96;
constexpr std::size_t kDescriptors = 512;
constexpr std::size_t kCrowdSize = 250;
constexpr auto kTimeBeforeSigterm = 1500ms;
// The protocol: clients connect for so long after SIGTERM, and SIGKILL comes no earlier than this after it.
constexpr auto kConnectAfterSigterm = 300ms;
constexpr auto kKillAfterSigterm = 3700ms;
// How long a usual client waits, with the slack of the protocol.
constexpr auto kFramesTimeout = 1000ms;
constexpr auto kMysqlTimeout = 3000ms;
constexpr auto kSlack = 50ms;
// A request that crosses the close of its connection is sent again by its client.
constexpr auto kCrossingTime = 50ms;

constexpr std::array<MakeMessage, 5> kFrames{readiness_query, request_without_id, request_of_unknown_class,
                                             request_of_new_table, cancelled_request};
constexpr std::array<MakeMessage, 4> kCommands{ping, unknown_command, close_unknown_statement,
                                               query_of_new_table};

int environment_or(const char* name, int otherwise) {
  const char* value = std::getenv(name);
  return value ? std::atoi(value) : otherwise;
}

// What the seed decides.
struct Plan {
  explicit Plan(unsigned seed) : random(seed) {
    protocol = pick(2) == 0 ? Protocol::kFrames : Protocol::kMysql;
    flooding_clients = 1 + pick(8);
    has_crowd = protocol == Protocol::kFrames && pick(3) == 0;
    hangups = pick(4);
    extra_signals = pick(3);
  }
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random); }

  std::mt19937 random;
  Protocol protocol = Protocol::kFrames;
  int flooding_clients = 0;
  bool has_crowd = false;
  // SIGHUPs before SIGTERM, and further signals after it.
  int hangups = 0;
  int extra_signals = 0;
};

// Broken rules, from all threads.
class Violations {
 public:
  void add(const std::string& text) {
    const std::lock_guard lock(mutex_);
    texts_ += text + "; ";
  }
  [[nodiscard]] std::string texts() {
    const std::lock_guard lock(mutex_);
    return texts_;
  }

 private:
  std::mutex mutex_;
  std::string texts_;
};

// Sends one request after another and judges what comes of each.
class UsualClient {
 public:
  UsualClient(const FloodedDispatcher& dispatcher, Protocol protocol, Violations& violations)
      : dispatcher_(dispatcher), protocol_(protocol), violations_(violations), thread_([this] { run(); }) {}
  ~UsualClient() {
    stop_requested_ = true;
    thread_.join();
  }
  UsualClient(const UsualClient&) = delete;
  UsualClient& operator=(const UsualClient&) = delete;

  void stop_connecting() { may_connect_ = false; }
  [[nodiscard]] int answered() const { return answered_; }

 private:
  void run() {
    while (!stop_requested_ && may_connect_) {
      try {
        use(dispatcher_.connect());
      } catch (const std::exception&) {
        std::this_thread::sleep_for(5ms);  // A connection that was shut before its first request.
      }
    }
  }

  void use(TestConnection connection) {
    FramesClient frames(std::move(connection));
    std::uint32_t stream = 0;
    while (!stop_requested_) {
      const auto sent_at = steady_clock::now();
      const bool is_answered =
          protocol_ == Protocol::kFrames ? exchange_frames(frames, ++stream) : exchange_mysql(frames);
      const auto took = steady_clock::now() - sent_at;
      if (!is_answered) {
        if (took > kCrossingTime && !stop_requested_) violations_.add("a request got no answer");
        return;
      }
      ++answered_;
      const auto timeout = protocol_ == Protocol::kFrames ? kFramesTimeout : kMysqlTimeout;
      if (took > timeout + kSlack) violations_.add("an answer came late");
      std::this_thread::sleep_for(5ms);
    }
  }

  static bool exchange_frames(FramesClient& client, std::uint32_t stream) {
    client.send(encode_request_frame(
        stream, {{"op", "lookup"}, {"call", random_name()}, {"ttl", std::to_string(kFramesTimeout.count())}},
        "SELECT a FROM marks_1.t"));
    while (const auto frame = client.next_frame()) {
      if (frame->type == frames::kResponse && frame->stream_id == stream) return true;
    }
    return false;
  }

  static bool exchange_mysql(FramesClient& client) {
    std::uint8_t sequence = 0;
    client.send(mysql::split_into_packets("\3SELECT rows_1", sequence));
    mysql::ResponseTracker tracker(mysql::ResponseTracker::Kind::kPlain);
    while (const auto message = read_mysql_message(client.connection())) {
      if (tracker.on_packet(message->payload, message->payload.size())) return true;
    }
    return false;
  }

  const FloodedDispatcher& dispatcher_;
  Protocol protocol_;
  Violations& violations_;
  std::atomic<bool> may_connect_{true};
  std::atomic<bool> stop_requested_{false};
  std::atomic<int> answered_{0};
  std::thread thread_;
};

std::vector<std::unique_ptr<FloodingClient>> start_flood(const FloodedDispatcher& dispatcher, Plan& plan) {
  std::vector<std::unique_ptr<FloodingClient>> flood;
  for (int client = 0; client < plan.flooding_clients; ++client) {
    const MakeMessage message =
        plan.protocol == Protocol::kFrames
            ? kFrames[static_cast<std::size_t>(plan.pick(static_cast<int>(kFrames.size())))]
            : kCommands[static_cast<std::size_t>(plan.pick(static_cast<int>(kCommands.size())))];
    const ResponseUse use = plan.pick(4) == 0 ? ResponseUse::kLeaveUnread : ResponseUse::kRead;
    flood.push_back(
        std::make_unique<FloodingClient>([&] { return dispatcher.connect(); }, repeat(message), use));
  }
  return flood;
}

// Sends signals at random times within `time`.
void send_signals(const DispatcherProcess& process, Plan& plan, int count, const std::vector<int>& numbers,
                  std::chrono::milliseconds time) {
  const auto end = steady_clock::now() + time;
  for (int signal = 0; signal < count; ++signal) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(plan.pick(static_cast<int>(time.count()) / (count + 1))));
    process.send_signal(numbers[static_cast<std::size_t>(plan.pick(static_cast<int>(numbers.size())))]);
  }
  std::this_thread::sleep_until(end);
}

// Samples the memory of a process on a thread of its own.
class MemorySampler {
 public:
  explicit MemorySampler(const DispatcherProcess& process) : process_(process), thread_([this] { run(); }) {}
  ~MemorySampler() {
    stop_requested_ = true;
    thread_.join();
  }
  MemorySampler(const MemorySampler&) = delete;
  MemorySampler& operator=(const MemorySampler&) = delete;
  [[nodiscard]] std::size_t most() const { return most_; }

 private:
  void run() {
    while (!stop_requested_) {
      most_ = std::max<std::size_t>(most_, process_.anonymous_memory());
      std::this_thread::sleep_for(10ms);
    }
  }

  const DispatcherProcess& process_;
  std::atomic<bool> stop_requested_{false};
  std::atomic<std::size_t> most_{0};
  std::thread thread_;
};

void play(unsigned seed) {
  Plan plan(seed);
  CAPTURE(seed, static_cast<int>(plan.protocol), plan.flooding_clients, plan.has_crowd);
  FloodedDispatcher dispatcher(plan.protocol, kMemoryMegabytes, kDescriptors);
  DispatcherProcess& process = dispatcher.process();
  const MemorySampler memory(process);
  std::vector<TestConnection> crowd;
  while (plan.has_crowd && crowd.size() < kCrowdSize) crowd.push_back(dispatcher.connect());
  Violations violations;
  int answered = 0;
  {
    UsualClient first(dispatcher, plan.protocol, violations);
    UsualClient second(dispatcher, plan.protocol, violations);
    const auto flood = start_flood(dispatcher, plan);
    send_signals(process, plan, plan.hangups, {SIGHUP}, kTimeBeforeSigterm);
    answered = std::min(first.answered(), second.answered());
    CHECK_FALSE(process.has_ended());
    process.send_signal(SIGTERM);
    send_signals(process, plan, plan.extra_signals, {SIGTERM, SIGINT, SIGHUP}, kConnectAfterSigterm);
    first.stop_connecting();
    second.stop_connecting();
    for (const auto& client : flood) client->stop_connecting();
    const auto kill_at = steady_clock::now() + kKillAfterSigterm - kConnectAfterSigterm;
    while (steady_clock::now() < kill_at && !process.has_ended()) std::this_thread::sleep_for(10ms);
    process.send_signal(SIGKILL);
    const int exit_code = process.wait_for_exit();
    CHECK((exit_code == 0 || exit_code == 128 + SIGKILL));
  }
  CHECK(violations.texts() == "");
  CHECK(answered > 5);
#ifndef __SANITIZE_ADDRESS__
  CHECK(memory.most() < kMemoryMegabytes << 20);
#endif
}

}  // namespace

TEST_CASE("soak: usual clients are answered in time beside floods, a crowd and signals in series") {
  const int first = environment_or("ROOKPROXY_SOAK_FIRST_SEED", 1);
  const int count = environment_or("ROOKPROXY_SOAK_SEEDS", kDefaultSeeds);
  for (int seed = first; seed < first + count; ++seed) play(static_cast<unsigned>(seed));
}

}  // namespace rookproxy::test
