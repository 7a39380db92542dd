// Faults in what engines respond: cut after each byte, twice, late, or to attempts that were cancelled.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/invariant_report.h"
#include "support/manual_clock.h"
#include "support/require.h"
#include "support/test_cluster.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

constexpr int kPages = 3;

// ---- a response, cut after each byte

// A response as its engine sends it: the second and later parts are pages that have to be fetched first.
struct ScriptedResponse {
  std::string kind;
  std::vector<std::string> parts;
  std::string body;  // of all pages
};

ScriptedResponse make_paged_response(const std::string& id, std::size_t attempt) {
  ScriptedResponse response{"data", {}, ""};
  for (int page = 0; page < kPages; ++page) {
    const std::string row =
        id.substr(12) + "\t" + std::to_string(attempt) + "\t" + std::to_string(page) + "\n";
    const std::string kind =
        page == 0 ? " data parts=" + std::to_string(kPages) : " page part_no=" + std::to_string(page);
    response.body += row;
    response.parts.push_back(id + kind + " " + std::to_string(row.size()) + "\r\n" + row + "\r\n");
  }
  return response;
}

ScriptedResponse make_response(const std::string& kind, const std::string& id, std::size_t attempt) {
  if (kind == "data") return make_paged_response(id, attempt);
  if (kind == "news") return {kind, {id + " news detail=frac,value=0.5 0\r\n\r\n"}, ""};
  return {kind, {id + " " + kind + " - 0\r\n\r\n"}, ""};
}

// The last byte of the response is about to be sent.
void record_response(TestCluster& cluster, std::size_t attempt, const ScriptedResponse& response) {
  ObservedAttempt& observed = cluster.attempt(attempt);
  if (response.kind == "data") cluster.record_produced_body(attempt, response.body);
  if (response.kind == "full" || response.kind == "moot") observed.proven_not_run_at = cluster.now();
  if (response.kind != "news") observed.is_in_flight = false;
}

// Sends the response up to so many bytes in all, pages as they are fetched; true if that was all of it.
bool write_truncated_response(TestCluster& cluster, std::size_t attempt, const ScriptedResponse& response,
                              std::size_t limit) {
  const std::vector<std::string>& parts = response.parts;
  for (std::size_t part = 0; part < parts.size(); ++part) {
    if (part > 0) {
      cluster.settle();
      require(cluster.attempt(attempt).fetched_parts.contains(part), "a page that was not fetched");
    }
    const std::size_t size = std::min(limit, parts[part].size());
    const bool is_complete = size == parts[part].size();
    if (is_complete && part + 1 == parts.size()) record_response(cluster, attempt, response);
    cluster.write(attempt, parts[part].substr(0, size));
    limit -= size;
    if (is_complete) continue;
    // Nothing more comes: it would not be read.
    if (size > 0 || part > 0) cluster.attempt(attempt).is_in_flight = false;
    return false;
  }
  return true;
}

// How the responses to a request are cut.
struct Truncation {
  const char* class_name;
  std::string kind;  // of the response
  CloseKind close_kind;
  bool every_attempt;  // of the request, not only its first one
};

// Sends one response up to that limit, and closes its connection; true if that was all of it.
bool cut_response(TestCluster& cluster, std::size_t attempt, const Truncation& truncation,
                  std::size_t limit) {
  const auto response = make_response(truncation.kind, cluster.attempt(attempt).id, attempt);
  const bool is_complete = write_truncated_response(cluster, attempt, response, limit);
  cluster.settle();
  cluster.close_attempt_connection(attempt, truncation.close_kind);
  return is_complete;
}

// One point: the responses are cut after `limit` bytes; true if that was all of the last one.
bool truncate_response(ManualClock& clock, InvariantReport& report, const Truncation& truncation,
                       std::size_t limit) {
  ClusterOptions options;
  if (truncation.every_attempt) options.max_attempts = 2;
  TestCluster cluster(clock, options);
  const std::size_t client = cluster.connect();
  const std::size_t request = cluster.send_request(client, truncation.class_name);
  cluster.send_request(client, "safe");  // is owed its own response, perhaps from the same connection
  cluster.settle();
  const std::size_t first = cluster.require_attempt_of(request);
  bool is_complete = cut_response(cluster, first, truncation, limit);
  cluster.advance_time(60ms);
  // More attempts come meanwhile.
  for (std::size_t index = 0; index < cluster.received_attempts().size(); ++index) {
    const std::size_t attempt = cluster.received_attempts()[index];
    if (attempt == first) continue;
    if (truncation.every_attempt && cluster.is_attempt_of(attempt, request)) {
      is_complete = cut_response(cluster, attempt, truncation, limit);
    } else {
      cluster.serve(attempt);
    }
    cluster.advance_time(20ms);
  }
  report.add(cluster, point_name(truncation.class_name, close_kind_name(truncation.close_kind),
                                 truncation.every_attempt ? "all" : "one", limit));
  return is_complete;
}

