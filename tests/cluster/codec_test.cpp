// Tests encoding and decoding of datagrams between dispatchers, and the reasons for which they are dropped.
#include "cluster/transport/codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace rookproxy::cluster::transport {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint32_t kClusterFingerprint = 0xfeedbeef;
const std::string kKey(32, 'k');

std::optional<DropReason> drop_reason(const std::variant<Envelope, DropReason>& decoded) {
  const auto* reason = std::get_if<DropReason>(&decoded);
  return reason ? std::optional(*reason) : std::nullopt;
}

// Generates valid envelopes and mutated datagrams from a seed.
class EnvelopeGenerator {
 public:
  explicit EnvelopeGenerator(std::uint64_t seed) : random_(seed) {}
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
  template <class T>
  T any() {  // Returns small and large numbers alike.
    return static_cast<T>(random_() >> below(64));
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
    const auto zones = below(kMaxZones + 1);
    const auto retirements = below(kMaxRetirements + 1);
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
    const auto number = any<std::uint32_t>();
    const auto epoch = any<std::uint32_t>();
    switch (type) {
      case 0:
        return Ping{number};
      case 1:
        return PingRequest{number, member()};
      case 2:
        return Ack{number, member()};
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
        return RecoveryQuery{number, epoch};
      case 10:
        return RecoveryReply{number, epoch, below(2) == 1, any<std::uint32_t>()};
      default:
        return Lease{epoch, Duration(below(3'600'000'000)), number};
    }
  }
  Envelope envelope(const Codec& codec) {
    Envelope generated{member(),
                       any<Incarnation>(),
                       any<std::uint64_t>(),
                       body(below(std::variant_size_v<MessageBody>)),
                       {}};
    for (auto left = below(codec.gossip_capacity(generated) + 1); left > 0; --left)
      generated.gossip.push_back({member(), any<Incarnation>(), static_cast<MemberState>(below(3))});
    return generated;
  }
  std::string mutated(std::string text) {
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
            if (at < text.size()) text[at] = static_cast<char>(random_());
            break;
          default:
            if (at < text.size()) text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        }
      }
    }
    return text;
  }

 private:
  std::mt19937_64 random_;
};

