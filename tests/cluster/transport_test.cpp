// What dispatchers say to one another: datagrams, proofs, repeats, the socket, and the relay that stands for
// a bad network.
#include <sys/socket.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "cluster/transport/socket.h"
#include "fakes/fault_injecting_network_thread.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "net/clock.h"

using namespace rookproxy;
using namespace rookproxy::cluster::transport;
using namespace rookproxy::cluster;
using namespace std::chrono_literals;
using nlohmann::json;
using test::FaultInjectingNetwork;
using test::LinkRule;

namespace {

constexpr std::uint32_t kFleet = 0xfeedbeef;
const std::string kKey(32, 'k'), kOther(40, 'o');

std::optional<DropReason> reason(const std::variant<Envelope, DropReason>& got) {
  const auto* why = std::get_if<DropReason>(&got);
  return why ? std::optional(*why) : std::nullopt;
}

// Any envelope that the codec takes, from a seed.
class Maker {
 public:
  explicit Maker(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t below(std::uint64_t most) { return engine_() % most; }
  template <class T>
  T any() {  // small and large alike
    return static_cast<T>(engine_() >> below(64));
  }
  MemberId member() { return static_cast<MemberId>(below(kMaxMembers)); }
  Ballot ballot() { return {any<std::uint32_t>(), member()}; }
  Time since() {
    return below(4) == 0
               ? Time{}
               : Time(1'790'000'000'000ms + std::chrono::milliseconds(below(1) + any<std::uint32_t>()));
  }
  ClusterConfig plan() {
    ClusterConfig plan{any<std::uint32_t>(), any<std::uint32_t>(), {}, {}};
    const auto zones = below(kMaxZones + 1), retirements = below(kMaxRetirements + 1);
    for (std::uint8_t i = 0; i < zones; ++i) {
      plan.zones.push_back({static_cast<std::uint8_t>(i * 31 + below(31)), static_cast<ZoneState>(below(4)),
                            static_cast<std::uint8_t>(below(101)), any<std::uint8_t>(), since()});
    }
    for (std::uint8_t i = 0; i < retirements; ++i) {
      plan.retirements.push_back({static_cast<std::uint8_t>(i * 60 + below(60)),
                                  static_cast<RetirementState>(below(5)),
                                  static_cast<std::uint8_t>(below(101)), any<std::uint32_t>(), since()});
    }
    return plan;
  }
  MessageBody body(std::size_t type) {
    const auto n = any<std::uint32_t>(), epoch = any<std::uint32_t>();
    switch (type) {
      case 0:
        return Ping{n};
      case 1:
        return PingRequest{n, member()};
      case 2:
        return Ack{n, member()};
      case 3:
        return Prepare{epoch, ballot()};
      case 4:
        return below(2) ? Promise{epoch, ballot(), ballot(), plan()} : Promise{epoch, ballot(), {}, {}};
      case 5:
        return Nack{epoch, ballot()};
      case 6:
        return Accept{ballot(), plan()};
      case 7:
        return Accepted{epoch, ballot()};
      case 8:
        return Chosen{plan()};
      case 9:
        return RecoveryQuery{n, epoch};
      case 10:
        return RecoveryReply{n, epoch, below(2) == 1, any<std::uint32_t>()};
      default:
        return Lease{epoch, Duration(below(3'600'000'000)), n};
    }
  }
  Envelope envelope(const Codec& codec) {
    Envelope made{member(),
                  any<Incarnation>(),
                  any<std::uint64_t>(),
                  body(below(std::variant_size_v<MessageBody>)),
                  {}};
    for (auto left = below(codec.gossip_capacity(made) + 1); left > 0; --left)
      made.gossip.push_back({member(), any<Incarnation>(), static_cast<MemberState>(below(3))});
    return made;
  }
  std::string edited(std::string text) {
    const std::string before = text;
    while (text == before) {
      for (auto edits = 1 + below(3); edits > 0; --edits) {
        const std::size_t at = below(text.size() + 1);
        switch (below(4)) {
          case 0:
            text.insert(at, 1, any<char>());
            break;
          case 1:
            text.erase(at, 1 + below(4));
            break;
          case 2:
            if (at < text.size()) text[at] = static_cast<char>(engine_());
            break;
          default:
            if (at < text.size()) text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        }
      }
    }
    return text;
  }

 private:
  std::mt19937_64 engine_;
};

ClusterConfig fullest_plan() {
  ClusterConfig plan{0xffffffff, 0xffffffff, {}, {}};
  const Time old(1'780'000'000'000ms);
  for (int i = 0; i < 8; ++i) {
    plan.zones.push_back({static_cast<std::uint8_t>(255 - i), ZoneState::kReturning, 100, 255,
                          i == 0 ? old : old + std::chrono::hours(24 * 365 * 10)});
  }
  for (int i = 0; i < 4; ++i) {
    plan.retirements.push_back({static_cast<std::uint8_t>(255 - i), RetirementState::kStopped, 100,
                                0xffffffff, old + std::chrono::hours(24 * 365 * 10)});
  }
  return plan;
}

// Runs the loop through steps: each waits until its time has come, then acts.
struct Step {
  std::function<bool()> until;
  std::function<void()> then = [] {};
};
bool play(EventLoop& loop, const std::vector<Step>& steps) {
  std::size_t at = 0;
  const Time give_up = loop.now() + test::kWaitLimit;
  std::function<void()> look = [&] {
    while (at < steps.size() && steps[at].until()) steps[at++].then();
    if (at == steps.size() || loop.now() > give_up) return loop.stop();
    loop.run_at(loop.now() + 1ms, look);
  };
  loop.run_at(loop.now(), look);
  loop.run();
  return at == steps.size();
}
bool at_once() { return true; }

}  // namespace

TEST_CASE("peers codec: what was said is what is read, proved or not, in 256 bytes at most") {
  for (const auto& keys : {std::vector<std::string>{}, {kKey}}) {
    const Codec codec(kFleet, 7, kMaxMembers, keys);
    Maker maker(20261201);
    std::set<std::size_t> types;
    for (int i = 0; i < 5'000; ++i) {
      const Envelope said = maker.envelope(codec);
      types.insert(said.body.index());
      const auto encoded = codec.encode(said, i % 2 == 0 ? std::optional<MemberId>(7) : std::nullopt);
      const auto* bytes = std::get_if<std::string>(&encoded);
      REQUIRE(bytes);
      REQUIRE(bytes->size() <= kMaxDatagramBytes);
      const auto read = codec.decode(*bytes);
      REQUIRE_FALSE(reason(read));
      REQUIRE(std::get<Envelope>(read) == said);
    }
    CHECK(types.size() == std::variant_size_v<MessageBody>);
  }
}

TEST_CASE("peers codec: the fullest plan fits beside its ballots and its proof, as docs/peers.md says") {
  const Codec codec(kFleet, 7, kMaxMembers, {kKey});
  const Ballot top{0xffffffff, 1023};
  const auto size = [&](MessageBody body) {
    const Envelope envelope{1023, ~0ull, ~0ull, std::move(body), {}};
    return std::pair(std::get<std::string>(codec.encode(envelope, 7)).size(),
                     codec.gossip_capacity(envelope));
  };
  using Figures = std::pair<std::size_t, std::size_t>;
  CHECK(size(Promise{0xffffffff, top, top, fullest_plan()}) == Figures(213, 3));
  CHECK(size(Accept{top, fullest_plan()}) == Figures(200, 4));
  CHECK(size(Chosen{fullest_plan()}) == Figures(192, 4));
  CHECK(size(Ping{0xffffffff}) == Figures(52, 15));
}

TEST_CASE("peers codec: every fault has its reason") {
  const Codec plain(kFleet, 7, 100, {}), keyed(kFleet, 7, 100, {kKey});
  const auto bytes = [](const json& whole) {
    std::string text = "\x41";
    json::to_cbor(whole, text);
    return text;
  };
  // fleet, sender, incarnation, sequence, type, body, rumours
  const auto ping = [&](const json& patch) {
    return bytes(json{kFleet, 3, 5, 1, 0, {9}, json::array()}.patch(patch));
  };
  const auto with = [&](int at, const json& value) {
    return ping({{{"op", "replace"}, {"path", "/" + std::to_string(at)}, {"value", value}}});
  };
  const auto body = [&](int type, const json& fields) {
    return bytes(json{kFleet, 3, 5, 1, type, fields, json::array()});
  };
  const auto plan = [&](const json& base, const json& zones, const json& retirements) {
    return body(8, {1, 2, base, zones, retirements});
  };
  const json none = json::array();
  const std::string good = ping(none);
  const auto proved = std::get<std::string>(keyed.encode({3, 5, 1, Ping{9}, {}}, 7));
  REQUIRE_FALSE(reason(plain.decode(good)));
  REQUIRE_FALSE(reason(plain.decode(plan(0, {100 << 2}, none))));
  const std::vector<std::pair<std::string, DropReason>> cases = {
      {"", DropReason::kEmpty},
      {std::string(257, 'a'), DropReason::kTooLong},
      {"\x42" + good.substr(1), DropReason::kUnknownVersion},
      {proved, DropReason::kUnexpectedMac},
      {good.substr(0, 1), DropReason::kUnreadable},
      {good.substr(0, good.size() - 1), DropReason::kUnreadable},
      {std::string("\x41\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 10), DropReason::kUnreadable},
      {"\x41" + std::string(255, '\x81'), DropReason::kUnreadable},
      {good + "x", DropReason::kTrailingBytes},
      {bytes(json::object()), DropReason::kMalformed},
      {bytes(none), DropReason::kMalformed},
      {with(0, kFleet + 1), DropReason::kForeignCluster},
      {with(0, "fleet"), DropReason::kMalformed},
      {with(1, 100), DropReason::kUnknownMember},
      {with(1, 70'000), DropReason::kOutOfRange},
      {with(2, -1), DropReason::kMalformed},
      {with(3, 1.0), DropReason::kMalformed},
      {with(4, 12), DropReason::kUnknownType},
      {with(5, 9), DropReason::kMalformed},
      {with(5, none), DropReason::kMalformed},
      {with(5, {9, 9}), DropReason::kMalformed},
      {with(5, {1ull << 32}), DropReason::kOutOfRange},
      {with(6, {1, 2}), DropReason::kMalformed},
      {with(6, {1, 2, 3}), DropReason::kOutOfRange},
      {with(6, {1, 2, 256}), DropReason::kOutOfRange},
      {with(6, {100, 2, 1}), DropReason::kUnknownMember},
      {ping({{{"op", "add"}, {"path", "/7"}, {"value", 1}}}), DropReason::kMalformed},
      {body(1, {1, 100}), DropReason::kUnknownMember},
      {body(3, {1, 1, 100}), DropReason::kUnknownMember},
      {body(4, {1, 1, 1, 1, 1}), DropReason::kMalformed},
      {body(10, {1, 1, 2}), DropReason::kOutOfRange},
      {body(11, {1, 3'600'000'001}), DropReason::kInvalidTime},
      {plan(0, {101 << 2}, none), DropReason::kOutOfRange},
      {plan(0, {0, 1}, none), DropReason::kDuplicateEntry},
      {plan(0, std::vector<int>(9), none), DropReason::kTooManyEntries},
      {plan(0, none, std::vector<int>(10)), DropReason::kTooManyEntries},
      {plan(0, none, {1}), DropReason::kMalformed},
      {plan(0, none, {5, 0}), DropReason::kOutOfRange},
      {plan(0, none, {101 << 3, 0}), DropReason::kOutOfRange},
      {plan(0, none, {0, 1ull << 32}), DropReason::kOutOfRange},
      {plan(0, none, {0, 0, 1, 0}), DropReason::kDuplicateEntry},
      {plan(1ull << 44, none, none), DropReason::kInvalidTime},
      {plan(0, none, {~0ull, 0}), DropReason::kInvalidTime},
      {plan(0, 5, none), DropReason::kMalformed},
  };
  for (const auto& [text, why] : cases) {
    CAPTURE(text_of(why), json::binary({text.begin(), text.end()}).dump());
    const auto got = reason(plain.decode(text));
    CHECK((got ? text_of(*got) : "taken") == text_of(why));
  }
  CHECK(reason(keyed.decode(good)) == DropReason::kMissingMac);
  CHECK(reason(keyed.decode("\xc1")) == DropReason::kInvalidMac);
  const std::vector<std::pair<MessageBody, DropReason>> unsayable = {
      {Ack{1, 100}, DropReason::kUnknownMember},
      {Lease{1, Duration(-1), 1}, DropReason::kInvalidTime},
      {Promise{1, {}, Ballot{}, {}}, DropReason::kMalformed},
      {Chosen{{1, 2, {{0, ZoneState(4), 100, 0, {}}}, {}}}, DropReason::kOutOfRange},
      {Chosen{{1, 2, {{0, ZoneState::kAway, 100, 0, Time(1us)}}, {}}}, DropReason::kInvalidTime},
      {Chosen{{1, 2, {{0, {}, 100, 0, Time(1ms)}, {1, {}, 100, 0, Time(std::chrono::years(20))}}, {}}},
       DropReason::kInvalidTime},
      {Chosen{{1, 2, std::vector<ZonePlan>(9), {}}}, DropReason::kTooManyEntries},
  };
  for (const auto& [one, why] : unsayable)
    CHECK(std::get<DropReason>(plain.encode({3, 5, 1, one, {}}, 7)) == why);
  CHECK(std::get<DropReason>(plain.encode({3, 5, 1, Ping{}, std::vector<GossipUpdate>(90)}, 7)) ==
        DropReason::kTooLong);
}

TEST_CASE("peers codec: of 100,000 altered datagrams none is taken with a key, and none breaks it without") {
  Maker maker(77);
  const Codec plain(kFleet, 7, kMaxMembers, {}), keyed(kFleet, 7, kMaxMembers, {kKey});
  int taken = 0, sane = 0;
  for (int i = 0; i < 2'500; ++i) {
    const Envelope said = maker.envelope(keyed);
    const auto proved = std::get<std::string>(keyed.encode(said, 7));
    const auto bare = std::get<std::string>(plain.encode(said, 7));
    for (int edits = 0; edits < 20; ++edits) {
      taken += !reason(keyed.decode(maker.edited(proved)));
      const auto read = plain.decode(maker.edited(bare));
      if (reason(read)) continue;
      // What is taken unproved is at least something that could have been said.
      ++sane;
      const auto again = plain.encode(std::get<Envelope>(read), 7);
      REQUIRE((std::holds_alternative<std::string>(again) ||
               std::get<DropReason>(again) == DropReason::kTooLong));
    }
  }
  CHECK(taken == 0);
  CHECK(sane > 1000);
}

TEST_CASE("peers proof: HMAC-SHA256 as in RFC 4231, keys that change, and for whom it is") {
  const MessageAuthenticator prover({std::string(131, '\xaa')});
  CHECK(prover.sign("Test Using Larger Than Block-Size", " Key - Hash Key First") ==
        "\x60\xe4\x31\x59\x1e\xe0\xb6\x7f\x0d\x8a\x26\xaa\xcb\xf5\xb7\x7f");
  CHECK_THROWS_AS(MessageAuthenticator({std::string(31, 'k')}), KeyError);
  const Envelope said{3, 5, 1, Ping{9}, {}};
  const auto decoded = [&](const Codec& from, std::optional<MemberId> to, const Codec& at) {
    return reason(at.decode(std::get<std::string>(from.encode(said, to))));
  };
  const Codec old(kFleet, 7, 100, {kKey}), both(kFleet, 7, 100, {kOther, kKey}),
      anew(kFleet, 7, 100, {kOther});
  CHECK_FALSE(decoded(old, 7, both));
  CHECK_FALSE(decoded(both, 7, anew));
  CHECK(decoded(both, 7, old) == DropReason::kInvalidMac);
  CHECK(decoded(old, 8, old) == DropReason::kInvalidMac);
  CHECK_FALSE(decoded(old, std::nullopt, old));
}

TEST_CASE("peers proof: a key file that won't do is refused with what to do") {
  const std::string path = test::make_temporary_directory() + "/key";
  const auto fault = [&path] {
    try {
      read_peer_key(path);
      return std::string();
    } catch (const KeyError& error) {
      return std::string(error.what());
    }
  };
  CHECK_THAT(fault(), Catch::Contains(path) && Catch::Contains("openssl rand"));
  const struct {
    std::string text;
    mode_t mode;
    std::string words;
  } cases[] = {
      {std::string(32, 'a'), 0600, ""},
      {std::string(64, 'a') + "\r\n", 0640, ""},
      {std::string(31, 'a') + "\n", 0600, "31 bytes, at least 32"},
      {std::string(1025, 'a'), 0600, "over 1024"},
      {std::string(32, 'a'), 0644, "chmod o="},
  };
  for (const auto& one : cases) {
    std::ofstream(path) << one.text;
    REQUIRE(::chmod(path.c_str(), one.mode) == 0);
    if (one.words.empty()) {
      CHECK(fault() == "");
    } else {
      CHECK_THAT(fault(), Catch::Contains(one.words));
    }
  }
  REQUIRE(::chmod(path.c_str(), 0600) == 0);
  std::ofstream(path) << std::string(64, 'a') << "\r\n";
  CHECK(read_peer_key(path) == std::string(64, 'a'));
}

TEST_CASE("replay: a datagram moves something once, in a window, and never for a former process") {
  using V = ReplayWindow::Result;
  const Time now(1'000'000s);
  const auto in = [&](Duration after) {
    return static_cast<Incarnation>((now + after).time_since_epoch().count());
  };
  ReplayWindow replay(2, 60s);
  const struct {
    MemberId sender;
    Incarnation incarnation;
    std::uint64_t sequence;
    V verdict;
  } steps[] = {
      {0, in(0s), 10, V::kNew},
      {0, in(0s), 10, V::kDuplicate},
      {0, in(0s), 9, V::kNew},
      {0, in(0s), 9, V::kDuplicate},
      {0, in(0s), 73, V::kNew},
      {0, in(0s), 10, V::kDuplicate},
      {0, in(0s), 9, V::kTooOld},
      {0, in(0s), 11, V::kNew},
      {0, in(0s), 137, V::kNew},
      {0, in(0s), 75, V::kNew},
      {0, in(0s), ~0ull, V::kNew},
      {0, in(0s), 73, V::kTooOld},
      {0, in(-1us), ~0ull, V::kOldIncarnation},
      {0, in(1us), 1, V::kNew},
      {0, in(0s), ~0ull, V::kOldIncarnation},
      {0, in(60s) + 1, 1, V::kFutureIncarnation},
      {0, ~0ull, 1, V::kFutureIncarnation},
      {0, in(1us), 2, V::kNew},
      {1, 0, 0, V::kNew},
      {1, 0, 0, V::kDuplicate},
      {2, in(0s), 1, V::kUnknownMember},
      {0, in(60s), 0, V::kNew},
  };
  std::array<std::uint64_t, ReplayWindow::kResultCount> counts{};
  for (const auto& step : steps) {
    CAPTURE(step.sender, step.incarnation, step.sequence);
    CHECK(replay.check(step.sender, step.incarnation, step.sequence, now) == step.verdict);
    ++counts[static_cast<std::size_t>(step.verdict)];
  }
  for (std::size_t i = 0; i < counts.size(); ++i) CHECK(replay.count(static_cast<V>(i)) == counts[i]);
}

TEST_CASE("replay: doubled and reordered at random, no sequence is new twice, and near ones are new once") {
  std::mt19937_64 dice(5);
  ReplayWindow replay(1, 60s);
  std::set<std::uint64_t> taken;
  for (std::uint64_t top = 100; top < 20'000; ++top) {
    const std::uint64_t sequence = top - dice() % 80;
    const std::uint64_t highest = taken.empty() ? 0 : *taken.rbegin();
    const bool is_new = replay.check(0, 1, sequence, Time(1s)) == ReplayWindow::Result::kNew;
    REQUIRE(is_new == (!taken.contains(sequence) && sequence + 64 > highest));
    if (is_new) taken.insert(sequence);
  }
}

namespace {

// A peer made of a bare socket, which says what it wants.
struct Bare {
  FileDescriptor fd = bind_udp({0x7f000001, 0});
  SocketAddress at() const { return {0x7f000001, local_port(fd)}; }
  void say(const SocketAddress& to, std::string_view bytes) const {
    const sockaddr_in address = to.to_sockaddr();
    ::sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
             sizeof address);
  }
};

}  // namespace

TEST_CASE(
    "peers socket: only what is a peer's, proved and new is handed on, and the rest is counted by reason") {
  EventLoop loop;
  const Bare own, peer, stranger, third;
  TransportSettings settings{{0x7f000001, 0}, {own.at(), peer.at(), third.at()}, 0, {}, {kKey}};
  std::vector<Envelope> heard;
  PeerSocket socket(loop, settings, 1, [&](const Envelope& envelope) { heard.push_back(envelope); });
  const auto print = member_list_fingerprint(settings.members);
  const Codec good(print, 1, 3, {kKey}), bad_key(print, 1, 3, {kOther}), bad_fleet(print + 1, 1, 3, {kKey});
  const auto now = static_cast<Incarnation>(monotonic_now().time_since_epoch().count());
  const auto say = [&](const Bare& from, const Codec& codec, MemberId sender, Incarnation incarnation,
                       std::uint64_t n) {
    from.say(socket.local(), std::get<std::string>(codec.encode({sender, incarnation, n, Ping{7}, {}}, 0)));
  };
  say(own, good, 0, now, 1);
  say(stranger, good, 1, now, 1);
  say(peer, bad_key, 1, now, 1);
  say(peer, bad_fleet, 1, now, 1);
  say(third, good, 1, now, 1);
  say(peer, good, 1, now + 3'600'000'000, 1);
  say(peer, good, 1, now, 100);
  say(peer, good, 1, now, 100);
  say(peer, good, 1, now, 36);
  say(peer, good, 1, now - 1, 101);
  peer.say(socket.local(), std::string(257, 'x'));
  peer.say(socket.local(), "");
  say(peer, good, 1, now + 1, 1);
  REQUIRE(play(loop, {{[&] { return socket.metrics().received == 13; },
                       [&] {
                         socket.set_keys({kOther, kKey});
                         say(peer, bad_key, 1, now + 1, 2);
                         say(peer, good, 1, now + 1, 3);
                       }},
                      {[&] { return socket.metrics().received == 15; }}}));
  const TransportMetrics& figures = socket.metrics();
  for (const DropReason why :
       {DropReason::kUnknownSender, DropReason::kInvalidMac, DropReason::kForeignCluster,
        DropReason::kSenderMismatch, DropReason::kFutureIncarnation, DropReason::kDuplicate,
        DropReason::kTooOld, DropReason::kOldIncarnation, DropReason::kTooLong, DropReason::kEmpty,
        DropReason::kOwnMessage}) {
    CAPTURE(text_of(why));
    CHECK(figures.count(why) == 1);
  }
  CHECK(std::set<std::string_view>(kDropReasonNames.begin(), kDropReasonNames.end()).size() ==
        kDropReasonCount);
  CHECK(figures.delivered == 4);
  REQUIRE(heard.size() == 4);
  CHECK(heard[0] == Envelope{1, now, 100, Ping{7}, {}});
  CHECK(heard[1].incarnation == now + 1);
}

TEST_CASE("peers socket: a flood takes many turns, so that others have theirs") {
  EventLoop loop;
  const Bare peer;
  int in_turn = 0, most = 0;
  PeerSocket socket(loop, {{0x7f000001, 0}, {{0x7f000001, 1}, peer.at()}, 0, {}, {}}, 1,
                    [&](const Envelope&) { most = std::max(most, ++in_turn); });
  loop.on_iteration_end([&] { in_turn = 0; });
  const Codec codec(member_list_fingerprint({{0x7f000001, 1}, peer.at()}), 1, 2, {});
  for (std::uint64_t i = 1; i <= 200; ++i)
    peer.say(socket.local(), std::get<std::string>(codec.encode({1, 1, i, Ping{}, {}}, 0)));
  REQUIRE(play(loop, {{[&] { return socket.metrics().delivered == 200; }}}));
  CHECK(most == 64);
}

TEST_CASE("peers socket: over its budget it says nothing, and probes go before agreement") {
  EventLoop loop;
  const Bare peer;
  TransportSettings settings{{0x7f000001, 0}, {{0x7f000001, 1}, peer.at()}, 0, {}, {}, 2048};
  PeerSocket socket(
      loop, settings, 1, [](const Envelope&) {},
      [](MemberId, std::size_t room) {
        return std::vector<GossipUpdate>(room + 3, GossipUpdate{1, ~0ull, {}});
      });
  // All at one time of the loop's clock, so nothing is filled up between them.
  int probes = 0, asks = 0;
  while (!socket.send(1, Ping{1})) ++probes;
  while (!socket.send(1, RecoveryQuery{1, 1})) ++asks;
  CHECK(probes == 7);  // some 210 bytes each, and room for 256 more and a quarter of 2,048 before each
  CHECK(asks == 2);
  CHECK(socket.send(1, Ping{1}) == DropReason::kOverBudget);
  CHECK(socket.metrics().count(DropReason::kOverBudget) == 3);
  CHECK(socket.metrics().sent == 9);
  CHECK(socket.metrics().sent_bytes <= 2048);
  CHECK(socket.send(0, Ping{1}) == DropReason::kOwnMessage);
  CHECK(socket.send(2, Ping{1}) == DropReason::kUnknownMember);
  // A second later there is as much again, and no more.
  const Time start = loop.now();
  REQUIRE(play(loop, {{[&] { return loop.now() >= start + 1100ms; },
                       [&] {
                         asks = 0;
                         while (!socket.send(1, RecoveryQuery{1, 1})) ++asks;
                       }}}));
  CHECK(asks == 9);
}

TEST_CASE("peers socket: it waits for a port that its predecessor still has") {
  EventLoop loop;
  Bare predecessor;
  const SocketAddress own = predecessor.at();
  PeerSocket socket(loop, {own, {own, {0x7f000001, 1}}, 0, {}, {}}, 1, [](const Envelope&) {});
  CHECK_FALSE(socket.is_open());
  CHECK(socket.open_errno() == EADDRINUSE);
  CHECK(socket.send(1, Ping{}) == DropReason::kSocketClosed);
  predecessor.fd.reset();
  REQUIRE(play(loop, {{[&] { return socket.is_open(); }}}));
  CHECK(socket.local() == own);
}

TEST_CASE("peers socket: a list of peers that won't do is refused") {
  EventLoop loop;
  const SocketAddress one{0x7f000001, 1}, two{0x7f000001, 2};
  std::vector<SocketAddress> many;
  for (std::uint32_t i = 0; i <= kMaxMembers; ++i) many.push_back({0x7f000001 + i, 1});
  const std::pair<std::vector<SocketAddress>, MemberId> cases[] = {
      {{}, 0}, {{one, two}, 2}, {{one, two, one}, 0}, {many, 0}};
  for (const auto& [peers, self] : cases) {
    CHECK_THROWS_AS(PeerSocket(loop, {{0x7f000001, 0}, peers, self, {}, {}}, 1, [](const Envelope&) {}),
                    SettingsError);
  }
}

namespace {

// Members with sockets, and a relay for the network between them.
struct Net {
  EventLoop loop;
  FaultInjectingNetwork relay;
  std::vector<std::unique_ptr<PeerSocket>> sockets;
  std::vector<std::vector<Envelope>> heard;
  Net(std::uint64_t seed, std::size_t members, bool with_all = false) : relay(loop, seed), heard(members) {
    TransportSettings settings{{0x7f000001, 0}, {}, 0, {}, {kKey}, 1 << 20};
    for (test::NodeId i = 0; i < members; ++i) settings.members.push_back(relay.proxy_address_of(i));
    if (with_all) settings.broadcast_address = relay.broadcast_address();
    for (test::NodeId i = 0; i < members; ++i) {
      settings.self = static_cast<MemberId>(i);
      sockets.push_back(std::make_unique<PeerSocket>(
          loop, settings, 1 + i, [this, i](const Envelope& e) { heard[i].push_back(e); }));
      relay.set_real_address(i, sockets[i]->local());
    }
  }
  bool settled(test::NodeId from, test::NodeId to, std::uint64_t came) {
    const auto& c = relay.statistics(from, to);
    return c.datagrams_received == came &&
           c.datagrams_forwarded + c.datagrams_dropped == c.datagrams_received + c.datagrams_duplicated &&
           sockets[to]->metrics().received >= c.datagrams_forwarded;
  }
};

}  // namespace

TEST_CASE("peers socket: a message for all reaches each other one, by one datagram or by many") {
  for (const bool with_all : {true, false}) {
    Net net(1, 4, with_all);
    CHECK_FALSE(net.sockets[2]->send_all(RecoveryQuery{5, 6}));
    REQUIRE(play(net.loop,
                 {{[&] { return net.heard[0].size() + net.heard[1].size() + net.heard[3].size() == 3; }}}));
    for (const int i : {0, 1, 3}) CHECK(net.heard[i].at(0).body == MessageBody(RecoveryQuery{5, 6}));
    CHECK(net.heard[2].empty());
    CHECK(net.sockets[2]->metrics().sent == (with_all ? 1 : 3));
  }
}

TEST_CASE("relay: what becomes of each datagram comes from the seed, and a doubled one moves nothing twice") {
  std::vector<test::LinkStatistics> counts;
  std::vector<std::vector<std::uint64_t>> orders;
  for (const std::uint64_t seed : {9, 9, 10}) {
    Net net(seed, 2);
    net.relay.set_rule(0, 1, {false, 0.2, 0.2, 0.2});
    for (std::uint32_t i = 0; i < 120; ++i) net.sockets[0]->send(1, Ping{i});
    REQUIRE(play(net.loop, {{[&] { return net.settled(0, 1, 120); }}}));
    counts.push_back(net.relay.statistics(0, 1));
    auto& order = orders.emplace_back();
    for (const auto& envelope : net.heard[1]) order.push_back(envelope.sequence);
    CHECK(order.size() == 120 - counts.back().datagrams_dropped);
    CHECK_FALSE(std::is_sorted(order.begin(), order.end()));
    CHECK(net.sockets[1]->metrics().count(DropReason::kDuplicate) == counts.back().datagrams_duplicated);
  }
  CHECK(counts[0] == counts[1]);
  CHECK(orders[0] == orders[1]);
  CHECK_FALSE(orders[0] == orders[2]);
  CHECK(counts[0].datagrams_dropped > 12);
  CHECK(counts[0].datagrams_duplicated > 8);
  CHECK(counts[0].datagrams_reordered > 8);
}

TEST_CASE("relay: it cuts one way or both, parts sides, delays, and follows a script") {
  Net net(3, 3);
  const auto tell = [&](int from, int to, std::uint32_t n) {
    net.sockets[from]->send(static_cast<MemberId>(to), Ping{n});
  };
  net.relay.set_rule(0, 1, {true});
  Time sent{}, came{};
  tell(0, 1, 1);
  tell(1, 0, 2);
  REQUIRE(
      play(net.loop,
           {{[&] { return net.heard[0].size() == 1 && net.relay.statistics(0, 1).datagrams_dropped == 1; },
             [&] {
               net.relay.set_rule(0, 1, {});
               net.relay.partition_groups({0}, {1, 2});
               for (const auto& [from, to] : {std::pair(0, 1), {1, 0}, {0, 2}, {2, 0}, {1, 2}})
                 tell(from, to, 3);
             }},
            {[&] { return net.heard[2].size() == 1 && net.relay.statistics(2, 0).datagrams_dropped == 1; },
             [&] {
               net.relay.run_schedule({{20ms,
                                        [&](FaultInjectingNetwork& relay) {
                                          relay.partition_groups({0}, {1, 2}, false);
                                        }},
                                       {30ms, [&](FaultInjectingNetwork& relay) {
                                          relay.set_default_rule({false, 0, 0, 0, 40ms, 60ms});
                                          sent = net.loop.now();
                                          tell(2, 1, 4);
                                        }}});
             }},
            {[&] { return net.heard[1].size() == 1; }, [&] { came = net.loop.now(); }},
            {at_once, [&] { tell(0, 2, 5); }},
            {[&] { return net.heard[2].size() == 2; }}}));
  CHECK(came - sent >= 40ms);
  for (const auto& [from, to] : {std::pair(0, 1), {1, 0}, {0, 2}, {2, 0}})
    CHECK(net.relay.statistics(from, to).datagrams_dropped >= 1);
  CHECK(net.relay.unknown_sender_datagrams() == 0);
}

TEST_CASE("relay: a connection's bytes pass whole, late, or wait one way while that is cut, until a reset") {
  const FileDescriptor listener = test::listen_on_free_port();
  test::FaultInjectingNetworkThread relay(4);
  const auto door = relay.run_on_thread([&](FaultInjectingNetwork& r) {
    return r.open_tcp_proxy(0, 1, {0x7f000001, local_port(listener)});
  });
  const auto rule = [&](test::NodeId from, test::NodeId to, const LinkRule& now) {
    relay.run_on_thread([&](FaultInjectingNetwork& r) { r.set_rule(from, to, now); });
  };
  test::TestConnection client(connect_tcp(door));
  REQUIRE(test::wait_until_readable(listener, test::kWaitLimit));
  test::TestConnection server(accept_connection(listener));
  const std::string much(3 << 20, 'm');  // more than any buffer on the way
  std::thread sender([&] { client.send(much); });
  CHECK(server.wait_for_bytes(much.size()));
  sender.join();
  CHECK(server.take(much.size()) == much);
  // One way is silent, the other goes on.
  rule(0, 1, {true});
  client.send("up");
  server.send("down");
  REQUIRE(client.wait_for_bytes(4));
  CHECK(client.take(4) == "down");
  CHECK_FALSE(server.wait_for_bytes(1, 50ms));
  rule(0, 1, {});
  REQUIRE(server.wait_for_bytes(2));
  CHECK(server.take(2) == "up");
  // Late, and in order though each draws its own delay.
  rule(1, 0, {false, 0, 0, 0, 30ms, 90ms});
  const Time start = monotonic_now();
  std::string all;
  for (char c = 'a'; c <= 'j'; ++c) {
    server.send(std::string(1, c));
    all += c;
    std::this_thread::sleep_for(2ms);
  }
  REQUIRE(client.wait_for_bytes(10));
  CHECK(monotonic_now() - start >= 30ms);
  CHECK(client.take(10) == all);
  // An end that one side tells passes, and the other way goes on.
  ::shutdown(client.fd().get(), SHUT_WR);
  CHECK(server.wait_for_end());
  server.send("late");
  CHECK(client.wait_for_bytes(4));
  CHECK(relay.run_on_thread([](FaultInjectingNetwork& r) { return r.statistics(0, 1); }).bytes_forwarded ==
        much.size() + 2);
  // A cut way lets nobody through to the target, a reset ends what is open.
  rule(0, 1, {true});
  test::TestConnection second(connect_tcp(door));
  CHECK_FALSE(test::wait_until_readable(listener, 50ms));
  rule(0, 1, {});
  REQUIRE(test::wait_until_readable(listener, test::kWaitLimit));
  test::TestConnection other(accept_connection(listener));
  relay.run_on_thread([](FaultInjectingNetwork& r) { r.reset_connections(0, 1); });
  char byte = 0;
  REQUIRE(test::wait_until_readable(second.fd(), test::kWaitLimit));
  CHECK(::recv(second.fd().get(), &byte, 1, 0) == -1);
  CHECK(errno == ECONNRESET);
  CHECK(other.wait_for_end());
}
