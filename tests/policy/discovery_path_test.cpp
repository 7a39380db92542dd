// Tests when a new socket is opened for polls, and which events are reported.
#include "policy/discovery_path.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

TEST_CASE("discovery path: unanswered polls lead to new sockets and are reported once") {
  struct Case {
    // q: a poll; a: a response to the first poll of its socket; l: to a later poll; s: a malformed response;
    // r: a refused poll.
    std::string steps;
    // F: a new socket; P: path unresponsive; S: server unresponsive; R: connection refused; X: malformed
    // response; A: recovered.
    std::string expected;
  };
  const std::string event_letters = "-SRXPA";
  for (const auto& [steps, expected] : {
           Case{"qaqlqlqlql", ""},
           Case{"qaqqlqqlqql", ""},        // Single lost responses.
           Case{"qaqqqaqlql", "FP"},       // Two lost, and the first poll of the new socket is answered.
           Case{"qaqqqqlqa", "F"},         // A later one is answered: the fault is unknown.
           Case{"qaqqlqqqaqqqa", "FPFP"},  // The path fails twice.
           Case{"qaqqqqqqqaql", "FFSA"},
           Case{"qaqqqqqqql", "FFSA"},  // A late response.
           Case{"qqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqq", "FFSFF"},
           Case{"qaqrqrqrqrqrqrqa", "RFFA"},  // Refusals are not reported as unresponsive.
           Case{"qaqrqlqrql", "RARA"},
           Case{"qaqsqsqsqsql", "XA"},  // A malformed response shows that the path works.
           Case{"qaqqqqqqqsql", "FFSXA"},
       }) {
    INFO(steps);
    DiscoveryPath path;
    std::string events;
    const auto record = [&](DiscoveryPath::Event event) {
      if (event != DiscoveryPath::Event::kNone) events += event_letters[static_cast<std::size_t>(event)];
    };
    for (const char step : steps) {
      if (step == 'q' && path.needs_new_socket()) {
        path.on_socket_opened();
        events += 'F';
      }
      if (step == 'q') record(path.on_poll_sent());
      if (step == 'r') record(path.on_refused());
      if (step != 'q' && step != 'r') record(path.on_response(step == 'a', step != 's'));
    }
    CHECK(events == expected);
  }
  DiscoveryPath path_alone;  // The fault is also reported if no new socket is opened.
  std::string events;
  for (int i = 0; i < 20; ++i) events += event_letters[static_cast<std::size_t>(path_alone.on_poll_sent())];
  CHECK(events == "------S-------------");
}

}  // namespace
}  // namespace rookproxy::policy
