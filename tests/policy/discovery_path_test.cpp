// Whether service discovery is reachable: when a new socket is opened, and what operators are told.
#include "policy/discovery_path.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace rookproxy::policy {
namespace {

constexpr char kNewSocket = 'F';

// One letter an event: path unresponsive, server unresponsive, refused, malformed response, recovered.
std::string event_letter(DiscoveryPath::Event event) {
  switch (event) {
    case DiscoveryPath::Event::kNone:
      return "";
    case DiscoveryPath::Event::kPathUnresponsive:
      return "P";
    case DiscoveryPath::Event::kServerUnresponsive:
      return "S";
    case DiscoveryPath::Event::kConnectionRefused:
      return "R";
    case DiscoveryPath::Event::kMalformedResponse:
      return "X";
    case DiscoveryPath::Event::kRecovered:
      return "A";
  }
  return "?";
}

// The letters of what happens; `steps` has one letter a step. q: a query is sent; a: its socket's first query
// is answered; l: a later one is; s: one is answered with a malformed response; r: one is refused.
std::string events_after(std::string_view steps) {
  DiscoveryPath path;
  std::string events;
  for (const char step : steps) {
    if (step == 'q' && path.needs_new_socket()) {
      path.on_socket_opened();
      events += kNewSocket;
    }
    if (step == 'q') {
      events += event_letter(path.on_poll_sent());
    } else if (step == 'r') {
      events += event_letter(path.on_refused());
    } else {
      events += event_letter(path.on_response(step == 'a', step != 's'));
    }
  }
  return events;
}

TEST_CASE("discovery path: new sockets and logged events, by what was answered") {
  struct Case {
    std::string_view steps;
    std::string_view events;
  };
  for (const auto& [steps, events] : {
           Case{"qaqlqlqlql", ""},
           Case{"qaqqlqqlqql", ""},        // one lost now and then
           Case{"qaqqqaqlql", "FP"},       // two lost, and a new socket is answered at once
           Case{"qaqqqqlqa", "F"},         // not at once: whether path or server is at fault is unknown
           Case{"qaqqlqqqaqqqa", "FPFP"},  // every time
           Case{"qaqqqqqqqaql", "FFSA"},
           Case{"qaqqqqqqql", "FFSA"},  // late
           Case{"qqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqq", "FFSFF"},
           Case{"qaqrqrqrqrqrqrqa", "RFFA"},  // refused is not unresponsive
           Case{"qaqrqlqrql", "RARA"},
           Case{"qaqsqsqsqsql", "XA"},  // a malformed response shows that the path works
           Case{"qaqqqqqqqsql", "FFSXA"},
       }) {
    INFO(steps);
    CHECK(events_after(steps) == events);
  }
}

TEST_CASE("discovery path: without a new socket the fault is reported all the same") {
  DiscoveryPath path;
  for (int poll = 1; poll <= 20; ++poll) {
    INFO(poll);
    CHECK(event_letter(path.on_poll_sent()) == (poll == 7 ? "S" : ""));
  }
}

}  // namespace
}  // namespace rookproxy::policy
