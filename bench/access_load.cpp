// Measures the latency of requests with and without authentication in one run, and during a flood of bad
// tokens. docs/performance.md has the command and results.
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/credential_fixture.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "frontend/frame_codec.h"
#include "frontend/frames_frontend.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

namespace {

using namespace rookproxy;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr const char* kStatement =
    "SELECT p.name, m.mark FROM sales_17.pupils AS p JOIN sales_17.marks AS m ON m.pupil = p.id";

json base_config(const std::vector<std::uint16_t>& engines, std::uint16_t port) {
  json members = json::array();
  for (std::size_t i = 0; i < engines.size(); ++i) {
    members.push_back({{"id", "e" + std::to_string(i)},
                       {"host_port", "127.0.0.1:" + std::to_string(engines[i])},
                       {"locality", "z"},
                       {"flavor", "m"},
                       {"phase", "up"},
                       {"size", 1},
                       {"up_since_ms", 0}});
  }
  json config = json::parse(
      R"({"name":"b","seed":"1f","limits":{"memory_mb":192,"sockets":1024},"log":{"level":"error"},
    "settings":{"fleet_size":1,"ordinal":0,"localities":["z"],"zone":"z","models":["m"],"membership_mode":"automatic",
    "grades":[{"name":"lookup","effect":"pure","value":1.0,"target":600000,"deadline":3000000},{"name":"load",
    "effect":"side_effect","value":6.0,"target":4000000,"deadline":25000000}],"domain":{"cpu_of_kind":[64],
    "ram_of_kind_mb":[65536.0],"threads_by_class":[1,2],"is_load":[false,true],"yields_to_loads":[true,false]},
    "permissions":{"cancel":true,"second_copies":true,"max_attempts":6,"max_retry_after":2000000,"keepalive":30000000,
    "dial_timeout":250000,"multiplex":32},"report":{"source":"off"},"safety":{"drain_grace":2000000}}})");
  config["listen"] = "127.0.0.1:" + std::to_string(port);
  config["engines"] = std::move(members);
  return config;
}

class Server {
 public:
  Server(const std::string& program, const std::string& folder, const std::string& name, const json& config) {
    const std::string path = folder + "/" + name + ".json";
    std::ofstream(path) << config.dump();
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::setenv("NODE_CONFIG", path.c_str(), 1);
    ::setenv("TMPDIR", folder.c_str(), 1);
    ::execl(program.c_str(), program.c_str(), nullptr);
    ::_exit(127);
  }
  ~Server() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }

 private:
  pid_t pid_;
};

std::string encode_request_frame(std::uint32_t stream, std::uint64_t call, const std::string& token) {
  static const char* digits = "0123456789abcdef";
  std::string id(16, '0');
  for (int i = 0; i < 16; ++i) id[static_cast<std::size_t>(i)] = digits[call >> (60 - 4 * i) & 15];
  std::vector<std::pair<std::string, std::string>> fields{{"call", id}, {"op", "lookup"}, {"ttl", "3000"}};
  if (!token.empty()) fields.emplace_back("token", token);
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [key, value] : fields) {
    payload += static_cast<char>(key.size()) + key;
    payload += static_cast<char>(value.size() >> 8);
    payload += static_cast<char>(value.size()) + value;
  }
  return frames::encode_frame(frames::kRequest, stream, payload + kStatement);
}

struct Timings {
  std::vector<double> latencies_us;
  std::uint64_t served = 0, other = 0;
};
double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

// Generates load in an open loop: requests are sent when they are due, regardless of outstanding responses,
// and latency is measured from the due time. The thread busy-waits, so that its wake-up latency is not
// included.
Timings run_load(std::uint16_t port, double rate, Clock::duration length,
                 const std::vector<std::string>& tokens) {
  struct Connection {
    FileDescriptor fd;
    std::string in;
    std::vector<Clock::time_point> due{Clock::time_point()};  // by stream id
  };
  static std::uint64_t call = 1;
  std::vector<Connection> connections(16);
  for (auto& connection : connections) connection.fd = connect_tcp({0x7f000001, port});
  std::this_thread::sleep_for(50ms);
  Timings outcome;
  const auto begin = Clock::now();
  const auto step = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / rate));
  std::uint64_t sent = 0, answered = 0;
  for (auto due = begin; answered < sent || due < begin + length;) {
    const auto now = Clock::now();
    if (now > begin + length + 5s) break;
    if (due < begin + length && now >= due) {
      Connection& connection = connections[sent % connections.size()];
      const auto stream = static_cast<std::uint32_t>(connection.due.size());
      connection.due.push_back(due);
      const std::string frame =
          encode_request_frame(stream, call++, tokens.empty() ? "" : tokens[sent % tokens.size()]);
      if (::send(connection.fd.get(), frame.data(), frame.size(), MSG_NOSIGNAL) !=
          static_cast<ssize_t>(frame.size()))
        break;
      ++sent;
      due += step;
    }
    for (auto& connection : connections) {
      char bytes[8192];
      const ssize_t received = ::recv(connection.fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (received <= 0) continue;
      connection.in.append(bytes, static_cast<std::size_t>(received));
      frames::Frame frame;
      std::size_t used = 0;
      while (frames::parse_frame(connection.in, frame, used) == frames::ParseStatus::kComplete) {
        if (frame.type == frames::kResponse && frame.stream_id < connection.due.size() &&
            frame.stream_id > 0) {
          ++answered;
          outcome.latencies_us.push_back(
              std::chrono::duration<double, std::micro>(Clock::now() - connection.due[frame.stream_id])
                  .count());
          ++(frame.payload[0] == 0 ? outcome.served : outcome.other);
        }
        connection.in.erase(0, used);
      }
    }
  }
  return outcome;
}