void truncate_response_at_each_byte(ManualClock& clock, InvariantReport& report,
                                    const Truncation& truncation) {
  for (std::size_t limit = 0; !truncate_response(clock, report, truncation, limit); ++limit) continue;
}

// ---- responses that come twice, late, or to cancelled attempts

constexpr const char* kCancelledFirst = "cancelled";

void write_response(TestCluster& cluster, std::size_t attempt, const std::string& kind) {
  const std::string& id = cluster.attempt(attempt).id;
  if (kind == "data") return cluster.serve(attempt);
  if (kind == "full") return cluster.reject(attempt);
  if (kind == "page") return cluster.write(attempt, id + " page part_no=1 0\r\n\r\n");
  if (kind == "failed") cluster.attempt(attempt).is_in_flight = false;
  cluster.write(attempt, id + " " + kind + " - 0\r\n\r\n");
}

// A second response does not count: what the first proved holds.
void write_second_response(TestCluster& cluster, std::size_t attempt, const std::string& kind,
                           bool is_first) {
  const ObservedAttempt before = cluster.attempt(attempt);
  if (kind == "data" && !is_first) {
    cluster.write(attempt, before.id + " data parts=1 4\r\nab\tc\r\n");
  } else if (kind == "full") {
    cluster.write(attempt, before.id + " full - 0\r\n\r\n");
  } else {
    write_response(cluster, attempt, kind);
  }
  if (!is_first) cluster.attempt(attempt) = before;
}

// One point: the first response, a pause, and the second one.
void send_two_responses(ManualClock& clock, InvariantReport& report, const char* class_name,
                        const std::string& first, const char* second, Duration pause) {
  TestCluster cluster(clock);
  const std::size_t client = cluster.connect();
  cluster.send_request(client, "safe");  // shares its connection, and is owed its own response
  const std::size_t request = cluster.send_request(client, class_name);
  cluster.settle();
  const std::size_t attempt = cluster.require_attempt_of(request);
  const bool is_cancelled = first == kCancelledFirst;
  if (is_cancelled) {
    cluster.disconnect_client(client, CloseKind::kCancelRequest, request);
  } else {
    write_response(cluster, attempt, first);
  }
  if (pause > Duration(0)) cluster.advance_time(pause);
  write_second_response(cluster, attempt, second, is_cancelled);
  cluster.settle();
  report.add(cluster, point_name(class_name, first, second, pause / 1ms));
}

}  // namespace

TEST_CASE("fault injection: a response is cut after each byte") {
  ManualClock clock;
  for (const char* kind : {"data", "full", "failed", "news", "moot"}) {
    InvariantReport report;
    for (const char* class_name : kClassNames) {
      for (const CloseKind close_kind : {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kUnresponsive}) {
        truncate_response_at_each_byte(clock, report, {class_name, kind, close_kind, false});
      }
      truncate_response_at_each_byte(clock, report, {class_name, kind, CloseKind::kReset, true});
    }
    WARN(kind << ": " << report.points() << " points");
    CHECK(report.text() == "");
  }
}

TEST_CASE("fault injection: responses that come twice, late, or to cancelled attempts") {
  ManualClock clock;
  InvariantReport report;
  for (const char* class_name : kClassNames) {
    for (const char* first : {"data", "full", "failed", kCancelledFirst}) {
      for (const char* second : {"data", "full", "failed", "news", "page", "moot"}) {
        for (const Duration pause : {0ms, 3ms, 40ms}) {
          send_two_responses(clock, report, class_name, first, second, pause);
        }
      }
    }
  }
  WARN(report.points() << " points");
  CHECK(report.text() == "");
}
