// Faults at every point: answers cut after each byte, clients that end at each step of a request's life,
// drains told at each step of an attempt's.
#include <catch2/catch.hpp>
#include <memory>
#include <thread>

#include "support/fault_injection.h"

using namespace rookproxy;
using namespace rookproxy::test;

namespace {

// ---- an engine's answer, cut after each byte
// ----------------------------------------------------------------

// Answers so that `most` bytes leave in all, pages as they are fetched; true if it was whole.
bool write_truncated_response(TestCluster& world, std::size_t attempt, const std::string& kind,
                              std::size_t most) {
  const std::string id = world.observed_attempts[attempt].id;
  std::vector<std::string> parts{id + " " + kind + " - 0\r\n\r\n"};
  std::string body;
  if (kind == "news") parts = {id + " news detail=frac,value=0.5 0\r\n\r\n"};
  if (kind == "data") {
    parts.clear();
    for (int page = 0; page < 3; ++page) {
      const std::string row =
          id.substr(12) + "\t" + std::to_string(attempt) + "\t" + std::to_string(page) + "\n";
      body += row;
      parts.push_back(id + (page == 0 ? " data parts=3 " : " page part_no=" + std::to_string(page) + " ") +
                      std::to_string(row.size()) + "\r\n" + row + "\r\n");
    }
  }
  for (std::size_t part = 0; part < parts.size(); ++part) {
    if (part > 0) world.settle();
    if (part > 0 && !world.observed_attempts[attempt].fetched_parts.contains(part))
      throw std::runtime_error("a page not fetched");
    const std::size_t now = std::min(most, parts[part].size());
    const bool whole = now == parts[part].size();
    if (whole && part + 1 == parts.size()) {
      if (kind == "data") world.record_served_body(attempt, body);
      if (kind == "full" || kind == "moot") world.observed_attempts[attempt].proven_not_run_at = world.now();
      if (kind != "news") world.observed_attempts[attempt].is_in_flight = false;
    }
    world.write(attempt, parts[part].substr(0, now));
    most -= now;
    if (!whole) {
      if (now > 0 || part > 0)
        world.observed_attempts[attempt].is_in_flight = false;  // nothing more comes: it would not be read
      return false;
    }
  }
  return true;
}

void truncate_response_at_each_byte(const std::string& kind) {
  ManualClock clock;
  InvariantReport report;
  for (const char* cls : kClassNames) {
    for (const CloseKind how : {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kUnresponsive}) {
      for (const bool every : {false, true}) {
        if (every && how != CloseKind::kReset) continue;
        bool whole = false;
        for (std::size_t most = 0; !whole; ++most) {
          ClusterOptions setup;
          if (every) setup.max_attempts = 2;
          TestCluster world(clock, setup);
          const std::size_t client = world.connect(), request = world.send_request(client, cls);
          world.send_request(client, "safe");  // is owed its own answer, perhaps from the same connection
          // Answered from outside the engines' turn, which the pages need.
          std::vector<std::size_t> come;
          world.on_request = [&](std::size_t attempt) { come.push_back(attempt); };
          world.settle();
          const auto first = std::find(come.begin(), come.end(), world.attempt_of(request));
          if (first == come.end()) throw std::runtime_error("no attempt");
          std::swap(*first, come.front());
          for (std::size_t i = 0; i < come.size(); ++i) {
            if (i == 0 || (every && world.observed_attempts[come[i]].id == world.requests[request].call_id)) {
              whole = write_truncated_response(world, come[i], kind, most);
              world.settle();
              world.close_attempt_connection(come[i], how);
            } else {
              world.serve(come[i]);
            }
            world.advance_time(i == 0 ? 60ms : 20ms);
          }
          report.add(world, PointName(cls, how == CloseKind::kUnresponsive ? "silence" : close_kind_name(how),
                                      every ? "all" : "one", most));
        }
      }
    }
  }
  WARN(kind << ": " << report.points << " points");
  CHECK(report.text() == "");
}

}  // namespace

TEST_CASE("moments: an answer is cut after each byte") {
  for (const char* kind : {"data", "full", "failed", "news", "moot"}) truncate_response_at_each_byte(kind);
}

// ---- a client ends at each step of its request's life
// -------------------------------------------------------

