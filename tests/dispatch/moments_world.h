// A dispatcher between clients and engines that are played byte by byte: real connections on loopback, all in
// one thread, with a clock and a loop turned by hand, so that every order is forced. One set of invariants,
// counted from what clients and engines saw.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

#include "core/dispatcher.h"
#include "core/module_time.h"
#include "front/frames.h"
#include "link/lines.h"
#include "log/log.h"
#include "net/clock.h"

namespace rookproxy::test {

using namespace std::chrono_literals;

constexpr Duration kGoneLimit = 100ms;  // an attempt that begins later, after its client went, is a break

// The one clock of all worlds.
struct HandClock {
  Time now = wall_now();
  HandClock() { hand_clock = &now; }
  ~HandClock() { hand_clock = nullptr; }
};

enum class End { kClose, kReset, kSilent, kHalfClose, kAbandon };
inline const char* name_of(End end) {
  static const char* const names[] = {"close", "reset", "silence", "half-close", "type 8"};
  return names[static_cast<int>(end)];
}

struct Setup {
  bool may_cancel = true, second_copies = false;
  std::uint32_t max_attempts = 3;
  Duration window = 100ms, grace = 1s, dial_timeout = 250ms;
  std::size_t spread = 6;  // attempts on a connection before another is dialled
  bool deaf = false;       // small buffers, and reading stops with the first answer that is not taken
};

inline const char* const kClasses[] = {"safe", "all", "zone", "cell", "unsafe"};

inline lemonshift::Settings settings_of(const Setup& setup) {
  lemonshift::Settings settings;
  settings.zones = 2;
  settings.kinds = {{"m", 64.0, 65536.0}};
  settings.may_cancel = setup.may_cancel;
  settings.second_copies = setup.second_copies;
  settings.reports_load = false;
  settings.max_attempts = setup.max_attempts;
  settings.drain_grace = to_module(setup.grace);
  settings.note_interval = to_module(Duration(500ms));
  for (int i = 0; i < 5; ++i) {
    lemonshift::ClassSettings cls;
    cls.name = kClasses[i];
    cls.aim = to_module(Duration(300ms));
    cls.deadline = to_module(Duration(1000ms));
    cls.effect = i == 0   ? lemonshift::Effect::kSafe
                 : i == 4 ? lemonshift::Effect::kUnsafe
                          : lemonshift::Effect::kKeyed;
    if (i > 0 && i < 4) {
      cls.repeat_scope = static_cast<lemonshift::RepeatScope>(i - 1);
      cls.repeat_window = to_module(setup.window);
    }
    settings.classes.push_back(cls);
  }
  return settings;
}

// One attempt as its engine saw it.
struct Seen {
  std::string id;
  std::size_t engine = 0, link = 0;
  Time begun;                 // its first byte
  bool whole = false;         // all of it has come
  std::optional<Time> unrun;  // a whole answer went out that proves that it never ran
  bool open = true;           // neither answered in whole, nor stopped, nor its connection ended
  std::set<std::size_t> fetched;
};

class World;

class Engine {
 public:
  struct Link {
    Fd fd;
    std::string in;
    std::optional<Time> began;    // the first byte of the command that is not yet whole
    std::size_t seen = SIZE_MAX;  // its attempt
    bool ended = false;
  };
  std::size_t number = 0;
  Fd listener = listen_tcp({0x7f000001, 0});
  std::uint16_t port = local_port(listener);
  std::deque<Link> links;
  bool full = false, reads = true;

