// Latency on sockets with and without [access], side by side in one run, and under a flood of invalid tokens.
// docs/performance.md has the command and figures.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "bench_dispatcher.h"
#include "fakes/auto_reply_line_engine.h"
#include "fakes/credential_fixture.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "latency_samples.h"
#include "net/sockets.h"
#include "open_loop_load.h"
#include "token_flood.h"

namespace {

using namespace rookproxy;
using namespace rookproxy::bench;
using namespace std::chrono_literals;

constexpr int kTokens = 200;
constexpr auto kStartTime = 1s;
constexpr auto kWarmUpTime = 500ms;
// From the beginning of the flood to that of the measured load.
constexpr auto kFloodLead = 100ms;

struct Options {
  std::string program;
  double requests_per_second = 2000;
  double seconds = 2;
  int rounds = 9;
  double invalid_tokens_per_second = 10'000;

  [[nodiscard]] SteadyClock::duration length() const {
    return std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
  }
};

// The rounds of each kind.
struct Measurements {
  std::vector<LoadResult> without_access;
  std::vector<LoadResult> with_access;
  std::vector<LoadResult> flooded;
};

std::uint16_t free_port() { return local_port(test::listen_on_free_port()); }

std::vector<std::string> mint_tokens(const test::CredentialFixture& credentials) {
  std::vector<std::string> tokens;
  tokens.reserve(kTokens);
  for (int i = 0; i < kTokens; ++i) {
    tokens.push_back(credentials.mint_token("k", "student", {{"sub", "s-" + std::to_string(i)}}));
  }
  return tokens;
}

LoadResult run_load(const Options& options, std::uint16_t port, SteadyClock::duration length,
                    const std::vector<std::string>& tokens) {
  return OpenLoopLoad(port, options.requests_per_second, tokens).run(length);
}

LoadResult run_flooded_load(const Options& options, std::uint16_t port,
                            const std::vector<std::string>& tokens, bool first_round) {
  TokenFlood flood(port, options.invalid_tokens_per_second, tokens[0]);
  std::this_thread::sleep_for(kFloodLead);
  LoadResult result = run_load(options, port, options.length(), tokens);
  flood.stop();
  if (first_round) std::cout << "invalid tokens sent in a round: " << flood.sent() << "\n";
  return result;
}

Measurements measure(const Options& options, const std::string& directory) {
  const test::AutoReplyLineEngine first_engine;
  const test::AutoReplyLineEngine second_engine;
  test::CredentialFixture credentials(directory);
  credentials.make_key("k", "ES256");
  credentials.publish_keys({"k"});

  const std::vector<std::uint16_t> engine_ports{first_engine.port(), second_engine.port()};
  const std::uint16_t port_without_access = free_port();
  const std::uint16_t port_with_access = free_port();
  nlohmann::json config_with_access = dispatcher_config(engine_ports, port_with_access);
  config_with_access["access"] = credentials.access_section();
  config_with_access["access"]["users"] = nlohmann::json::array();
  const BenchDispatcher without_access(options.program, directory, "off",
                                       dispatcher_config(engine_ports, port_without_access));
  const BenchDispatcher with_access(options.program, directory, "on", config_with_access);
  std::this_thread::sleep_for(kStartTime);

  const std::vector<std::string> tokens = mint_tokens(credentials);
  static_cast<void>(run_load(options, port_without_access, kWarmUpTime, {}));
  static_cast<void>(run_load(options, port_with_access, kWarmUpTime, tokens));
  Measurements measurements;
  for (int round = 0; round < options.rounds; ++round) {
    measurements.without_access.push_back(run_load(options, port_without_access, options.length(), {}));
    measurements.with_access.push_back(run_load(options, port_with_access, options.length(), tokens));
    measurements.flooded.push_back(run_flooded_load(options, port_with_access, tokens, round == 0));
  }
  return measurements;
}

void print_ratios(const std::string& name, const std::vector<LoadResult>& numerators,
                  const std::vector<LoadResult>& denominators) {
  std::cout << name << ": p50 " << median_ratio(numerators, denominators, 0.5) << ", p99 "
            << median_ratio(numerators, denominators, 0.99) << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("Latency with and without [access], and under a flood of invalid tokens.", "access_load");
  app.add_option("--rookproxy", options.program, "the dispatcher")->required();
  app.add_option("--rate", options.requests_per_second, "requests a second");
  app.add_option("--seconds", options.seconds, "of each run");
  app.add_option("--rounds", options.rounds, "of each kind, in turns");
  app.add_option("--bad-rate", options.invalid_tokens_per_second, "invalid tokens a second");
  CLI11_PARSE(app, argc, argv);

  const std::string directory = test::make_temporary_directory();
  const Measurements measurements = measure(options, directory);
  std::filesystem::remove_all(directory);

  print_rounds("without access", measurements.without_access);
  print_rounds("with access", measurements.with_access);
  print_rounds("with access, flooded", measurements.flooded);
  print_ratios("with/without", measurements.with_access, measurements.without_access);
  print_ratios("flooded/with", measurements.flooded, measurements.with_access);
}