namespace {

enum class RequestStage {
  kConnected,
  kPartlySent,
  kSent,      // no turn of the loop since its last byte
  kAssigned,  // just one
  kConnecting,
  kDuringIteration,
  kAttemptWritten,
  kProgressReported,
  kHalfResponse,
  kFullResponse,
  kBeforeFullResponse,
  kResponseForwarded
};
const char* const kStageNames[] = {"connected", "part",  "arriving", "placed", "dialling",     "between",
                                   "written",   "noted", "half",     "whole",  "before whole", "answered"};
enum class ClientContext { kSingleRequest, kOtherRequests, kProtocolError };
const char* const kClientContextNames[] = {"alone", "with others", "dead"};

// The engine's answer to it, in part or whole; nothing moves after it.
void write_half_response(TestCluster& world, std::size_t attempt) {
  world.write(attempt, world.observed_attempts[attempt].id + " data parts=1 9\r\na\tb");
  world.observed_attempts[attempt].is_in_flight = false;  // nothing more comes
}

// A first request warms connections, which then rest; whatever else engines get they hold.
void warm_up_connections(TestCluster& world) {
  world.on_request = [&world](std::size_t attempt) { world.serve(attempt); };
  world.send_request(world.connect(), "safe");
  world.settle();
  world.on_request = [](std::size_t) {};
}

// All resting connections to engines end; with `fill` none comes up any more.
void close_idle_engine_connections(TestCluster& world, CloseKind how, bool fill) {
  for (ScriptedEngine& engine : world.engines) {
    if (fill) engine.fill_accept_queue();
    for (std::size_t i = 0; i < engine.connections.size(); ++i) engine.close_connection(i, how);
  }
}

// Brings a request so far, up to where `then` is to happen, and lets it happen.
void advance_to_stage(TestCluster& world, RequestStage step, std::size_t client, std::size_t request,
                      std::size_t part, bool spoil, const std::function<void()>& then) {
  const auto spoil_now = [&] {
    if (spoil) world.send_bytes(client, frames::encode_frame(99, 0, ""));
  };
  if (step == RequestStage::kConnected || step == RequestStage::kPartlySent) {
    spoil_now();
    if (step == RequestStage::kPartlySent) world.send_bytes(client, world.frame(request).substr(0, part));
    world.settle();
    return then();
  }
  if (step == RequestStage::kConnecting) {
    for (ScriptedEngine& engine : world.engines) engine.fill_accept_queue();
  }
  if (step == RequestStage::kDuringIteration) {
    warm_up_connections(world);
    world.before_settle_hook = [&] {
      close_idle_engine_connections(world, CloseKind::kReset, true);
      then();
    };
  }
  world.requests[request].sent_at = world.now();
  world.send_bytes(client, world.frame(request));
  spoil_now();
  if (step == RequestStage::kAssigned) world.loop.poll();
  if (step == RequestStage::kSent || step == RequestStage::kAssigned) return then();
  world.settle();
  if (step == RequestStage::kDuringIteration) return;
  if (step == RequestStage::kConnecting) return then();
  const std::size_t attempt = world.attempt_of(request);
  if (attempt == SIZE_MAX) throw std::runtime_error("no attempt");
  if (step == RequestStage::kProgressReported)
    world.write(attempt, world.observed_attempts[attempt].id + " news detail=frac,value=0.5 0\r\n\r\n");
  if (step == RequestStage::kHalfResponse) write_half_response(world, attempt);
  if (step == RequestStage::kResponseForwarded) world.clients[client].is_reading = false;
  if (step == RequestStage::kFullResponse || step == RequestStage::kResponseForwarded) world.serve(attempt);
  if (step != RequestStage::kFullResponse && step != RequestStage::kBeforeFullResponse) world.settle();
  then();
  if (step == RequestStage::kBeforeFullResponse) world.serve(attempt);
}

}  // namespace

