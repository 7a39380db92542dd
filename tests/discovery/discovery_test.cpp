// The directory's lists: which socket is asked from, what an operator is told of silence, and which answer
// counts, with a directory that answers, holds and drops at the test's word.
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <sstream>

#include "discovery/directory.h"
#include "fakes/dns_response.h"
#include "fakes/sockets.h"
#include "support/descriptor_limit.h"

namespace rookproxy {
namespace {

using namespace std::chrono_literals;
using policy::DiscoveryPath;
using policy::EndpointListVersion;

constexpr SocketAddress kAnywhere{0x7f000001, 0};

TEST_CASE("directory path: fresh sockets, and what an operator is told, by what was answered") {
  struct Case {
    // q: a question; a: its answer, the first on its socket; l: another one; s: a spoilt one; r: refused.
    std::string steps;
    // F: from a fresh socket; P: path silent; S: server silent; R: refused; X: spoilt; A: answers again.
    std::string told;
  };
  const std::string names = "-SRXPA";
  for (const auto& [steps, told] : {
           Case{"qaqlqlqlql", ""},
           Case{"qaqqlqqlqql", ""},        // one lost now and then
           Case{"qaqqqaqlql", "FP"},       // two lost, and a fresh socket is answered at once
           Case{"qaqqqqlqa", "F"},         // not at once: who was silent is not known
           Case{"qaqqlqqqaqqqa", "FPFP"},  // each time anew
           Case{"qaqqqqqqqaql", "FFSA"},
           Case{"qaqqqqqqql", "FFSA"},  // late
           Case{"qqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqq", "FFSFF"},
           Case{"qaqrqrqrqrqrqrqa", "RFFA"},  // never silent as well
           Case{"qaqrqlqrql", "RARA"},
           Case{"qaqsqsqsqsql", "XA"},  // whatever came, the path is not silent
           Case{"qaqqqqqqqsql", "FFSXA"},
       }) {
    INFO(steps);
    DiscoveryPath path;
    std::string got;
    const auto tell = [&](DiscoveryPath::Event news) {
      if (news != DiscoveryPath::Event::kNone) got += names[static_cast<std::size_t>(news)];
    };
    for (const char step : steps) {
      if (step == 'q' && path.needs_new_socket()) path.on_socket_opened(), got += 'F';
      if (step == 'q') tell(path.on_poll_sent());
      if (step == 'r') tell(path.on_refused());
      if (step != 'q' && step != 'r') tell(path.on_response(step == 'a', step != 's'));
    }
    CHECK(got == told);
  }
  DiscoveryPath none;  // where no fresh socket is to be had the operator is told all the same
  std::string got;
  for (int i = 0; i < 20; ++i) got += names[static_cast<std::size_t>(none.on_poll_sent())];
  CHECK(got == "------S-------------");
}

TEST_CASE("list order: by serial, and by when it was asked for") {
  using Place = EndpointListVersion::Ordering;
  struct Step {
    std::uint32_t serial;
    Duration asked, now;
    Place place;
  };
  struct Case {
    std::uint32_t first;
    std::vector<Step> steps;
  };
  for (const auto& [first, steps] : {
           Case{1, {{1, 0s, 1s, Place::kSame}, {2, 1s, 1s, Place::kNewer}, {2, 1s, 2s, Place::kSame}}},
           // Overtaken on its way, however late.
           Case{5, {{6, 2s, 3s, Place::kNewer}, {5, 1s, 4s, Place::kOlder}, {5, 3s, 30s, Place::kOlder}}},
           // The numbers wrap round.
           Case{0xffffffff, {{0, 1s, 1s, Place::kNewer}, {0xffffffff, 2s, 2s, Place::kSuspectedRestart}}},
           Case{0, {{0x7fffffff, 1s, 1s, Place::kNewer}, {0x80000000, 2s, 2s, Place::kNewer}}},
           // A server that lags now and then is never believed,
           Case{9,
                {{8, 1s, 1s, Place::kSuspectedRestart},
                 {8, 7s, 7s, Place::kOlder},
                 {9, 7s, 7s, Place::kSame},
                 {8, 9s, 9s, Place::kSuspectedRestart},
                 {8, 15s, 15s, Place::kOlder}}},
           // one that starts anew is, once no newer list can be on its way,
           Case{9,
                {{2, 1s, 1s, Place::kSuspectedRestart},
                 {3, 7999ms, 7999ms, Place::kOlder},
                 {3, 8s, 8s, Place::kServerRestarted},
                 {3, 9s, 9s, Place::kSame},
                 {4, 9s, 9s, Place::kNewer}}},
           // and its former numbers are newer ones again.
           Case{9,
                {{2, 1s, 1s, Place::kSuspectedRestart},
                 {2, 8s, 8s, Place::kServerRestarted},
                 {9, 8s, 9s, Place::kNewer}}},
       }) {
    EndpointListVersion order(first, Time(0s));
    for (const auto& step : steps) {
      INFO(step.serial << " at " << step.now.count());
      CHECK(order.classify(step.serial, Time(step.asked), Time(step.now)) == step.place);
    }
  }
}

TEST_CASE("drains: since when a list counts as told, by what went unanswered before it") {
  struct Case {
    std::optional<Time> unheard;
    Duration told;
  };
  for (const auto& [unheard, told] :
       {Case{std::nullopt, 10s}, Case{Time(9950ms), 10s}, Case{Time(9780ms), 10s}, Case{Time(9s), 9220ms},
        Case{Time(1s), 1220ms}}) {
    CHECK(policy::announced_since(unheard, 220ms, Time(10s)) == Time(told));
  }
}

// A directory in the test's own loop: each question is answered, held or dropped as the test says.
struct Server final : EventHandler {
  struct Question {
    std::string query;
    sockaddr_in from;
    std::uint16_t port() const { return ntohs(from.sin_port); }
  };
  Server(EventLoop& its_loop, std::function<void(const Question&)> then)
      : loop(its_loop), asked(std::move(then)), fd(bind_udp(kAnywhere)), key(loop.watch(fd.get(), *this)) {}
  ~Server() { loop.unwatch(key, fd.get()); }
  SocketAddress at() const { return {kAnywhere.ip, local_port(fd)}; }
  void on_ready(std::uint32_t) override {
    char bytes[1024];
    for (;;) {
      Question one{};
      socklen_t size = sizeof one.from;
      const auto got =
          ::recvfrom(fd.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&one.from), &size);
      if (got < 0) return;
      one.query.assign(bytes, static_cast<std::size_t>(got));
      questions.push_back(one);
      asked(questions.back());
    }
  }
  void send(const Question& to, const std::string& bytes) {
    ::sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to.from),
             sizeof to.from);
  }
  // One engine, whose port is the serial: a list is told apart by it.
  static std::string list(const Question& of, std::uint32_t serial, bool draining = false) {
    const auto state = draining ? routing::EngineState::kDraining : routing::EngineState::kServing;
    return test::make_dns_response(
        of.query, serial,
        {{"a", {kAnywhere.ip, static_cast<std::uint16_t>(serial)}, state, "z", "m", 0, 1, std::nullopt}});
  }
  void answer(const Question& of, std::uint32_t serial) { send(of, list(of, serial)); }
  std::set<std::uint16_t> ports() const {
    std::set<std::uint16_t> all;
    for (const auto& one : questions) all.insert(one.port());
    return all;
  }

  EventLoop& loop;
  std::function<void(const Question&)> asked;
  FileDescriptor fd;
  SlotKey key;
  std::vector<Question> questions;
};

