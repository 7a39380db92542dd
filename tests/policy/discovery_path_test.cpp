// When a new socket is opened for polls, and what operators are told.
#include "policy/discovery_path.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

TEST_CASE("discovery path: new sockets and logged events, by what was answered") {
  struct Case {
    // q: a query; a: a response to the first on its socket; l: to another; s: a malformed one; r: refused.
    std::string steps;
    // F: a new socket; P: path unresponsive; S: server unresponsive; R: refused; X: malformed; A: recovered.
    std::string reported;
  };
  const std::string names = "-SRXPA";
  for (const auto& [steps, reported] : {
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
    DiscoveryPath path;
    std::string got;
    const auto record = [&](DiscoveryPath::Event event) {
      if (event != DiscoveryPath::Event::kNone) got += names[static_cast<std::size_t>(event)];
    };
    for (const char step : steps) {
      if (step == 'q' && path.needs_new_socket()) {
        path.on_socket_opened();
        got += 'F';
      }
      if (step == 'q') record(path.on_poll_sent());
      if (step == 'r') record(path.on_refused());
      if (step != 'q' && step != 'r') record(path.on_response(step == 'a', step != 's'));
    }
    CHECK(got == reported);
  }
  DiscoveryPath none;  // without a new socket the fault is reported all the same
  std::string got;
  for (int i = 0; i < 20; ++i) got += names[static_cast<std::size_t>(none.on_poll_sent())];
  CHECK(got == "------S-------------");
}

}  // namespace
}  // namespace rookproxy::policy