  bool turn(World& world);
  void write(std::size_t link, std::string_view bytes) {
    Link& to = links[link];
    if (to.fd && ::send(to.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) to.ended = true;
  }
  void end(std::size_t link, End how) {
    Link& one = links[link];
    if (how == End::kSilent || !one.fd) return;
    if (how == End::kReset) reset(one.fd);
    one.fd.reset();
    one.ended = true;
  }
  static void reset(const Fd& fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  // Its queue takes no connection any more: the kernel drops what comes, as a machine that is cut off does.
  void fill() {
    full = true;
    ::listen(listener.get(), 0);
    for (int i = 0; i < 4; ++i) filling_.push_back(connect_tcp({0x7f000001, port}));
  }
  void let() {
    reads = true;
    if (!std::exchange(full, false)) return;
    filling_.clear();
    while (accept_from(listener)) {
    }
    ::listen(listener.get(), 64);
  }

 private:
  std::vector<Fd> filling_;
};

struct Request {
  std::string call, cls;
  std::size_t client = 0;
  std::uint32_t stream = 0;
  Duration ttl{};
  std::optional<Time> taken, gone;
  bool unread = false;  // its attempt may lie unread at an engine: when it began there can't be seen
  std::vector<std::pair<int, std::string>> answers;  // code and body
};

struct Client {
  Fd fd;
  std::string in;
  bool ended = false;  // it saw the end
  bool reads = true, gone = false;
  std::uint32_t next_stream = 1;
};

// A dispatcher with a front and links, four engines and any clients, all in this thread.
class World {
 public:
  explicit World(HandClock& clock, const Setup& setup = {})
      : clock_(clock),
        setup_(setup),
        log_(text_, Level::kNotice, "h", "a"),
        core(loop, log_, figures_, settings_of(setup), {"east", "west"}, {}),
        pool(loop, log_, core, figures_, pool_limits(setup)),
        front_(loop, log_, core, listener(setup), front_limits(setup)) {
    core.use(pool);
    loop.each_turn([this] {
      if (before_settle) std::exchange(before_settle, nullptr)();
      core.settle();
    });
    front_.accept_clients(true);
    for (std::size_t i = 0; i < engines.size(); ++i) engines[i].number = i;
    tell();
    settle();
  }

  // Two in the first cell, two more cells, the last of another zone.
  std::uint32_t cell(std::size_t engine) const {
    return engine < 2 ? 0 : static_cast<std::uint32_t>(engine - 1);
  }
  std::uint32_t zone(std::size_t engine) const { return engine == 3 ? 1 : 0; }

  // The list of engines, one of them in another state from now on.
  void tell(std::size_t other = SIZE_MAX, lemonshift::EngineState state = lemonshift::EngineState::kServing) {
    if (other < engines.size()) states_[other] = state;
    std::vector<Member> members;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      Member member;
      member.id = "e" + std::to_string(i);
      member.address = {0x7f000001, engines[i].port};
      member.zone = zone(i) == 1 ? "west" : "east";
      member.kind = "m";
      member.cell = cell(i);
      member.state = states_[i];
      if (states_[i] != lemonshift::EngineState::kServing) drained_.try_emplace(i, clock_.now);
      if (states_[i] != lemonshift::EngineState::kGone) members.push_back(member);
    }
    core.learn_members(members, false);
  }

  std::size_t connect() {
    clients.emplace_back();
    Client& client = clients.back();
    client.fd = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int small = 2048;
    if (setup_.deaf) ::setsockopt(client.fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    const sockaddr_in at = Endpoint{0x7f000001, front_.port()}.socket_address();
    if (::connect(client.fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("no connection to the front");
    settle();
    return clients.size() - 1;
  }
  std::string frame(std::size_t request) const {
    const Request& r = requests[request];
    const frames::Fields fields{{"op", r.cls}, {"ttl", std::to_string(r.ttl / 1ms)}, {"call", r.call}};
    std::string payload(1, static_cast<char>(fields.size()));
    for (const auto& [key, value] : fields) {
      payload += static_cast<char>(key.size()) + key;
      payload += '\0';
      payload += static_cast<char>(value.size()) + value;
    }
    return frames::make_frame(frames::kRequest, r.stream, payload + statement);
  }
  std::size_t make(std::size_t client, const std::string& cls, Duration ttl = 1000ms) {
    static std::uint64_t calls = 0;
    char call[17];
    std::snprintf(call, sizeof call, "%016llx", static_cast<unsigned long long>(++calls));
    requests.push_back({call, cls, client, clients[client].next_stream++, ttl, {}, {}, false, {}});
    return requests.size() - 1;
  }
  void say(std::size_t client, std::string_view bytes) {
    if (::send(clients[client].fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
      clients[client].ended = true;
  }
  std::size_t ask(std::size_t client, const std::string& cls, Duration ttl = 1000ms) {
    const std::size_t request = make(client, cls, ttl);
    requests[request].taken = clock_.now;
    say(client, frame(request));
    return request;
  }
  // The client ends: the whole connection, or one request.
  void end(std::size_t client, End how, std::size_t request = SIZE_MAX) {
    Client& one = clients[client];
    if (how == End::kAbandon) {
      say(client, frames::make_frame(frames::kAbandon, requests[request].stream, ""));
      requests[request].gone = clock_.now;
      return;
    }
    for (Request& r : requests) {
      if (r.client == client && !r.gone) r.gone = clock_.now;
    }
    one.gone = true;
    if (how == End::kHalfClose) {
      ::shutdown(one.fd.get(), SHUT_WR);
    } else {
      if (how == End::kReset) Engine::reset(one.fd);
      one.fd.reset();
    }
  }

  // Turns until nothing moves any more; time stands.
  void settle() {
    for (int idle = 0, turns = 0; idle < 2; ++turns) {
      if (turns > 5000) throw std::runtime_error("it never comes to rest");
      bool moved = loop.poll() || loop.next_timer() <= clock_.now;
      for (Engine& engine : engines) moved |= engine.turn(*this);
      for (std::size_t i = 0; i < clients.size(); ++i) moved |= hear(i);
      idle = moved ? 0 : idle + 1;
    }
  }
  static void pass(HandClock& clock, const std::vector<World*>& worlds, Duration span) {
    const Time until = clock.now + span;
    for (;;) {
      Time next = until;
      for (World* world : worlds) {
        world->settle();
        next = std::min(next, world->loop.next_timer());
      }
      if (clock.now >= until) return;
      clock.now = std::max(next, clock.now + Duration(1));
    }
  }
  void pass(Duration span) { pass(clock_, {this}, span); }
  void drain() { front_.drain(); }
  std::uint64_t attempts_written() const { return figures_.attempts_written; }

  // The attempt that is out for a request; SIZE_MAX: none has come whole.
  std::size_t attempt_of(std::size_t request) const {
    for (std::size_t i = seen.size(); i-- > 0;) {
      if (seen[i].id == requests[request].call && seen[i].whole) return i;
    }
    return SIZE_MAX;
  }
  void write(std::size_t attempt, std::string_view bytes) {
    engines[seen[attempt].engine].write(seen[attempt].link, bytes);
  }
  void cut(std::size_t attempt, End how) { engines[seen[attempt].engine].end(seen[attempt].link, how); }
  void served(std::size_t attempt, const std::string& body) {
    made[seen[attempt].id].insert(body);
    seen[attempt].open = false;
  }
  void turn_away(std::size_t attempt) {
    write(attempt, seen[attempt].id + " full - 0\r\n\r\n");
    seen[attempt].unrun = clock_.now;
    seen[attempt].open = false;
  }
  // An honest answer in one page.
  void serve(std::size_t attempt) {
    if (!seen[attempt].open) return;
    const std::string body = "row\t" + seen[attempt].id + "\t" + std::to_string(attempt) + filler + "\n";
    served(attempt, body);
    write(attempt,
          seen[attempt].id + " data parts=1 " + std::to_string(body.size()) + "\r\n" + body + "\r\n");
  }

  // Lets everything come to its end, some of it first in ways that make the dispatcher try again; then looks
  // at what was seen. Returns what is wrong, one word each.
  void finish(std::multiset<std::string>& wrong) {
    pass(150ms);
    for (Engine& engine : engines) engine.let();
    on_request = [this](std::size_t attempt) { serve(attempt); };
    for (std::size_t i = 0; i < seen.size(); ++i) {
      if (seen[i].open && seen[i].whole && engines[seen[i].engine].links[seen[i].link].fd) turn_away(i);
    }
    pass(3s);
    for (Client& client : clients) client.reads = true;
    settle();
    look(wrong);
    // It serves on: the same calls may be asked again, and whoever asks is served.
    std::vector<std::string> calls;
    for (const Request& request : requests) calls.push_back(request.call);
    requests.clear();
    seen.clear();
    drained_.clear();
    states_.fill(lemonshift::EngineState::kServing);
    tell();
    const std::size_t fresh = connect();
    for (const std::string& call : calls) {
      const std::size_t again = make(fresh, "safe", 3000ms);
      requests[again].call = call;
      requests[again].taken = clock_.now;
      say(fresh, frame(again));
    }
    pass(3200ms);
    std::multiset<std::string> later;
    look(later);
    for (const Request& request : requests) {
      if (request.answers.size() == 1 && request.answers[0].first != frames::kServed)
        later.insert("not served");
    }
    for (const std::string& one : later) wrong.insert("afterwards: " + one);
    // Resets leave no port behind in TIME-WAIT, of which there are few; at one point in 32 what rests is left
    // to its idle times.
    static int points = 0;
    if (++points % 32 == 0) {
      pass(90s);
    } else {
      for (std::size_t i = 0; i < clients.size(); ++i) {
        if (clients[i].fd) end(i, End::kReset);
      }
      for (Engine& engine : engines) {
        for (std::size_t i = 0; i < engine.links.size(); ++i) engine.end(i, End::kReset);
      }
      settle();
    }
    if (core.open_requests() != 0) wrong.insert("a request stays open");
    if (!front_.is_flushed()) wrong.insert("an answer stays queued");
    if (pool.attempts_carried() != 0) wrong.insert("an attempt stays carried");
    for (const Engine& engine : engines) {
      for (const auto& link : engine.links) {
        if (link.fd && !link.ended) wrong.insert("a connection to an engine stays open");
      }
    }
    for (const Client& client : clients) {
      if (client.fd && !client.ended) wrong.insert("a client's connection stays open");
    }
  }

  void look(std::multiset<std::string>& wrong) const {
    for (const Request& r : requests) {
      if (r.taken && !r.gone && r.answers.empty()) wrong.insert("no answer");
      if (r.answers.size() > 1) wrong.insert("a second answer");
      if (!r.taken && !r.answers.empty()) wrong.insert("an answer to half a request");
      std::vector<const Seen*> tries;
      for (const Seen& one : seen) {
        if (one.id == r.call) tries.push_back(&one);
      }
      if (tries.size() > setup_.max_attempts) wrong.insert("too many attempts");
      const bool unsafe = r.cls == "unsafe";
      for (std::size_t i = 0; i < tries.size(); ++i) {
        const Seen& one = *tries[i];
        if (!r.taken) wrong.insert("an attempt of half a request");
        if (r.gone && one.begun > *r.gone + kGoneLimit) wrong.insert("an attempt after its client went");
        if (r.taken && one.begun > *r.taken + r.ttl) wrong.insert("an attempt after the deadline");
        if (const auto told = drained_.find(one.engine);
            !r.unread && told != drained_.end() && one.begun > told->second + setup_.grace) {
          wrong.insert("an attempt after the drain's grace");
        }
        for (std::size_t k = 0; k < i; ++k) {
          const Seen& earlier = *tries[k];
          if (earlier.unrun && *earlier.unrun <= one.begun) continue;  // proven never to have run
          if (unsafe) wrong.insert("unsafe, and an earlier attempt may have run");
          if (unsafe || r.cls == "safe") continue;
          if (one.begun > earlier.begun + setup_.window) wrong.insert("keyed, and its window is over");
          if ((r.cls == "zone" && zone(one.engine) != zone(earlier.engine)) ||
              (r.cls == "cell" && cell(one.engine) != cell(earlier.engine))) {
            wrong.insert("keyed, and outside its group");
          }
        }
      }
      for (const auto& [code, body] : r.answers) {
        if (code == frames::kServed && (!made.contains(r.call) || !made.at(r.call).contains(body)))
          wrong.insert("served what no engine made");
        const bool ran = std::any_of(tries.begin(), tries.end(), [](const Seen* one) { return !one->unrun; });
        if (code == frames::kRefused && unsafe && ran) wrong.insert("refused, and it may have run");
      }
    }
    for (const std::string& one : strange) wrong.insert(one);
  }

  Loop loop;
  std::function<void()> before_settle;                               // once, in the middle of a turn
  std::function<void(std::size_t)> on_request = [](std::size_t) {};  // what engines do with what comes
  std::array<Engine, 4> engines;
  std::deque<Client> clients;
  std::deque<Request> requests;
  std::deque<Seen> seen;
  std::map<std::string, std::set<std::string>> made;  // whole bodies, by id
  std::string statement = "select * from s_1.t";
  std::string filler;                  // in the bodies of honest answers
  std::multiset<std::string> strange;  // what should never come
  std::string log() const { return text_.str(); }
  Time now() const { return clock_.now; }

 private:
  static Fd listener(const Setup& setup) {
    Fd fd = listen_tcp({0x7f000001, 0});
    const int small = 4096;
    if (setup.deaf) ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    return fd;
  }
  static PoolLimits pool_limits(const Setup& setup) {
    PoolLimits limits;
    limits.per_connection = 32;
    limits.spread = setup.spread;
    limits.dial_timeout = setup.dial_timeout;
    return limits;
  }
  static FramesFront::Limits front_limits(const Setup& setup) {
    FramesFront::Limits limits;
    if (setup.deaf) limits.most_queued = 100;
    return limits;
  }
  bool hear(std::size_t at) {
    Client& client = clients[at];
    if (!client.fd || client.ended || !client.reads) return false;
    char chunk[64 * 1024];
    const ssize_t got = ::recv(client.fd.get(), chunk, sizeof chunk, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return false;
    if (got <= 0) {
      client.ended = true;
      if (!client.in.empty() && !client.gone) strange.insert("half an answer");
      return true;
    }
    client.in.append(chunk, static_cast<std::size_t>(got));
    frames::Frame frame;
    std::size_t used = 0;
    while (frames::parse_frame(client.in, frame, used) == frames::Parse::kOne) {
      if (frame.type == frames::kAnswer && frame.stream != 0) {
        std::string_view body = frame.payload.substr(1);
        frames::Fields fields;
        const auto asked = std::find_if(requests.begin(), requests.end(), [&](const Request& r) {
          return r.client == at && r.stream == frame.stream;
        });
        if (!frames::parse_fields(body, fields)) strange.insert("an answer that can't be read");
        if (asked == requests.end()) {
          strange.insert("an answer to nothing");
        } else {
          asked->answers.emplace_back(frame.payload[0], body);
        }
      }
      client.in.erase(0, used);
    }
    return true;
  }

  HandClock& clock_;
  Setup setup_;
  std::ostringstream text_;
  Log log_;
  Figures figures_;
  std::array<lemonshift::EngineState, 4> states_{};
  std::map<std::size_t, Time> drained_;  // when each engine was first told not to serve

 public:
  Dispatcher core;
  LinesPool pool;

 private:
  FramesFront front_;
};

inline bool Engine::turn(World& world) {
  bool moved = false;
  while (!full) {
    Fd fd = accept_from(listener);
    if (!fd) break;
    links.push_back({std::move(fd), "", {}, SIZE_MAX, false});
    moved = true;
  }
  for (std::size_t at = 0; at < links.size(); ++at) {
    Link& link = links[at];
    if (!link.fd || link.ended || !reads) continue;
    char chunk[16 * 1024];
    const ssize_t got = ::recv(link.fd.get(), chunk, sizeof chunk, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) continue;
    moved = true;
    if (got <= 0) {
      link.ended = true;
      for (Seen& one : world.seen) {
        if (one.engine == number && one.link == at) one.open = false;
      }
      continue;
    }
    link.in.append(chunk, static_cast<std::size_t>(got));
    while (!link.in.empty()) {
      if (!link.began) link.began = world.now();
      const auto line_end = link.in.find("\r\n");
      std::istringstream words(link.in.substr(0, line_end));
      std::string verb, id, last, word;
      words >> verb >> id;
      while (words >> word) last = word;
      // A request counts from its first byte, once that says what it is and whose.
      if (verb == "REQ" && id.size() == 16 && link.seen == SIZE_MAX) {
        link.seen = world.seen.size();
        world.seen.push_back({id, number, at, *link.began, false, {}, true, {}});
      }
      if (line_end == std::string::npos) break;
      std::size_t used = line_end + 2;
      if (verb == "REQ") {
        const std::size_t body = std::stoul(last);
        if (link.in.size() < used + body + 2) break;
        used += body + 2;
      }
      link.in.erase(0, used);
      link.began.reset();
      const std::size_t mine = std::exchange(link.seen, SIZE_MAX);
      if (verb == "REQ") {
        world.seen[mine].whole = true;
        world.on_request(mine);
        continue;
      }
      if (verb == "STAT" || verb == "HELO") write(at, id + " well - 0\r\n\r\n");
      for (Seen& one : world.seen) {
        if (one.id != id || one.engine != number || one.link != at) continue;
        if (verb == "STOP" || verb == "END") one.open = false;
        if (verb == "FETCH") one.fetched.insert(std::stoul(last));
      }
    }
  }
  return moved;
}

// What was wrong at which points: one line for each kind, with the first points and how many there are.
class Report {
 public:
  int points = 0;
  void add(World& world, const std::string& point) {
    ++points;
    std::multiset<std::string> wrong;
    try {
      world.finish(wrong);
    } catch (const std::exception& fault) {
      wrong.insert(fault.what());
    }
    for (const std::string& one : std::set<std::string>(wrong.begin(), wrong.end()))
      at_[one].push_back(point);
  }
  std::string text() const {
    std::string all;
    for (const auto& [what, where] : at_) {
      all += what + " (" + std::to_string(where.size()) + " of " + std::to_string(points) + "): ";
      for (std::size_t i = 0; i < std::min<std::size_t>(where.size(), 8); ++i) all += where[i] + " | ";
      all += "\n";
    }
    return all;
  }

 private:
  std::map<std::string, std::vector<std::string>> at_;
};

struct Point {
  std::ostringstream text;
  template <class... Parts>
  explicit Point(const Parts&... parts) {
    ((text << parts << ' '), ...);
  }
  operator std::string() const { return text.str(); }
};

}  // namespace rookproxy::test