struct Rig {
  explicit Rig(std::function<void(const Server::Question&)> asked, Duration its_poll = 5ms)
      : poll(its_poll), server(loop, std::move(asked)) {}
  void start(const SocketAddress& at) {
    directory.emplace(loop, log, at, "_app._tcp.cluster.lan", poll, 1, 7,
                      [this](const std::vector<EngineEndpoint>& members) {
                        told.push_back(members.at(0).address.port);
                        when.push_back({directory->list_effective_since(), loop.now()});
                      });
  }
  void run(std::function<bool()> done) {
    loop.on_iteration_end([this, done] {
      if (done()) loop.stop();
    });
    loop.run_at(loop.now() + test::kWaitLimit, [this] {
      late = true;
      loop.stop();
    });
    loop.run();
    INFO(text.str());
    REQUIRE(!late);
  }
  std::size_t lines(const std::string& of) const {
    std::size_t count = 0;
    for (auto at = text.str().find(of); at != std::string::npos; at = text.str().find(of, at + 1)) ++count;
    return count;
  }

  Duration poll;
  EventLoop loop;
  std::ostringstream text;
  Logger log{text, LogLevel::kDebug, "h", "a"};
  Server server;
  std::optional<DnsDiscoveryClient> directory;
  std::vector<std::uint16_t> told;
  struct When {
    Time since, now;
  };
  std::vector<When> when;
  bool late = false;
};

