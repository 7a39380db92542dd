// Tests the earliest time at which a list may have been announced.
#include "policy/unanswered_polls.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

TEST_CASE("unanswered polls: the earliest announcement follows the first poll without the newest list") {
  struct Case {
    // One poll per second from 1 s on; o: answered with the newest list; x: not.
    std::string steps;
    // The earliest announcement of a list that is received at 10 s.
    Duration expected;
  };
  for (const auto& [steps, expected] : {Case{"", 10s}, Case{"oooo", 10s}, Case{"xoxo", 10s},
                                        Case{"oooxxxxx", 4220ms}, Case{"x", 1220ms}, Case{"oox", 3220ms}}) {
    INFO(steps);
    UnansweredPolls polls;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const Time sent_at(std::chrono::seconds(i + 1));
      polls.on_poll_sent(sent_at);
      if (steps[i] == 'o') polls.on_answered(sent_at);
    }
    CHECK(polls.earliest_announcement(220ms, Time(10s)) == Time(expected));
  }
  UnansweredPolls recent;
  recent.on_poll_sent(Time(9950ms));
  CHECK(recent.earliest_announcement(220ms, Time(10s)) == Time(10s));
  UnansweredPolls overtaken;  // A late response to an earlier poll changes nothing.
  for (const auto at : {1s, 2s, 3s}) overtaken.on_poll_sent(Time(at));
  overtaken.on_answered(Time(3s));
  overtaken.on_answered(Time(1s));
  CHECK(overtaken.earliest_announcement(220ms, Time(10s)) == Time(10s));
  UnansweredPolls outage;  // The first poll of a long outage is kept.
  for (int i = 1; i <= 1000; ++i) outage.on_poll_sent(Time(std::chrono::milliseconds(i)));
  CHECK(outage.earliest_announcement(220ms, Time(10s)) == Time(221ms));
}

}  // namespace
}  // namespace rookproxy::policy
