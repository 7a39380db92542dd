// Faults at every point: answers cut after each byte, clients that end at each step of a request's life,
// drains told at each step of an attempt's.
#include <catch2/catch.hpp>
#include <memory>
#include <thread>

#include "moments_world.h"

using namespace rookproxy;
using namespace rookproxy::test;

namespace {

// ---- an engine's answer, cut after each byte
// ----------------------------------------------------------------

// Answers so that `most` bytes leave in all, pages as they are fetched; true if it was whole.
bool answer_in_part(World& world, std::size_t attempt, const std::string& kind, std::size_t most) {
  const std::string id = world.seen[attempt].id;
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
    if (part > 0 && !world.seen[attempt].fetched.contains(part))
      throw std::runtime_error("a page not fetched");
    const std::size_t now = std::min(most, parts[part].size());
    const bool whole = now == parts[part].size();
    if (whole && part + 1 == parts.size()) {
      if (kind == "data") world.served(attempt, body);
      if (kind == "full" || kind == "moot") world.seen[attempt].unrun = world.now();
      if (kind != "news") world.seen[attempt].open = false;
    }
    world.write(attempt, parts[part].substr(0, now));
    most -= now;
    if (!whole) {
      if (now > 0 || part > 0) world.seen[attempt].open = false;  // nothing more comes: it would not be read
      return false;
    }
  }
  return true;
}

void cut_answers(const std::string& kind) {
  HandClock clock;
  Report report;
  for (const char* cls : kClasses) {
    for (const End how : {End::kClose, End::kReset, End::kSilent}) {
      for (const bool every : {false, true}) {
        if (every && how != End::kReset) continue;
        bool whole = false;
        for (std::size_t most = 0; !whole; ++most) {
          Setup setup;
          if (every) setup.max_attempts = 2;
          World world(clock, setup);
          const std::size_t client = world.connect(), request = world.ask(client, cls);
          world.ask(client, "safe");  // is owed its own answer, perhaps from the same connection
          // Answered from outside the engines' turn, which the pages need.
          std::vector<std::size_t> come;
          world.on_request = [&](std::size_t attempt) { come.push_back(attempt); };
          world.settle();
          const auto first = std::find(come.begin(), come.end(), world.attempt_of(request));
          if (first == come.end()) throw std::runtime_error("no attempt");
          std::swap(*first, come.front());
          for (std::size_t i = 0; i < come.size(); ++i) {
            if (i == 0 || (every && world.seen[come[i]].id == world.requests[request].call)) {
              whole = answer_in_part(world, come[i], kind, most);
              world.settle();
              world.cut(come[i], how);
            } else {
              world.serve(come[i]);
            }
            world.pass(i == 0 ? 60ms : 20ms);
          }
          report.add(world,
                     Point(cls, how == End::kSilent ? "silence" : name_of(how), every ? "all" : "one", most));
        }
      }
    }
  }
  WARN(kind << ": " << report.points << " points");
  CHECK(report.text() == "");
}

}  // namespace

TEST_CASE("moments: an answer is cut after each byte") {
  for (const char* kind : {"data", "full", "failed", "news", "moot"}) cut_answers(kind);
}

// ---- a client ends at each step of its request's life
// -------------------------------------------------------

