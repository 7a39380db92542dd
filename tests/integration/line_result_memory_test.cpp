// Tests what results of engines of the line protocol hold before they are complete.
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "integration/dispatcher_fixture.h"
#include "policy/memory_ledger.h"

namespace rookproxy::test {
namespace {

using policy::MemoryUse;

constexpr std::size_t kPageBytes = 60'000;
// Four first pages, and less than four second pages beside them.
constexpr std::size_t kLimit = 5 * kPageBytes;

std::string first_page(const std::string& id, int parts) {
  return id + " data parts=" + std::to_string(parts) + " " + std::to_string(kPageBytes) + "\r\n" +
         std::string(kPageBytes, 'r') + "\r\n";
}

std::string page(const std::string& id, int number) {
  return id + " page part_no=" + std::to_string(number) + " " + std::to_string(kPageBytes) + "\r\n" +
         std::string(kPageBytes, 's') + "\r\n";
}

struct ResultFixture {
  explicit ResultFixture(std::size_t limit) {
    dispatcher.memory->set_limit(MemoryUse::kEngineResults, limit);
    dispatcher.update_endpoints({{&engine, EngineState::kServing}});
  }
  std::string submit_and_wait() {
    dispatcher.submit("unsafe");
    const std::string id = dispatcher.last_id();
    REQUIRE(dispatcher.run_until([&] { return engine.has(id); }));
    return id;
  }
  void send(const std::string& id, const std::string& bytes, std::size_t expected) {
    engine.connection_of(id).send(bytes);
    CHECK(dispatcher.run_until([&] { return held() == expected; }));
  }
  [[nodiscard]] std::size_t held() const { return dispatcher.memory->held(MemoryUse::kEngineResults); }
  const Response& wait_for_response(std::size_t number) {
    REQUIRE(dispatcher.run_until([&] { return dispatcher.responses[number].has_value(); }));
    return *dispatcher.responses[number];
  }

  DispatcherFixture dispatcher;
  ScriptedEngine engine;
};

}  // namespace

TEST_CASE("line results: the pages of incomplete results are bounded for all attempts together") {
  // Guards against 4 MB for each attempt whose last page doesn't arrive, which no budget counted.
  ResultFixture fixture(kLimit);
  std::vector<std::string> ids;
  for (std::size_t attempt = 0; attempt < 4; ++attempt) {
    ids.push_back(fixture.submit_and_wait());
    fixture.send(ids.back(), first_page(ids.back(), 3), (attempt + 1) * kPageBytes);
  }
  // Large holdings may use three quarters of the limit.
  fixture.send(ids[0], page(ids[0], 1), 3 * kPageBytes);
  CHECK(fixture.wait_for_response(0).status == ResponseStatus::kFailed);

  const std::string usual = fixture.submit_and_wait();
  fixture.engine.serve(usual);
  CHECK(fixture.wait_for_response(4).status == ResponseStatus::kServed);

  for (std::size_t attempt = 1; attempt < 4; ++attempt) {
    fixture.engine.reset(ids[attempt]);
    CHECK(fixture.wait_for_response(attempt).status == ResponseStatus::kFailed);
  }
  CHECK(fixture.held() == 0);
}

TEST_CASE("line results: a result in pages is served whole, and holds nothing afterwards") {
  ResultFixture fixture(3 * kPageBytes);
  const std::string id = fixture.submit_and_wait();
  fixture.send(id, first_page(id, 2), kPageBytes);
  fixture.send(id, page(id, 1), 0);
  const Response& response = fixture.wait_for_response(0);
  CHECK(response.status == ResponseStatus::kServed);
  CHECK(response.body == std::string(kPageBytes, 'r') + std::string(kPageBytes, 's'));
}

TEST_CASE("line results: a response that is only partly received is counted as it arrives") {
  ResultFixture fixture(kPageBytes / 2);
  const std::string id = fixture.submit_and_wait();
  const std::string response = first_page(id, 1);
  fixture.engine.connection_of(id).send(response.substr(0, response.size() - 1));
  CHECK(fixture.wait_for_response(0).status == ResponseStatus::kFailed);
  CHECK(fixture.held() == 0);
  CHECK(fixture.dispatcher.log_text.str().find("partial response exceeds the limit") != std::string::npos);
}

}  // namespace rookproxy::test