TEST_CASE("lists: a path that goes silent costs two questions, and a drain in them counts from then") {
  Rig* its = nullptr;
  Time first_dropped{};
  Rig rig([&](const Server::Question& one) {
    auto& server = its->server;
    if (one.port() != server.questions.front().port()) return server.answer(one, 3);
    if (server.questions.size() == 1) return server.answer(one, 2);
    if (server.questions.size() == 2) first_dropped = its->loop.now();
  });
  its = &rig;
  const Time began = rig.loop.now();
  rig.start(rig.server.at());
  rig.run([&] { return rig.told.size() == 2; });
  CHECK((rig.told == std::vector<std::uint16_t>{2, 3}));
  // One heard, two dropped, one from the fresh socket; on a busy machine one more leaves before each of the
  // two answers is read.
  CHECK(rig.server.questions.size() >= 4);
  CHECK(rig.server.questions.size() <= 6);
  CHECK(rig.server.ports().size() == 2);
  CHECK(rig.lines("the path of a socket was silent, the server was not") == 1);
  CHECK(rig.lines("no answers") == 0);
  const Duration pause = rig.poll * 11 / 10;  // the longest
  CHECK((rig.when[0].since == std::min(rig.when[0].now, began + pause)));
  CHECK((rig.when[1].since <= first_dropped + pause));
  CHECK((rig.when[1].since < rig.when[1].now));
}

TEST_CASE("lists: a silent server is asked no more often, from few sockets, and heard at its first answer") {
  Rig* its = nullptr;
  Time ended{};
  Rig rig([&](const Server::Question& one) {
    if (its->server.questions.size() < 40) return;
    if (its->server.questions.size() == 40) ended = its->loop.now();
    its->server.answer(one, 2);
  });
  its = &rig;
  const Time began = rig.loop.now();
  rig.start(rig.server.at());
  rig.run([&] { return rig.told.size() == 1; });
  CHECK(rig.server.ports().size() == 5);           // after 2, 4, 8 and 16 questions more
  CHECK(rig.server.questions.size() <= 41);        // the first answer is taken, at most one question later
  CHECK(ended - began >= 38 * rig.poll * 9 / 10);  // the schedule's pauses, but for the first of them
  CHECK(rig.lines("the server is silent") == 1);
  CHECK(rig.lines("the path of a socket") == 0);
  CHECK(rig.lines("answers again") == 1);
}

TEST_CASE("lists: a port that refuses is told as such, and the directory is heard elsewhere") {
  Rig* its = nullptr;
  Rig rig([&](const Server::Question& one) { its->server.answer(one, 2); });
  its = &rig;
  FileDescriptor nobody = bind_udp(kAnywhere);
  const SocketAddress at{kAnywhere.ip, local_port(nobody)};
  nobody.reset();
  rig.start(at);
  bool moved = false;
  rig.run([&] {
    if (!moved && rig.lines("refused: nobody listens there") == 1) {
      moved = true;
      rig.directory->change_server(rig.server.at(), "_app._tcp.cluster.lan", rig.poll);
    }
    return !rig.told.empty();
  });
  CHECK(rig.lines("refused: nobody listens there") == 1);
  CHECK(rig.lines("the server is silent") == 0);
}