namespace {

enum class Step {
  kConnected,
  kPart,
  kArriving,  // no turn of the loop since its last byte
  kPlaced,    // just one
  kDialling,
  kBetween,
  kWritten,
  kNoted,
  kHalf,
  kWhole,
  kBeforeWhole,
  kAnswered
};
const char* const kSteps[] = {"connected", "part",  "arriving", "placed", "dialling",     "between",
                              "written",   "noted", "half",     "whole",  "before whole", "answered"};
enum class Company { kAlone, kOthers, kDead };
const char* const kCompanies[] = {"alone", "with others", "dead"};

// The engine's answer to it, in part or whole; nothing moves after it.
void half_answer(World& world, std::size_t attempt) {
  world.write(attempt, world.seen[attempt].id + " data parts=1 9\r\na\tb");
  world.seen[attempt].open = false;  // nothing more comes
}

// A first request warms connections, which then rest; whatever else engines get they hold.
void warm_up(World& world) {
  world.on_request = [&world](std::size_t attempt) { world.serve(attempt); };
  world.ask(world.connect(), "safe");
  world.settle();
  world.on_request = [](std::size_t) {};
}

// All resting connections to engines end; with `fill` none comes up any more.
void end_links(World& world, End how, bool fill) {
  for (Engine& engine : world.engines) {
    if (fill) engine.fill();
    for (std::size_t i = 0; i < engine.links.size(); ++i) engine.end(i, how);
  }
}

// Brings a request so far, up to where `then` is to happen, and lets it happen.
void bring(World& world, Step step, std::size_t client, std::size_t request, std::size_t part, bool spoil,
           const std::function<void()>& then) {
  const auto spoil_now = [&] {
    if (spoil) world.say(client, frames::make_frame(99, 0, ""));
  };
  if (step == Step::kConnected || step == Step::kPart) {
    spoil_now();
    if (step == Step::kPart) world.say(client, world.frame(request).substr(0, part));
    world.settle();
    return then();
  }
  if (step == Step::kDialling) {
    for (Engine& engine : world.engines) engine.fill();
  }
  if (step == Step::kBetween) {
    warm_up(world);
    world.before_settle = [&] {
      end_links(world, End::kReset, true);
      then();
    };
  }
  world.requests[request].taken = world.now();
  world.say(client, world.frame(request));
  spoil_now();
  if (step == Step::kPlaced) world.loop.poll();
  if (step == Step::kArriving || step == Step::kPlaced) return then();
  world.settle();
  if (step == Step::kBetween) return;
  if (step == Step::kDialling) return then();
  const std::size_t attempt = world.attempt_of(request);
  if (attempt == SIZE_MAX) throw std::runtime_error("no attempt");
  if (step == Step::kNoted)
    world.write(attempt, world.seen[attempt].id + " news detail=frac,value=0.5 0\r\n\r\n");
  if (step == Step::kHalf) half_answer(world, attempt);
  if (step == Step::kAnswered) world.clients[client].reads = false;
  if (step == Step::kWhole || step == Step::kAnswered) world.serve(attempt);
  if (step != Step::kWhole && step != Step::kBeforeWhole) world.settle();
  then();
  if (step == Step::kBeforeWhole) world.serve(attempt);
}

}  // namespace

