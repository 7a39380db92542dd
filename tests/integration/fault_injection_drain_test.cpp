// Engines and frontends that drain, and engines that are removed, at each stage of a request's life.
#include <catch2/catch.hpp>
#include <functional>

#include "support/invariant_report.h"
#include "support/manual_clock.h"
#include "support/request_stage.h"
#include "support/test_cluster.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;
using rookproxy::routing::EngineState;

namespace {

constexpr Duration kDrainGracePeriod = 300ms;
// How much of a request has been sent when its frontend drains.
constexpr std::size_t kPartialSize = 20;

// When an engine is published as not serving.
struct EngineChange {
  EngineState state;
  std::size_t engine;
  Duration pause;  // before the engines respond
};

// One point: an engine drains, or is removed, when a request is at that stage.
void change_engine_at_stage(ManualClock& clock, InvariantReport& report, const char* class_name,
                            RequestStage stage, const EngineChange& change) {
  ClusterOptions options;
  options.drain_grace_period = kDrainGracePeriod;
  TestCluster cluster(clock, options);
  StagedRequest staged;
  staged.client = cluster.connect();
  staged.request = cluster.create_request(staged.client, class_name);
  inject_fault_at(cluster, stage, staged,
                  std::bind_front(&TestCluster::publish_engine_state, &cluster, change.engine, change.state));
  cluster.client(staged.client).set_reading(true);
  cluster.advance_time(change.pause);
  report.add(cluster, point_name(stage_name(stage), class_name, static_cast<int>(change.state), "engine",
                                 change.engine, change.pause / 1ms));
}

// One point: the frontend drains when a request is at that stage.
void drain_frontend_at_stage(ManualClock& clock, InvariantReport& report, const char* class_name,
                             RequestStage stage, bool has_protocol_error) {
  TestCluster cluster(clock);
  StagedRequest staged;
  staged.client = cluster.connect();
  staged.request = cluster.create_request(staged.client, class_name);
  staged.partial_size = kPartialSize;
  staged.has_protocol_error = has_protocol_error;
  inject_fault_at(cluster, stage, staged, std::bind_front(&TestCluster::drain, &cluster));
  // What has begun is finished, and what comes after the start of the drain is served as well.
  if (stage == RequestStage::kPartlySent && !has_protocol_error) {
    cluster.mark_as_sent(staged.request);
    cluster.client(staged.client).send(cluster.frame(staged.request).substr(kPartialSize));
  }
  if (!has_protocol_error) cluster.send_request(staged.client, class_name);
  report.add(cluster, point_name(stage_name(stage), class_name, has_protocol_error ? "protocol error" : ""));
}

}  // namespace

TEST_CASE("fault injection: an engine drains or is removed at each stage of an attempt") {
  ManualClock clock;
  InvariantReport report;
  for (const EngineState state : {EngineState::kDraining, EngineState::kRemoved}) {
    for (const char* class_name : kClassNames) {
      for (const RequestStage stage : stages_from(RequestStage::kSent)) {
        for (const Duration pause : {0ms, 100ms}) {
          for (std::size_t engine = 0; engine < kEngineCount; ++engine) {
            change_engine_at_stage(clock, report, class_name, stage, {state, engine, pause});
          }
        }
      }
    }
  }
  WARN(report.points() << " points");
  CHECK(report.text() == "");
}

TEST_CASE("fault injection: the frontend drains at each stage of a request") {
  ManualClock clock;
  InvariantReport report;
  for (const char* class_name : kClassNames) {
    for (const RequestStage stage : stages_from(RequestStage::kConnected)) {
      for (const bool has_protocol_error : {false, true}) {
        drain_frontend_at_stage(clock, report, class_name, stage, has_protocol_error);
      }
    }
  }
  CHECK(report.text() == "");
}
