// Cold engines under the sum of what a fleet of real processes sends.
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
#include "frontend/frames.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/require.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

constexpr std::size_t kProcesses = 20;
constexpr double kFrom = 0.3, kMultiple = 3, kSpan = 1, kCores = 8, kBusy = 0.85;

json engine(const std::string& id, const AutoReplyLineEngine& at, std::int64_t started_ms) {
  return {{"id", id},
          {"host_port", "127.0.0.1:" + std::to_string(at.port())},
          {"locality", "z"},
          {"flavor", "m"},
          {"phase", "up"},
          {"size", 1},
          {"up_since_ms", started_ms}};
}

std::string request(std::uint32_t stream, std::uint64_t call, const std::string& work_ms) {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(call));
  const frames::Fields fields{{"op", "lookup"}, {"ttl", "3000"}, {"call", id}, {"work", work_ms}};
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [key, value] : fields) {
    payload += static_cast<char>(key.size()) + key;
    payload += static_cast<char>(value.size() >> 8);
    payload += static_cast<char>(value.size()) + value;
  }
  // Groups of tables have their homes all over the engines.
  return frames::encode_frame(frames::kRequest, stream,
                              payload + "SELECT x FROM sales_" + std::to_string(stream % 40) + ".orders");
}

class Fleet {
 public:
  Fleet() : config_(default_dispatcher_config()) {
    json members = json::array({engine("warm-1", warm_[0], 0), engine("warm-2", warm_[1], 0)});
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    members.push_back(
        engine("cold", cold_, std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
    config_["known"]["batch"] =
        json::array({{{"offset", 1},
                      {"topology", {{"revision", 1}, {"complete", true}, {"members", std::move(members)}}}}});
    config_["settings"]["fleet_size"] = kProcesses;
    config_["settings"]["safety"].update({{"cold_from", kFrom},
                                          {"cold", 15'000'000},
                                          {"fall_multiple", kMultiple},
                                          {"overload_for", static_cast<std::int64_t>(kSpan * 1e6)}});
    cold_.record_statements();
  }
  ~Fleet() {
    processes_.clear();
    std::filesystem::remove_all(root_);
  }
  // All at once; those that were there are killed.
  void start() {
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
    for (const DispatcherProcess& one : processes_) {
      one.wait_for_log("ready to serve");
      clients_.push_back(TestConnection::connect(
          static_cast<std::uint16_t>(std::stoi(one.wait_for_log("start [rookproxy@32473 port=\"")))));
    }
  }
  // Each client asks for so much at a time and waits for all of it, until the span is over.
  void ask_for(std::chrono::milliseconds time, std::uint32_t at_a_time, const std::string& work_ms) {
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
      for (std::size_t i = 0; i < clients_.size(); ++i) {
        for (std::uint32_t n = 0; n < at_a_time; ++n) clients_[i].send(request(n + 1, ++calls_, work_ms));
      }
      for (TestConnection& client : clients_) {
        for (std::uint32_t n = 0; n < at_a_time; ++n) answer(client);
      }
    }
  }
  // The most that reached the cold engine within a span.
  std::size_t most_in_a_span() {
    const auto times = cold_.arrival_times();
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= std::chrono::duration<double>(kSpan)) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  int served() const { return served_; }
  int refused() const { return refused_; }

 private:
  void answer(TestConnection& client) {
    frames::Frame frame;
    std::size_t used = 0;
    while (frames::parse_frame(client.buffer(), frame, used) != frames::ParseStatus::kComplete) {
      require(client.read_more(), "no answer");
    }
    ++(frame.payload[0] == frames::kServed ? served_ : refused_);
    client.take(used);
  }
  std::string root_ = make_temporary_directory();
  json config_;
  AutoReplyLineEngine warm_[2], cold_;
  std::vector<DispatcherProcess> processes_;
  std::vector<TestConnection> clients_;
  std::uint64_t calls_ = 0;
  int starts_ = 0, served_ = 0, refused_ = 0;
};

}  // namespace

TEST_CASE("cold fleet: twenty processes before an engine that has just started") {
  // Guards against what nobody sees alone: each process's share is fine, their sum pushes the engine over;
  // also when all are killed and begin anew within its ramp.
  const auto [work_ms, at_a_time] = GENERATE(std::pair(20.0, 24u), std::pair(100.0, 12u));
  const double n = kMultiple * kFrom * kBusy * kCores * kSpan * 1000 / work_ms;
  Fleet fleet;
  fleet.start();
  fleet.ask_for(1500ms, at_a_time, std::to_string(work_ms));
  fleet.start();
  fleet.ask_for(1500ms, at_a_time, std::to_string(work_ms));
  const auto most = static_cast<double>(fleet.most_in_a_span());
  std::printf("work of %.0f ms: %.0f in a span of %.0f allowed; %d served, %d refused\n", work_ms, most, n,
              fleet.served(), fleet.refused());
  CHECK(most <= n + 2 * std::sqrt(n) + 2);
  CHECK(most >= n / 8);  // it is not just left alone
  CHECK(fleet.refused() == 0);
}