TEST_CASE("moments: a client ends at each step of its request's life") {
  ManualClock clock;
  InvariantReport report;
  const auto point = [&](const ClusterOptions& setup, const char* cls, RequestStage step, CloseKind how,
                         ClientContext company, std::size_t part) {
    TestCluster world(clock, setup);
    const std::size_t client = world.connect();
    if (company == ClientContext::kOtherRequests) {
      for (int i = 0; i < 3; ++i) world.send_request(client, "safe");
      if (step != RequestStage::kConnecting) world.settle();
    }
    const std::size_t request = world.create_request(client, cls);
    advance_to_stage(world, step, client, request, part, company == ClientContext::kProtocolError,
                     [&] { world.disconnect_client(client, how, request); });
    world.settle();
    report.add(world,
               PointName(kStageNames[static_cast<int>(step)], part, cls, close_kind_name(how),
                         kClientContextNames[static_cast<int>(company)], setup.may_cancel ? "" : "no STOP"));
  };
  TestCluster any(clock);
  const std::size_t frame = any.frame(any.create_request(any.connect(), "safe")).size();
  for (const ClientContext company :
       {ClientContext::kSingleRequest, ClientContext::kOtherRequests, ClientContext::kProtocolError}) {
    for (const CloseKind how :
         {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
      for (const char* cls : kClassNames) {
        for (int step = static_cast<int>(RequestStage::kSent);
             step <= static_cast<int>(RequestStage::kResponseForwarded); ++step) {
          for (const bool may_cancel : {true, false}) {
            ClusterOptions setup;
            setup.may_cancel = may_cancel;
            point(setup, cls, static_cast<RequestStage>(step), how, company, 0);
          }
        }
      }
      point({}, "safe", RequestStage::kConnected, how, company, 0);
      for (std::size_t part = 1; how != CloseKind::kCancelRequest && part < frame; ++part)
        point({}, "safe", RequestStage::kPartlySent, how, company, part);
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

TEST_CASE("moments: a client that takes no answers ends while others of its requests are out") {
  ManualClock clock;
  InvariantReport report;
  for (const CloseKind how :
       {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
    for (const char* cls : kClassNames) {
      ClusterOptions setup;
      setup.small_buffers = true;
      TestCluster world(clock, setup);
      world.body_padding = std::string(40'000, 'x');
      const std::size_t client = world.connect();
      for (int i = 0; i < 4; ++i) world.send_request(client, "safe");
      const std::size_t request = world.send_request(client, cls);
      world.settle();
      world.clients[client].is_reading = false;
      for (std::size_t i = 0; i < world.observed_attempts.size(); ++i) {
        if (world.observed_attempts[i].id != world.requests[request].call_id) world.serve(i);
      }
      world.settle();
      world.disconnect_client(client, how, request);
      world.settle();
      report.add(world, PointName(cls, close_kind_name(how)));
    }
  }
  CHECK(report.text() == "");
}

// ---- orders that wait behind bytes an engine does not take
// ----------------------------------------------------

// Requests of a quarter of a megabyte: more together than the kernel keeps for one connection.
constexpr int kLargeRequestCount = 18;

TEST_CASE("moments: an order waits behind what its engine does not read") {
  ManualClock clock;
  InvariantReport report;
  const auto point = [&](const ClusterOptions& setup, const char* cls, const std::string& event,
                         CloseKind how) {
    TestCluster world(clock, setup);
    for (std::size_t i = 1; i < 4; ++i) world.publish_endpoints(i, rookproxy::routing::EngineState::kRemoved);
    ScriptedEngine& engine = world.engines[0];
    const int small = 4096;
    ::setsockopt(engine.listener.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    engine.is_reading = false;
    const std::size_t other = world.connect(), client = world.connect();
    world.statement += std::string(250'000, ' ');
    for (int i = 0; i < kLargeRequestCount; ++i) {
      world.requests[world.send_request(other, "safe", 900ms)].may_lie_unread = true;
      world.settle();
    }
    world.statement.resize(19);
    const std::size_t request = world.send_request(client, cls);
    world.settle();
    if (world.attempts_written() >= kLargeRequestCount) throw std::runtime_error("the kernel took them all");
    if (world.pool.attempts_in_flight() <= kLargeRequestCount) throw std::runtime_error("no order waits");
    if (event == "gone") world.disconnect_client(client, how, request);
    if (event == "cut") {
      world.advance_time(30ms);
      for (std::size_t i = 0; i < engine.connections.size(); ++i) engine.close_connection(i, how);
    }
    if (event == "drain") world.publish_endpoints(0, rookproxy::routing::EngineState::kDraining);
    report.add(world, PointName(event, cls, close_kind_name(how), setup.may_cancel ? "" : "no STOP"));
  };
  for (const char* cls : kClassNames) {
    if (std::string(cls) == "unsafe") continue;  // gets a connection of its own, and leaves at once
    for (const bool may_cancel : {true, false}) {
      ClusterOptions setup;
      setup.may_cancel = may_cancel;
      setup.streams_per_connection = 32;
      setup.drain_grace_period = 120ms;
      for (const CloseKind how :
           {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
        point(setup, cls, "gone", how);
      }
      for (const CloseKind how : {CloseKind::kGraceful, CloseKind::kReset}) point(setup, cls, "cut", how);
      point(setup, cls, "drain", CloseKind::kUnresponsive);
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

// ---- connections that end, come late or say too much
// ---------------------------------------------------------

TEST_CASE("moments: an engine ends its resting connection in the turn in which an order is placed on it") {
  ManualClock clock;
  InvariantReport report;
  for (const char* cls : kClassNames) {
    for (const CloseKind how : {CloseKind::kGraceful, CloseKind::kReset}) {
      for (const char* when : {"before", "with it", "between", "after"}) {
        TestCluster world(clock);
        warm_up_connections(world);
        world.on_request = [&](std::size_t attempt) { world.serve(attempt); };
        const auto ends = [&] { close_idle_engine_connections(world, how, false); };
        const std::string order = when;
        if (order == "before") ends();
        if (order == "between") world.before_settle_hook = ends;
        const std::size_t client = world.connect();
        world.send_request(client, cls);
        if (order == "with it") ends();
        if (order == "after") {
          world.loop.poll();
          ends();
        }
        world.settle();
        report.add(world, PointName(cls, close_kind_name(how), when));
      }
    }
  }
  CHECK(report.text() == "");
}

TEST_CASE("moments: answers that come twice, late, or to what was given up") {
  ManualClock clock;
  InvariantReport report;
  const auto words = [](TestCluster& world, std::size_t attempt, const std::string& what) {
    const std::string& id = world.observed_attempts[attempt].id;
    if (what == "data") return world.serve(attempt);
    if (what == "full") return world.reject(attempt);
    if (what == "page") return world.write(attempt, id + " page part_no=1 0\r\n\r\n");
    if (what == "failed") world.observed_attempts[attempt].is_in_flight = false;
    world.write(attempt, id + " " + what + " - 0\r\n\r\n");
  };
  for (const char* cls : kClassNames) {
    for (const char* first : {"data", "full", "failed", "given up"}) {
      for (const char* second : {"data", "full", "failed", "news", "page", "moot"}) {
        for (const Duration pause : {0ms, 3ms, 40ms}) {
          TestCluster world(clock);
          const std::size_t client = world.connect();
          world.send_request(client, "safe");  // shares its connection, and is owed its own answer
          const std::size_t request = world.send_request(client, cls);
          world.settle();
          const std::size_t attempt = world.attempt_of(request);
          if (attempt == SIZE_MAX) throw std::runtime_error("no attempt");
          if (std::string(first) == "given up") {
            world.disconnect_client(client, CloseKind::kCancelRequest, request);
          } else {
            words(world, attempt, first);
          }
          if (pause > Duration(0)) world.advance_time(pause);
          // A second answer is none: what the first proved holds.
          const ObservedAttempt before = world.observed_attempts[attempt];
          const bool made = std::string(second) == "data" && std::string(first) != "given up";
          if (made) {
            world.write(attempt, before.id + " data parts=1 4\r\nab\tc\r\n");
          } else if (std::string(second) == "full") {
            world.write(attempt, before.id + " full - 0\r\n\r\n");
          } else {
            words(world, attempt, second);
          }
          if (std::string(first) != "given up") world.observed_attempts[attempt] = before;
          world.settle();
          report.add(world, PointName(cls, first, second, pause / 1ms));
        }
      }
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

// The kernel asks again for a connection a second after it was dropped. The hand clock stands meanwhile; all
// worlds wait that second together.
TEST_CASE("moments: a connection comes up when its order's time is over") {
  ManualClock clock;
  InvariantReport report;
  struct Late {
    std::unique_ptr<TestCluster> world;
    std::string point;
    std::function<void()> then;
  };
  std::vector<Late> all;
  ClusterOptions setup;
  setup.dial_timeout = 5s;
  const auto add = [&](const ClusterOptions& with, const std::string& point) -> TestCluster& {
    all.push_back({std::make_unique<TestCluster>(clock, with), point, [] {}});
    return *all.back().world;
  };
  for (const char* cls : kClassNames) {
    for (const bool may_cancel : {true, false}) {
      for (const CloseKind how :
           {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
        setup.may_cancel = may_cancel;
        TestCluster& world =
            add(setup, PointName("gone", cls, close_kind_name(how), may_cancel ? "" : "no STOP"));
        for (ScriptedEngine& engine : world.engines) engine.fill_accept_queue();
        const std::size_t client = world.connect(), request = world.send_request(client, cls);
        all.back().then = [&world, client, request, how] { world.disconnect_client(client, how, request); };
      }
    }
    setup.may_cancel = true;
    TestCluster& late = add(setup, PointName("deadline", cls));
    for (ScriptedEngine& engine : late.engines) engine.fill_accept_queue();
    late.send_request(late.connect(), cls, 600ms);
    for (const auto state :
         {rookproxy::routing::EngineState::kDraining, rookproxy::routing::EngineState::kRemoved}) {
      ClusterOptions brief = setup;
      brief.drain_grace_period = 120ms;
      TestCluster& world = add(brief, PointName("drain", cls, static_cast<int>(state)));
      for (ScriptedEngine& engine : world.engines) engine.fill_accept_queue();
      world.send_request(world.connect(), cls);
      all.back().then = [&world, state] {
        for (std::size_t i = 0; i < 4; ++i) world.publish_endpoints(i, state);
      };
    }
    // A second attempt, behind one that may have run: its window ends while it dials.
    TestCluster& second = add(setup, PointName("window", cls));
    const std::size_t request = second.send_request(second.connect(), cls);
    second.settle();
    const std::size_t attempt = second.attempt_of(request);
    if (attempt == SIZE_MAX) throw std::runtime_error("no attempt");
    for (ScriptedEngine& engine : second.engines) engine.fill_accept_queue();
    all.back().then = [&second, attempt] { second.close_attempt_connection(attempt, CloseKind::kReset); };
  }
  std::vector<TestCluster*> worlds;
  for (Late& late : all) worlds.push_back(late.world.get());
  for (TestCluster* world : worlds) world->settle();
  for (Late& late : all) {
    if (late.world->pool.attempts_in_flight() == 0) throw std::runtime_error("no order waits: " + late.point);
    late.then();
  }
  TestCluster::advance_time(clock, worlds, 650ms);
  for (TestCluster* world : worlds) {
    for (ScriptedEngine& engine : world->engines) engine.resume();
  }
  const auto until = std::chrono::steady_clock::now() + 1500ms;
  while (std::chrono::steady_clock::now() < until) {
    for (TestCluster* world : worlds) world->settle();
    std::this_thread::sleep_for(10ms);
  }
  for (Late& late : all) {
    report.add(*late.world, late.point);
    late.world.reset();
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

// ---- drains and removals, told at each step of an attempt's life
// ----------------------------------------------

TEST_CASE("moments: an engine drains or goes at each step of an attempt's life") {
  ManualClock clock;
  InvariantReport report;
  for (const auto state :
       {rookproxy::routing::EngineState::kDraining, rookproxy::routing::EngineState::kRemoved}) {
    for (const char* cls : kClassNames) {
      for (int step = static_cast<int>(RequestStage::kSent);
           step <= static_cast<int>(RequestStage::kResponseForwarded); ++step) {
        for (const Duration later : {0ms, 100ms}) {
          for (std::size_t engine = 0; engine < 4; ++engine) {
            ClusterOptions setup;
            setup.drain_grace_period = 300ms;
            TestCluster world(clock, setup);
            const std::size_t client = world.connect(), request = world.create_request(client, cls);
            advance_to_stage(world, static_cast<RequestStage>(step), client, request, 0, false,
                             [&] { world.publish_endpoints(engine, state); });
            world.clients[client].is_reading = true;
            world.advance_time(later);
            report.add(world, PointName(kStageNames[step], cls, static_cast<int>(state), "engine", engine,
                                        later / 1ms));
          }
        }
      }
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

TEST_CASE("moments: the front drains at each step of a request's life") {
  ManualClock clock;
  InvariantReport report;
  for (const char* cls : kClassNames) {
    for (int step = static_cast<int>(RequestStage::kConnected);
         step <= static_cast<int>(RequestStage::kResponseForwarded); ++step) {
      for (const bool spoil : {false, true}) {
        TestCluster world(clock);
        const std::size_t client = world.connect(), request = world.create_request(client, cls);
        advance_to_stage(world, static_cast<RequestStage>(step), client, request, 20, spoil,
                         [&] { world.drain(); });
        // What was begun is finished, and what comes behind the word is served as well.
        if (step == static_cast<int>(RequestStage::kPartlySent) && !spoil) {
          world.requests[request].sent_at = world.now();
          world.send_bytes(client, world.frame(request).substr(20));
        }
        if (!spoil) world.send_request(client, cls);
        report.add(world, PointName(kStageNames[step], cls, spoil ? "dead" : ""));
      }
    }
  }
  CHECK(report.text() == "");
}
