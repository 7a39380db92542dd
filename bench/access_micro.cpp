// What the checks of callers cost, each by itself: docs/performance.md has the command and figures.
#include <benchmark/benchmark.h>
#include <openssl/sha.h>

#include <filesystem>
#include <map>
#include <ostream>

#include "auth/gatekeeper.h"
#include "fakes/credential_fixture.h"

namespace {

using namespace rookproxy;
using namespace std::chrono_literals;

constexpr const char* kStatement =
    "SELECT p.name, m.mark FROM marks_17.pupils AS p JOIN marks_17.marks AS m ON m.pupil = p.id "
    "WHERE p.class = 12 AND m.day >= '2026-11-01' ORDER BY m.mark DESC LIMIT 50";

struct Set {
  Set() : folder(test::new_folder()), callers(folder) {
    for (const char* name : {"ES256", "RS256", "EdDSA"}) callers.make_key(name, name);
    callers.publish({"ES256", "RS256", "EdDSA"});
    settings.policy.roles = {{"student", {"lookup"}, false}, {"officer", {"*"}, true}};
    settings.policy.tenants = {{"addis", {"marks_*", "staging"}, {{1, 40}}}};
    settings.rules = {{"https://id.test"}, "rookproxy", 0s, 0s};
    settings.keys_file = folder + "/keys.json";
    settings.checks.burst = 24h * 365;
    gate = std::make_unique<auth::Gatekeeper>(loop, log, figures, settings, 7);
  }
  ~Set() { std::filesystem::remove_all(folder); }
  std::string folder;
  test::Callers callers;
  Loop loop;
  std::ostream nowhere{nullptr};
  Log log{nowhere, Level::kError, "-", "bench"};
  AccessFigures figures;
  auth::AccessSettings settings;
  std::unique_ptr<auth::Gatekeeper> gate;
};

Set& set() {
  static Set one;
  return one;
}

auth::Proof check(const std::string& token) {
  auth::Gatekeeper::CheckKey key = 0;
  return *set().gate->check(
      token, 1, set().loop.now() + 1s, [](auth::Proof) {}, key);
}

// One of 10,000 tokens that were checked before, as many as the cache holds.
void cached(benchmark::State& state) {
  std::vector<std::string> tokens;
  for (int i = 0; i < 10'000; ++i) {
    tokens.push_back(set().callers.token("EdDSA", "student", {{"sub", "s-" + std::to_string(i)}}));
    if (check(tokens.back()).denial != policy::Denial::kNone) state.SkipWithError("not taken");
  }
  std::size_t at = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(check(tokens[at]));
    at = (at + 7919) % tokens.size();
  }
}
BENCHMARK(cached);

void uncached(benchmark::State& state, const char* key) {
  for (auto _ : state) {
    state.PauseTiming();
    static std::uint64_t number = 0;
    const std::string token = set().callers.token(key, "student", {{"jti", std::to_string(++number)}});
    state.ResumeTiming();
    if (check(token).denial != policy::Denial::kNone) state.SkipWithError("not taken");
  }
}
BENCHMARK_CAPTURE(uncached, es256, "ES256")->Iterations(5000);
BENCHMARK_CAPTURE(uncached, rs256, "RS256")->Iterations(5000);
BENCHMARK_CAPTURE(uncached, eddsa, "EdDSA")->Iterations(5000);

void statement(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(sql::statement_facts(kStatement, "", sql::Dialect::kAny));
}
BENCHMARK(statement);

void judge(benchmark::State& state) {
  const auto proof = check(set().callers.token("ES256", "student"));
  const auto facts = sql::statement_facts(kStatement, "", sql::Dialect::kAny);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        set().gate->judge(proof.proven->identity, "lookup", false, facts, {"frames", "1"}));
  }
}
BENCHMARK(judge);

// The structure of the cache beside two plain ones, on 10,000 tokens.
std::vector<std::string> texts() {
  std::vector<std::string> list;
  for (int i = 0; i < 10'000; ++i)
    list.push_back(std::string(280, 'x') + std::to_string(i * 7919) + std::string(80, 'y'));
  return list;
}

void cache_of_its_own(benchmark::State& state) {
  policy::TokenCache cache({20'000, 64u << 20, 16, 5s}, 42);
  const auto list = texts();
  for (const auto& one : list) cache.put(one, std::make_shared<policy::Proven>());
  std::size_t at = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(cache.find(list[at], Time()));
    at = (at + 7919) % list.size();
  }
}
BENCHMARK(cache_of_its_own);

void cache_ordered_map(benchmark::State& state) {
  std::map<std::string, std::shared_ptr<policy::Proven>, std::less<>> cache;
  const auto list = texts();
  for (const auto& one : list) cache[one] = std::make_shared<policy::Proven>();
  std::size_t at = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(cache.find(list[at]));
    at = (at + 7919) % list.size();
  }
}
BENCHMARK(cache_ordered_map);

void cache_sha256(benchmark::State& state) {
  std::map<std::string, std::shared_ptr<policy::Proven>, std::less<>> cache;
  const auto digest = [](const std::string& text) {
    std::string out(32, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           reinterpret_cast<unsigned char*>(out.data()));
    return out;
  };
  const auto list = texts();
  for (const auto& one : list) cache[digest(one)] = std::make_shared<policy::Proven>();
  std::size_t at = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(cache.find(digest(list[at])));
    at = (at + 7919) % list.size();
  }
}
BENCHMARK(cache_sha256);

}  // namespace

BENCHMARK_MAIN();