TEST_CASE("moments: a client ends at each step of its request's life") {
  HandClock clock;
  Report report;
  const auto point = [&](const Setup& setup, const char* cls, Step step, End how, Company company,
                         std::size_t part) {
    World world(clock, setup);
    const std::size_t client = world.connect();
    if (company == Company::kOthers) {
      for (int i = 0; i < 3; ++i) world.ask(client, "safe");
      if (step != Step::kDialling) world.settle();
    }
    const std::size_t request = world.make(client, cls);
    bring(world, step, client, request, part, company == Company::kDead,
          [&] { world.end(client, how, request); });
    world.settle();
    report.add(world, Point(kSteps[static_cast<int>(step)], part, cls, name_of(how),
                            kCompanies[static_cast<int>(company)], setup.may_cancel ? "" : "no STOP"));
  };
  World any(clock);
  const std::size_t frame = any.frame(any.make(any.connect(), "safe")).size();
  for (const Company company : {Company::kAlone, Company::kOthers, Company::kDead}) {
    for (const End how : {End::kClose, End::kReset, End::kHalfClose, End::kAbandon}) {
      for (const char* cls : kClasses) {
        for (int step = static_cast<int>(Step::kArriving); step <= static_cast<int>(Step::kAnswered);
             ++step) {
          for (const bool may_cancel : {true, false}) {
            Setup setup;
            setup.may_cancel = may_cancel;
            point(setup, cls, static_cast<Step>(step), how, company, 0);
          }
        }
      }
      point({}, "safe", Step::kConnected, how, company, 0);
      for (std::size_t part = 1; how != End::kAbandon && part < frame; ++part)
        point({}, "safe", Step::kPart, how, company, part);
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

TEST_CASE("moments: a client that takes no answers ends while others of its requests are out") {
  HandClock clock;
  Report report;
  for (const End how : {End::kClose, End::kReset, End::kHalfClose, End::kAbandon}) {
    for (const char* cls : kClasses) {
      Setup setup;
      setup.deaf = true;
      World world(clock, setup);
      world.filler = std::string(40'000, 'x');
      const std::size_t client = world.connect();
      for (int i = 0; i < 4; ++i) world.ask(client, "safe");
      const std::size_t request = world.ask(client, cls);
      world.settle();
      world.clients[client].reads = false;
      for (std::size_t i = 0; i < world.seen.size(); ++i) {
        if (world.seen[i].id != world.requests[request].call) world.serve(i);
      }
      world.settle();
      world.end(client, how, request);
      world.settle();
      report.add(world, Point(cls, name_of(how)));
    }
  }
  CHECK(report.text() == "");
}

// ---- orders that wait behind bytes an engine does not take
// ----------------------------------------------------

// Requests of a quarter of a megabyte: more together than the kernel keeps for one connection.
constexpr int kBulky = 18;

TEST_CASE("moments: an order waits behind what its engine does not read") {
  HandClock clock;
  Report report;
  const auto point = [&](const Setup& setup, const char* cls, const std::string& event, End how) {
    World world(clock, setup);
    for (std::size_t i = 1; i < 4; ++i) world.tell(i, lemonshift::EngineState::kGone);
    Engine& engine = world.engines[0];
    const int small = 4096;
    ::setsockopt(engine.listener.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    engine.reads = false;
    const std::size_t other = world.connect(), client = world.connect();
    world.statement += std::string(250'000, ' ');
    for (int i = 0; i < kBulky; ++i) {
      world.requests[world.ask(other, "safe", 900ms)].unread = true;
      world.settle();
    }
    world.statement.resize(19);
    const std::size_t request = world.ask(client, cls);
    world.settle();
    if (world.attempts_written() >= kBulky) throw std::runtime_error("the kernel took them all");
    if (world.pool.attempts_carried() <= kBulky) throw std::runtime_error("no order waits");
    if (event == "gone") world.end(client, how, request);
    if (event == "cut") {
      world.pass(30ms);
      for (std::size_t i = 0; i < engine.links.size(); ++i) engine.end(i, how);
    }
    if (event == "drain") world.tell(0, lemonshift::EngineState::kDraining);
    report.add(world, Point(event, cls, name_of(how), setup.may_cancel ? "" : "no STOP"));
  };
  for (const char* cls : kClasses) {
    if (std::string(cls) == "unsafe") continue;  // gets a connection of its own, and leaves at once
    for (const bool may_cancel : {true, false}) {
      Setup setup;
      setup.may_cancel = may_cancel;
      setup.spread = 32;
      setup.grace = 120ms;
      for (const End how : {End::kClose, End::kReset, End::kHalfClose, End::kAbandon}) {
        point(setup, cls, "gone", how);
      }
      for (const End how : {End::kClose, End::kReset}) point(setup, cls, "cut", how);
      point(setup, cls, "drain", End::kSilent);
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

// ---- connections that end, come late or say too much
// ---------------------------------------------------------

TEST_CASE("moments: an engine ends its resting connection in the turn in which an order is placed on it") {
  HandClock clock;
  Report report;
  for (const char* cls : kClasses) {
    for (const End how : {End::kClose, End::kReset}) {
      for (const char* when : {"before", "with it", "between", "after"}) {
        World world(clock);
        warm_up(world);
        world.on_request = [&](std::size_t attempt) { world.serve(attempt); };
        const auto ends = [&] { end_links(world, how, false); };
        const std::string order = when;
        if (order == "before") ends();
        if (order == "between") world.before_settle = ends;
        const std::size_t client = world.connect();
        world.ask(client, cls);
        if (order == "with it") ends();
        if (order == "after") {
          world.loop.poll();
          ends();
        }
        world.settle();
        report.add(world, Point(cls, name_of(how), when));
      }
    }
  }
  CHECK(report.text() == "");
}

TEST_CASE("moments: answers that come twice, late, or to what was given up") {
  HandClock clock;
  Report report;
  const auto words = [](World& world, std::size_t attempt, const std::string& what) {
    const std::string& id = world.seen[attempt].id;
    if (what == "data") return world.serve(attempt);
    if (what == "full") return world.turn_away(attempt);
    if (what == "page") return world.write(attempt, id + " page part_no=1 0\r\n\r\n");
    if (what == "failed") world.seen[attempt].open = false;
    world.write(attempt, id + " " + what + " - 0\r\n\r\n");
  };
  for (const char* cls : kClasses) {
    for (const char* first : {"data", "full", "failed", "given up"}) {
      for (const char* second : {"data", "full", "failed", "news", "page", "moot"}) {
        for (const Duration pause : {0ms, 3ms, 40ms}) {
          World world(clock);
          const std::size_t client = world.connect();
          world.ask(client, "safe");  // shares its connection, and is owed its own answer
          const std::size_t request = world.ask(client, cls);
          world.settle();
          const std::size_t attempt = world.attempt_of(request);
          if (attempt == SIZE_MAX) throw std::runtime_error("no attempt");
          if (std::string(first) == "given up") {
            world.end(client, End::kAbandon, request);
          } else {
            words(world, attempt, first);
          }
          if (pause > Duration(0)) world.pass(pause);
          // A second answer is none: what the first proved holds.
          const Seen before = world.seen[attempt];
          const bool made = std::string(second) == "data" && std::string(first) != "given up";
          if (made) {
            world.write(attempt, before.id + " data parts=1 4\r\nab\tc\r\n");
          } else if (std::string(second) == "full") {
            world.write(attempt, before.id + " full - 0\r\n\r\n");
          } else {
            words(world, attempt, second);
          }
          if (std::string(first) != "given up") world.seen[attempt] = before;
          world.settle();
          report.add(world, Point(cls, first, second, pause / 1ms));
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
  HandClock clock;
  Report report;
  struct Late {
    std::unique_ptr<World> world;
    std::string point;
    std::function<void()> then;
  };
  std::vector<Late> all;
  Setup setup;
  setup.dial_timeout = 5s;
  const auto add = [&](const Setup& with, const std::string& point) -> World& {
    all.push_back({std::make_unique<World>(clock, with), point, [] {}});
    return *all.back().world;
  };
  for (const char* cls : kClasses) {
    for (const bool may_cancel : {true, false}) {
      for (const End how : {End::kClose, End::kReset, End::kHalfClose, End::kAbandon}) {
        setup.may_cancel = may_cancel;
        World& world = add(setup, Point("gone", cls, name_of(how), may_cancel ? "" : "no STOP"));
        for (Engine& engine : world.engines) engine.fill();
        const std::size_t client = world.connect(), request = world.ask(client, cls);
        all.back().then = [&world, client, request, how] { world.end(client, how, request); };
      }
    }
    setup.may_cancel = true;
    World& late = add(setup, Point("deadline", cls));
    for (Engine& engine : late.engines) engine.fill();
    late.ask(late.connect(), cls, 600ms);
    for (const auto state : {lemonshift::EngineState::kDraining, lemonshift::EngineState::kGone}) {
      Setup brief = setup;
      brief.grace = 120ms;
      World& world = add(brief, Point("drain", cls, static_cast<int>(state)));
      for (Engine& engine : world.engines) engine.fill();
      world.ask(world.connect(), cls);
      all.back().then = [&world, state] {
        for (std::size_t i = 0; i < 4; ++i) world.tell(i, state);
      };
    }
    // A second attempt, behind one that may have run: its window ends while it dials.
    World& second = add(setup, Point("window", cls));
    const std::size_t request = second.ask(second.connect(), cls);
    second.settle();
    const std::size_t attempt = second.attempt_of(request);
    if (attempt == SIZE_MAX) throw std::runtime_error("no attempt");
    for (Engine& engine : second.engines) engine.fill();
    all.back().then = [&second, attempt] { second.cut(attempt, End::kReset); };
  }
  std::vector<World*> worlds;
  for (Late& late : all) worlds.push_back(late.world.get());
  for (World* world : worlds) world->settle();
  for (Late& late : all) {
    if (late.world->pool.attempts_carried() == 0) throw std::runtime_error("no order waits: " + late.point);
    late.then();
  }
  World::pass(clock, worlds, 650ms);
  for (World* world : worlds) {
    for (Engine& engine : world->engines) engine.let();
  }
  const auto until = std::chrono::steady_clock::now() + 1500ms;
  while (std::chrono::steady_clock::now() < until) {
    for (World* world : worlds) world->settle();
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
  HandClock clock;
  Report report;
  for (const auto state : {lemonshift::EngineState::kDraining, lemonshift::EngineState::kGone}) {
    for (const char* cls : kClasses) {
      for (int step = static_cast<int>(Step::kArriving); step <= static_cast<int>(Step::kAnswered); ++step) {
        for (const Duration later : {0ms, 100ms}) {
          for (std::size_t engine = 0; engine < 4; ++engine) {
            Setup setup;
            setup.grace = 300ms;
            World world(clock, setup);
            const std::size_t client = world.connect(), request = world.make(client, cls);
            bring(world, static_cast<Step>(step), client, request, 0, false,
                  [&] { world.tell(engine, state); });
            world.clients[client].reads = true;
            world.pass(later);
            report.add(world,
                       Point(kSteps[step], cls, static_cast<int>(state), "engine", engine, later / 1ms));
          }
        }
      }
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

TEST_CASE("moments: the front drains at each step of a request's life") {
  HandClock clock;
  Report report;
  for (const char* cls : kClasses) {
    for (int step = static_cast<int>(Step::kConnected); step <= static_cast<int>(Step::kAnswered); ++step) {
      for (const bool spoil : {false, true}) {
        World world(clock);
        const std::size_t client = world.connect(), request = world.make(client, cls);
        bring(world, static_cast<Step>(step), client, request, 20, spoil, [&] { world.drain(); });
        // What was begun is finished, and what comes behind the word is served as well.
        if (step == static_cast<int>(Step::kPart) && !spoil) {
          world.requests[request].taken = world.now();
          world.say(client, world.frame(request).substr(20));
        }
        if (!spoil) world.ask(client, cls);
        report.add(world, Point(kSteps[step], cls, spoil ? "dead" : ""));
      }
    }
  }
  CHECK(report.text() == "");
}