// Sends distinct bad tokens at the given rate and reopens connections that are closed.
void flood(std::uint16_t port, double rate, const std::string& token, std::atomic<bool>& stop,
           std::atomic<std::uint64_t>& sent) {
  std::vector<FileDescriptor> connections(20);
  std::vector<std::uint32_t> streams(20, 0);
  const auto begin = Clock::now();
  std::uint64_t number = 0, call = std::uint64_t{1} << 62;
  while (!stop) {
    const auto due =
        static_cast<std::uint64_t>(rate * std::chrono::duration<double>(Clock::now() - begin).count());
    if (number >= due) {
      std::this_thread::sleep_for(200us);
      continue;
    }
    const std::size_t at = number++ % connections.size();
    if (!connections[at]) {
      connections[at] = connect_tcp({0x7f000001, port});
      streams[at] = 0;
    }
    char bytes[16384];
    while (::recv(connections[at].get(), bytes, sizeof bytes, MSG_DONTWAIT) > 0) continue;
    std::string bad = token;
    for (std::size_t i = 1; i <= 8; ++i)
      bad[bad.size() - 10 - i] = "abcdefghijklmnop"[number >> (4 * (i - 1)) & 15];
    const std::string frame = encode_request_frame(++streams[at], ++call, bad);
    if (::send(connections[at].get(), frame.data(), frame.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
      connections[at].reset();
    } else {
      ++sent;
    }
  }
}

void print(const std::string& name, const std::vector<Timings>& rounds) {
  std::vector<double> p50, p99;
  std::uint64_t served = 0, other = 0;
  for (const auto& one : rounds) {
    p50.push_back(quantile(one.latencies_us, 0.5));
    p99.push_back(quantile(one.latencies_us, 0.99));
    served += one.served;
    other += one.other;
  }
  std::cout << name << ": p50 " << quantile(p50, 0.5) << " us, p99 " << quantile(p99, 0.5)
            << " us (p99 by round " << quantile(p99, 0) << " to " << quantile(p99, 0.999) << "), served "
            << served << ", not served " << other << "\n";
}

double ratio(const std::vector<Timings>& a, const std::vector<Timings>& b, double q) {
  std::vector<double> ratios;
  for (std::size_t i = 0; i < a.size(); ++i)
    ratios.push_back(quantile(a[i].latencies_us, q) / quantile(b[i].latencies_us, q));
  return quantile(ratios, 0.5);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Latency with and without [access], and under a flood of bad tokens.", "access_load");
  double rate = 2000, seconds = 2, bad_rate = 10'000;
  int rounds = 9;
  std::string program;
  app.add_option("--rookproxy", program, "path of the dispatcher program")->required();
  app.add_option("--rate", rate, "requests per second");
  app.add_option("--seconds", seconds, "duration of each run");
  app.add_option("--rounds", rounds, "number of alternating runs of each kind");
  app.add_option("--bad-rate", bad_rate, "bad tokens per second");
  CLI11_PARSE(app, argc, argv);
  const std::string folder = test::make_temporary_directory();
  {
    test::AutoReplyLineEngine one, two;
    test::CredentialFixture credentials(folder);
    credentials.make_key("k", "ES256");
    credentials.publish_keys({"k"});
    const auto free_port = [] { return local_port(test::listen_on_free_port()); };
    const std::uint16_t off_port = free_port(), on_port = free_port();
    const std::vector<std::uint16_t> engines{one.port(), two.port()};
    json on = base_config(engines, on_port);
    on["access"] = credentials.access_section();
    on["access"]["users"] = json::array();
    Server off_server(program, folder, "off", base_config(engines, off_port)),
        on_server(program, folder, "on", on);
    std::this_thread::sleep_for(1s);
    std::vector<std::string> tokens;
    for (int i = 0; i < 200; ++i)
      tokens.push_back(credentials.mint_token("k", "student", {{"sub", "s-" + std::to_string(i)}}));
    const auto length = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    run_load(off_port, rate, 500ms, {});
    run_load(on_port, rate, 500ms, tokens);
    std::vector<Timings> without, with, flooded;
    for (int round = 0; round < rounds; ++round) {
      without.push_back(run_load(off_port, rate, length, {}));
      with.push_back(run_load(on_port, rate, length, tokens));
      std::atomic<bool> stop{false};
      std::atomic<std::uint64_t> sent{0};
      std::thread attacker([&] { flood(on_port, bad_rate, tokens[0], stop, sent); });
      std::this_thread::sleep_for(100ms);
      flooded.push_back(run_load(on_port, rate, length, tokens));
      stop = true;
      attacker.join();
      if (round == 0) std::cout << "bad tokens sent in a round: " << sent << "\n";
    }
    print("without access", without);
    print("with access", with);
    print("with access, flooded", flooded);
    std::cout << "with/without: p50 " << ratio(with, without, 0.5) << ", p99 " << ratio(with, without, 0.99)
              << "\n"
              << "flooded/with: p50 " << ratio(flooded, with, 0.5) << ", p99 " << ratio(flooded, with, 0.99)
              << "\n";
  }
  std::filesystem::remove_all(folder);
}
