// How the program ends, with signals at every moment.
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>

#include "support/scenario.h"

using namespace rookproxy::test;

TEST_CASE("graceful shutdown: SIGTERM with other signals: what was taken is served, and it exits with 0") {
  const std::pair<const char*, const char*> orders[] = {
      {"SIGHUP and SIGTERM in one turn", "signal STOP\nsignal HUP\nsignal TERM\nsignal CONT\n"},
      {"SIGTERM, then SIGHUP",
       "signal TERM\nexpect log graceful shutdown started\nsignal HUP\nexpect log configuration reloaded\n"},
      {"SIGTERM, then SIGHUP with a broken file",
       "signal TERM\nexpect log graceful shutdown started\nconfigure {\nsignal HUP\nexpect log configuration "
       "reload failed\n"},
      {"SIGHUP with a broken file, and SIGTERM in one turn",
       "configure {\nsignal STOP\nsignal HUP\nsignal TERM\nsignal CONT\nexpect log configuration "
       "reload failed\n"},
      {"SIGTERM twice", "signal TERM\nexpect log graceful shutdown started\nsignal TERM\n"},
      {"SIGTERM, then SIGINT", "signal TERM\nexpect log graceful shutdown started\nsignal INT\n"},
      {"SIGTERM and SIGINT in one turn", "signal STOP\nsignal INT\nsignal TERM\nsignal CONT\n"}};
  for (const auto& [what, signals] : orders) {
    DYNAMIC_SECTION(what) {
      run_scenario(
          std::string("engines a\nstart\nclient c\nsend c request 1 load 20000 INSERT INTO s_1.t VALUES (1)\n"
                      "expect a REQ\n") +
          signals + "expect c goaway\nsend a data parts=1 one\\n\nexpect c served 1 one\\n\n" +
          "expect c eof\nclose c\nexpect dispatcher exit 0\nexpect a requests 1\n");
    }
  }
}

TEST_CASE("graceful shutdown: a client that reads nothing finds its response and the end when it does") {
  run_scenario(R"(
    engines a
    start
    client c
    send c request 1 load 3000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    send a data parts=1 one\n
    expect figure passed.load=1
    signal TERM
    expect dispatcher exit 0
    expect c served 1 one\n
    expect c goaway
    expect c eof
    expect a requests 1)");
}

TEST_CASE("graceful shutdown: SIGTERM at each stage of a request: one response, and a load runs once") {
  // `before` SIGTERM, and `after`; then the client has its end and nothing more, and the engine had so many
  // requests.
  struct Step {
    const char* what;
    std::string before, after;
    int requests;
  };
  const Step steps[] = {
      {"an idle connection", "", "", 0},
      {"half a frame, for good", "send c begin request 1 CLASS 3000 INSERT", "", 0},
      {"half a frame, then the rest", "send c begin request 1 CLASS 3000 INSERT",
       "send c finish\nexpect a REQ\nsend a data parts=1 one\\n\nexpect c served 1 one\\n", 1},
      {"no attempt yet", "fill a\nsend c request 1 CLASS HANG INSERT", "expect c final 1", 0},
      {"the engine hangs", "send c request 1 CLASS HANG INSERT\nexpect a REQ", "expect c failed 1", 1},
      {"the engine hangs, the client has asked again",
       "send c request 1 CLASS HANG INSERT\nexpect a REQ\nsend c request 2 CLASS HANG INSERT\nexpect a REQ",
       "expect c failed 1\nexpect c failed 2", 2},
      {"half an answer, then the rest",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsend a begin data parts=1 one\\n",
       "send a finish\nexpect c served 1 one\\n", 1},
      {"half an answer, for good",
       "send c request 1 CLASS HANG INSERT\nexpect a REQ\nsend a begin data parts=1 one\\n",
       "expect c failed 1", 1},
      {"answered",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsend a data parts=1 one\\n\n"
       "expect c served 1 one\\n",
       "", 1},
      {"answered as it stops",
       "send c request 1 CLASS 3000 INSERT\nexpect a REQ\nsignal STOP\nsend a data parts=1 one\\n",
       "expect c served 1 one\\n", 1},
  };
  for (const char* cls : {"lookup", "load"}) {
    for (const Step& step : steps) {
      DYNAMIC_SECTION(step.what << ", " << cls) {
        // Of a load that is too short for its time nothing would be sent at all.
        const std::map<std::string, std::string> words{
            {"CLASS", cls}, {"HANG", cls == std::string("lookup") ? "900" : "3000"}};
        std::string scenario = "engines a\nstart\nclient c\nsend c ready 900\nexpect c ready 0\n" +
                               step.before + "\nsignal TERM\nsignal CONT\nexpect c goaway among\n" +
                               step.after + "\nexpect c eof\nclose c\nexpect dispatcher exit 0\n";
        // A lookup may be tried again, a load never.
        if (cls == std::string("load")) scenario += "expect a requests " + std::to_string(step.requests);
        for (const auto& [word, value] : words) {
          for (std::size_t at; (at = scenario.find(word)) != std::string::npos;)
            scenario.replace(at, word.size(), value);
        }
        run_scenario(scenario);
      }
    }
  }
}

TEST_CASE("graceful shutdown: idle clients are closed while a request is open, and send in vain then") {
  // Guards against resting clients that SIGKILL ends because one engine hangs, and against a reset for who
  // asks late.
  run_scenario(R"(
    engines a
    start
    client rests
    client asks
    send rests request 1 lookup 3000 SELECT 1
    expect a REQ
    send a data parts=1 one\n
    expect rests served 1 one\n
    send asks request 1 load 20000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    signal TERM
    expect rests goaway
    expect rests eof
    send rests request 2 load 20000 INSERT INTO s_1.t VALUES (2)
    expect a nothing 100
    close rests
    send a data parts=1 two\n
    expect asks goaway
    expect asks served 1 two\n
    expect asks eof
    close asks
    expect dispatcher exit 0
    expect a requests 2)");
}

TEST_CASE("graceful shutdown: requests that came while the process was stopped are served") {
  // Guards against an exit by the clock alone: a wait that a signal cut short has seen neither the backlog
  // nor what lies unread on open connections.
  run_scenario(R"(
    engines a
    start
    client c
    send c ready 900
    expect c ready 0
    signal TERM
    expect c goaway
    signal STOP
    send c request 1 lookup 9000 SELECT 1
    client d
    send d request 1 load 9000 INSERT INTO s_1.t VALUES (1)
    wait 1200
    signal CONT
    expect a REQ
    send a data parts=1 one\n
    expect a REQ
    send a data parts=1 one\n
    expect c served 1 one\n
    expect c eof
    close c
    expect d goaway among
    expect d served 1 one\n
    expect d eof
    close d
    expect dispatcher exit 0
    expect a requests 2)");
}
