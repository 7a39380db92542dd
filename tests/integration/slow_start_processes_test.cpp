// An engine in slow start under the total load of a cluster of real processes.
#include <signal.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <thread>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "frontend/frame_codec.h"
#include "frontend/frames_frontend.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/require.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

constexpr std::size_t kProcesses = 20;
// Share of its capacity with which the engine starts.
constexpr double kInitialShare = 0.3;
// Load, as a multiple of its current capacity, at which the engine fails if it lasts for `kOverloadWindow`
// (in seconds).
constexpr double kOverloadFactor = 3;
constexpr double kOverloadWindow = 1;
constexpr double kCores = 8;
// Share of an engine's capacity that dispatchers use.
constexpr double kTargetUtilization = 0.85;
constexpr std::uint32_t kTableGroups = 40;

json engine_entry(const std::string& id, const AutoReplyLineEngine& engine, std::int64_t started_ms) {
  return {{"id", id},
          {"host_port", "127.0.0.1:" + std::to_string(engine.port())},
          {"locality", "z"},
          {"flavor", "m"},
          {"phase", "up"},
          {"size", 1},
          {"up_since_ms", started_ms}};
}

std::string encode_request(std::uint32_t stream, std::uint64_t call, const std::string& work_ms) {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(call));
  const frames::Fields fields{{"op", "lookup"}, {"ttl", "3000"}, {"call", id}, {"work", work_ms}};
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [key, value] : fields) {
    payload += static_cast<char>(key.size()) + key;
    payload += static_cast<char>(value.size() >> 8);
    payload += static_cast<char>(value.size()) + value;
  }
  // Spreads the table groups over all engines.
  const std::string group = std::to_string(stream % kTableGroups);
  return frames::encode_frame(frames::kRequest, stream, payload + "SELECT x FROM sales_" + group + ".orders");
}

// Dispatcher processes with two warm engines and a third that has just started.
class DispatcherCluster {
 public:
  DispatcherCluster() : config_(default_dispatcher_config()) {
    json members = json::array({engine_entry("warm-1", warm_[0], 0), engine_entry("warm-2", warm_[1], 0)});
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    members.push_back(engine_entry("cold", new_engine_,
                                   std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
    config_["known"]["batch"] =
        json::array({{{"offset", 1},
                      {"topology", {{"revision", 1}, {"complete", true}, {"members", std::move(members)}}}}});
    config_["settings"]["fleet_size"] = kProcesses;
    config_["settings"]["safety"].update(
        {{"cold_from", kInitialShare},
         {"cold", 15'000'000},
         {"fall_multiple", kOverloadFactor},
         {"overload_for", static_cast<std::int64_t>(kOverloadWindow * 1e6)}});
    new_engine_.record_statements();
  }
  ~DispatcherCluster() {
    processes_.clear();
    std::filesystem::remove_all(root_);
  }
  // Starts all processes at once. Those of an earlier start are killed.
  void restart() {
    processes_.clear();
    clients_.clear();
    ++starts_;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      const std::string folder = root_ + "/" + std::to_string(i);
      std::filesystem::create_directory(folder);
      config_["settings"]["ordinal"] = i;
      std::ofstream(folder + "/config.json") << config_.dump();
      processes_.emplace_back();
      processes_.back().start({folder, folder + "/log" + std::to_string(starts_)});
    }
    for (const DispatcherProcess& process : processes_) {
      process.wait_for_log("ready to serve");
      clients_.push_back(TestConnection::connect(
          static_cast<std::uint16_t>(std::stoi(process.wait_for_log("start [rookproxy@32473 port=\"")))));
    }
  }
  // Each client sends `at_a_time` requests, waits for all responses, and repeats this for the duration.
  void send_for(std::chrono::milliseconds duration, std::uint32_t at_a_time, const std::string& work_ms) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      for (std::size_t i = 0; i < clients_.size(); ++i) {
        for (std::uint32_t n = 0; n < at_a_time; ++n)
          clients_[i].send(encode_request(n + 1, ++calls_, work_ms));
      }
      for (TestConnection& client : clients_) {
        for (std::uint32_t n = 0; n < at_a_time; ++n) receive_response(client);
      }
    }
  }
  // The largest number of requests that reached the new engine within an overload window.
  std::size_t max_in_window() {
    const auto times = new_engine_.arrival_times();
    std::size_t largest = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= std::chrono::duration<double>(kOverloadWindow)) ++first;
      largest = std::max(largest, last - first + 1);
    }
    return largest;
  }
  int served() const { return served_; }
  int rejected() const { return rejected_; }

 private:
  void receive_response(TestConnection& client) {
    frames::Frame frame;
    std::size_t used = 0;
    while (frames::parse_frame(client.buffer(), frame, used) != frames::ParseStatus::kComplete) {
      require(client.read_more(), "no response");
    }
    ++(frame.payload[0] == frames::kServed ? served_ : rejected_);
    client.take(used);
  }
  std::string root_ = make_temporary_directory();
  json config_;
  AutoReplyLineEngine warm_[2];
  AutoReplyLineEngine new_engine_;
  std::vector<DispatcherProcess> processes_;
  std::vector<TestConnection> clients_;
  std::uint64_t calls_ = 0;
  int starts_ = 0;
  int served_ = 0;
  int rejected_ = 0;
};

}  // namespace

TEST_CASE("slow start: the sum of twenty processes does not overload an engine that has just started") {
  // Guards against an overload that no single process sees: the share of each is small, the sum is not. All
  // processes are also killed and restarted within the slow start.
  const auto [work_ms, at_a_time] = GENERATE(std::pair(20.0, 24u), std::pair(100.0, 12u));
  const double max_allowed =
      kOverloadFactor * kInitialShare * kTargetUtilization * kCores * kOverloadWindow * 1000 / work_ms;
  DispatcherCluster cluster;
  cluster.restart();
  cluster.send_for(1500ms, at_a_time, std::to_string(work_ms));
  cluster.restart();
  cluster.send_for(1500ms, at_a_time, std::to_string(work_ms));
  const auto largest = static_cast<double>(cluster.max_in_window());
  std::printf("work of %.0f ms: %.0f in a window of %.0f allowed; %d served, %d rejected\n", work_ms, largest,
              max_allowed, cluster.served(), cluster.rejected());
  CHECK(largest <= max_allowed + 2 * std::sqrt(max_allowed) + 2);
  CHECK(largest >= max_allowed / 8);  // the engine is used
  CHECK(cluster.rejected() == 0);
}