TEST_CASE("lists: a late answer on the former socket counts if newer, an overtaken one undoes nothing") {
  Rig* its = nullptr;
  std::vector<Server::Question> held;
  bool fresh = false;
  Rig rig([&](const Server::Question& one) {
    auto& server = its->server;
    if (server.questions.size() == 1) return server.answer(one, 2);
    if (std::exchange(fresh, one.port() != server.questions.front().port())) return server.answer(one, 5);
    if (!fresh) return held.push_back(one);
    server.answer(held.back(), 4);  // asked on the former socket
    server.answer(one, 3);          // and one that left before the news
    server.answer(held.front(), 2);
  });
  its = &rig;
  rig.start(rig.server.at());
  rig.run([&] { return !rig.told.empty() && rig.told.back() == 5; });
  CHECK((rig.told == std::vector<std::uint16_t>{2, 4, 5}));
}

TEST_CASE("lists: an answer that is spoilt, cut after each byte or forged hides no whole one") {
  Rig* its = nullptr;
  Rig rig([&](const Server::Question& one) {
    auto& server = its->server;
    const std::string newer = Server::list(one, 9);  // what must not be told
    const auto bent = [&](std::size_t at, unsigned bits) {
      std::string bytes = newer;
      bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(bits));
      server.send(one, bytes);
    };
    const std::size_t part = server.questions.size() - 1;  // a few at a time: the kernel keeps no more
    if (part == 0) {
      bent(0, 0xff), bent(1, 0xff);  // forged
      bent(2, 0x02);                 // truncated
      bent(3, 0x02);                 // the server fails
      bent(9, 0x01);                 // no SOA in the authority section
    }
    for (std::size_t size = part; size < newer.size(); size += 4) server.send(one, newer.substr(0, size));
    if (part == 3) server.answer(one, 2);
  });
  its = &rig;
  rig.start(rig.server.at());
  rig.run([&] { return !rig.told.empty(); });
  CHECK((rig.told == std::vector<std::uint16_t>{2}));
  CHECK(rig.server.questions.size() <= 5);
  CHECK(rig.server.ports().size() == 1);  // whatever came: the path is not silent
  CHECK(rig.lines("answers can't be used") == 1);
  CHECK(rig.lines("answers again") == 1);
}

TEST_CASE("lists: a fresh socket and a move are had when all descriptors are taken") {
  Rig* its = nullptr;
  Rig rig([&](const Server::Question& one) {
    auto& server = its->server;
    if (server.questions.size() == 1) return server.answer(one, 2);
    if (one.port() != server.questions.front().port()) server.answer(one, 3);
  });
  its = &rig;
  Server elsewhere(rig.loop, [&](const Server::Question& one) { elsewhere.answer(one, 4); });
  rig.start(rig.server.at());
  std::optional<test::DescriptorExhaustion> all_taken;
  bool none_left = false, moved = false;
  rig.run([&] {
    if (!all_taken && rig.told.size() == 1) {
      all_taken.emplace();
      none_left = !listen_tcp(kAnywhere);
    }
    if (!moved && rig.told.size() == 2) {
      moved = true;
      rig.directory->change_server(elsewhere.at(), "_app._tcp.cluster.lan", rig.poll);
    }
    if (rig.told.size() < 3 && !rig.late) return false;
    all_taken.reset();  // a check that fails, and a sanitizer's own, need descriptors
    return true;
  });
  CHECK(none_left);
  CHECK((rig.told == std::vector<std::uint16_t>{2, 3, 4}));
  CHECK(rig.lines("no socket to ask from") == 0);
}

}  // namespace
}  // namespace rookproxy