ClusterConfig largest_plan() {
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

TEST_CASE(
    "codec: each message type survives encoding and decoding in at most 256 bytes, with and without a key") {
  for (const auto& keys : {std::vector<std::string>{}, {kKey}}) {
    const Codec codec(kClusterFingerprint, 7, kMaxMembers, keys);
    EnvelopeGenerator generator(20261201);
    std::set<std::size_t> types;
    for (int i = 0; i < 5'000; ++i) {
      const Envelope sent = generator.envelope(codec);
      types.insert(sent.body.index());
      const auto encoded = codec.encode(sent, i % 2 == 0 ? std::optional<MemberId>(7) : std::nullopt);
      const auto* bytes = std::get_if<std::string>(&encoded);
      REQUIRE(bytes);
      REQUIRE(bytes->size() <= kMaxDatagramBytes);
      const auto read = codec.decode(*bytes);
      REQUIRE_FALSE(drop_reason(read));
      REQUIRE(std::get<Envelope>(read) == sent);
    }
    CHECK(types.size() == std::variant_size_v<MessageBody>);
  }
}

TEST_CASE("codec: messages with the largest plan and a MAC have the documented sizes and gossip capacities") {
  const Codec codec(kClusterFingerprint, 7, kMaxMembers, {kKey});
  const Ballot highest_ballot{0xffffffff, 1023};
  // docs/peers.md has these sizes.
  const auto size = [&](MessageBody body) {
    const Envelope envelope{1023, ~0ull, ~0ull, std::move(body), {}};
    return std::pair(std::get<std::string>(codec.encode(envelope, 7)).size(),
                     codec.gossip_capacity(envelope));
  };
  using Sizes = std::pair<std::size_t, std::size_t>;
  CHECK(size(Promise{0xffffffff, highest_ballot, highest_ballot, largest_plan()}) == Sizes(213, 3));
  CHECK(size(Accept{highest_ballot, largest_plan()}) == Sizes(200, 4));
  CHECK(size(Chosen{largest_plan()}) == Sizes(192, 4));
  CHECK(size(Ping{0xffffffff}) == Sizes(52, 15));
}

TEST_CASE("codec: invalid datagrams and envelopes are rejected with the drop reason of each fault") {
  const Codec plain(kClusterFingerprint, 7, 100, {});
  const Codec keyed(kClusterFingerprint, 7, 100, {kKey});
  const auto bytes = [](const json& whole) {
    std::string text = "\x41";
    json::to_cbor(whole, text);
    return text;
  };
  // The elements are cluster fingerprint, sender, incarnation, sequence, type, body and gossip.
  const auto ping = [&](const json& patch) {
    return bytes(json{kClusterFingerprint, 3, 5, 1, 0, {9}, json::array()}.patch(patch));
  };
  const auto with = [&](int at, const json& value) {
    return ping({{{"op", "replace"}, {"path", "/" + std::to_string(at)}, {"value", value}}});
  };
  const auto body = [&](int type, const json& fields) {
    return bytes(json{kClusterFingerprint, 3, 5, 1, type, fields, json::array()});
  };
  const auto plan = [&](const json& base, const json& zones, const json& retirements) {
    return body(8, {1, 2, base, zones, retirements});
  };
  const json none = json::array();
  const std::string valid_ping = ping(none);
  const auto authenticated = std::get<std::string>(keyed.encode({3, 5, 1, Ping{9}, {}}, 7));
  REQUIRE_FALSE(drop_reason(plain.decode(valid_ping)));
  REQUIRE_FALSE(drop_reason(plain.decode(plan(0, {100 << 2}, none))));
  const std::vector<std::pair<std::string, DropReason>> cases = {
      {"", DropReason::kEmpty},
      {std::string(257, 'a'), DropReason::kTooLong},
      {"\x42" + valid_ping.substr(1), DropReason::kUnknownVersion},
      {authenticated, DropReason::kUnexpectedMac},
      {valid_ping.substr(0, 1), DropReason::kUnreadable},
      {valid_ping.substr(0, valid_ping.size() - 1), DropReason::kUnreadable},
      {std::string("\x41\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 10), DropReason::kUnreadable},
      {"\x41" + std::string(255, '\x81'), DropReason::kUnreadable},
      {valid_ping + "x", DropReason::kTrailingBytes},
      {bytes(json::object()), DropReason::kMalformed},
      {bytes(none), DropReason::kMalformed},
      {with(0, kClusterFingerprint + 1), DropReason::kForeignCluster},
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
  for (const auto& [text, expected] : cases) {
    CAPTURE(description_of(expected), json::binary({text.begin(), text.end()}).dump());
    const auto got = drop_reason(plain.decode(text));
    CHECK((got ? description_of(*got) : "accepted") == description_of(expected));
  }
  CHECK(drop_reason(keyed.decode(valid_ping)) == DropReason::kMissingMac);
  CHECK(drop_reason(keyed.decode("\xc1")) == DropReason::kInvalidMac);
  const std::vector<std::pair<MessageBody, DropReason>> not_encodable = {
      {Ack{1, 100}, DropReason::kUnknownMember},
      {Lease{1, Duration(-1), 1}, DropReason::kInvalidTime},
      {Promise{1, {}, Ballot{}, {}}, DropReason::kMalformed},
      {Chosen{{1, 2, {{0, ZoneState(4), 100, 0, {}}}, {}}}, DropReason::kOutOfRange},
      {Chosen{{1, 2, {{0, ZoneState::kUnavailable, 100, 0, Time(1us)}}, {}}}, DropReason::kInvalidTime},
      {Chosen{{1, 2, {{0, {}, 100, 0, Time(1ms)}, {1, {}, 100, 0, Time(std::chrono::years(20))}}, {}}},
       DropReason::kInvalidTime},
      {Chosen{{1, 2, std::vector<ZonePlan>(9), {}}}, DropReason::kTooManyEntries},
  };
  for (const auto& [one, expected] : not_encodable)
    CHECK(std::get<DropReason>(plain.encode({3, 5, 1, one, {}}, 7)) == expected);
  CHECK(std::get<DropReason>(plain.encode({3, 5, 1, Ping{}, std::vector<GossipUpdate>(90)}, 7)) ==
        DropReason::kTooLong);
}

TEST_CASE(
    "codec: of 100,000 mutated datagrams none is accepted with a key, and none causes a failure without") {
  EnvelopeGenerator generator(77);
  const Codec plain(kClusterFingerprint, 7, kMaxMembers, {});
  const Codec keyed(kClusterFingerprint, 7, kMaxMembers, {kKey});
  int accepted = 0;
  int decodable = 0;
  for (int i = 0; i < 2'500; ++i) {
    const Envelope sent = generator.envelope(keyed);
    const auto authenticated = std::get<std::string>(keyed.encode(sent, 7));
    const auto unauthenticated = std::get<std::string>(plain.encode(sent, 7));
    for (int edits = 0; edits < 20; ++edits) {
      accepted += !drop_reason(keyed.decode(generator.mutated(authenticated)));
      const auto read = plain.decode(generator.mutated(unauthenticated));
      if (drop_reason(read)) continue;
      // An envelope that is accepted without a key must be encodable again.
      ++decodable;
      const auto encoded_again = plain.encode(std::get<Envelope>(read), 7);
      REQUIRE((std::holds_alternative<std::string>(encoded_again) ||
               std::get<DropReason>(encoded_again) == DropReason::kTooLong));
    }
  }
  CHECK(accepted == 0);
  CHECK(decodable > 1000);
}

}  // namespace
}  // namespace rookproxy::cluster::transport
