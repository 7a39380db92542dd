#include "cluster/transport/codec.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace rookproxy::cluster::transport {
namespace {

using namespace cluster;
using nlohmann::json;
using Millis = std::chrono::milliseconds;

// The first byte.
constexpr unsigned kVersion = 1, kVersionBits = 0x3f, kAuthenticated = 0x80, kBroadcast = 0x40;
// A rumour in CBOR at its largest: a member, an incarnation, a state.
constexpr std::size_t kMaxGossipUpdateBytes = 3 + 9 + 1;
constexpr std::size_t kGossipUpdateFields = 3;

// A plan's times are milliseconds since its earliest, plus one; 0 is 'never set'. 39 bits are 17 years.
constexpr unsigned kTimeBits = 39;
constexpr std::uint64_t kMaxTimeOffset = (std::uint64_t(1) << kTimeBits) - 1;
constexpr std::uint64_t kMaxBaseTime = std::uint64_t(1) << 43;  // milliseconds: the year 2248
constexpr Duration kMaxLease = std::chrono::hours(1);

struct CodecFailure {
  DropReason reason;
};

// ---- a plan's entries, each in one number of 64 bits or less

struct PackedConfig {
  std::uint64_t base = 0;
  std::vector<std::uint64_t> zones, retirements;  // a retirement has two numbers: the second is its order's
};

std::uint64_t millis_of(Time time) {
  const auto micros = time.time_since_epoch().count();
  if (micros < 0 || micros % 1000 != 0 || std::uint64_t(micros) / 1000 > kMaxBaseTime)
    throw CodecFailure{DropReason::kInvalidTime};
  return static_cast<std::uint64_t>(micros) / 1000;
}

PackedConfig pack(const ClusterConfig& plan) {
  PackedConfig packed;
  std::uint64_t earliest = std::numeric_limits<std::uint64_t>::max();
  const auto see = [&earliest](Time since) {
    if (since != Time{}) earliest = std::min(earliest, millis_of(since));
  };
  for (const auto& zone : plan.zones) see(zone.since);
  for (const auto& one : plan.retirements) see(one.since);
  if (earliest != std::numeric_limits<std::uint64_t>::max()) packed.base = earliest;
  const auto since_base = [&packed](Time since) -> std::uint64_t {
    if (since == Time{}) return 0;
    const std::uint64_t offset = millis_of(since) - packed.base + 1;
    if (offset > kMaxTimeOffset) throw CodecFailure{DropReason::kInvalidTime};
    return offset;
  };
  // The time has the high bits: young plans, and times never set, make small numbers.
  for (const auto& zone : plan.zones) {
    packed.zones.push_back(since_base(zone.since) << 25 | std::uint64_t(zone.zone) << 17 |
                           std::uint64_t(zone.step) << 9 | std::uint64_t(zone.share) << 2 |
                           static_cast<std::uint64_t>(zone.state));
  }
  for (const auto& one : plan.retirements) {
    packed.retirements.push_back(since_base(one.since) << 18 | std::uint64_t(one.site) << 10 |
                                 std::uint64_t(one.weight) << 3 | static_cast<std::uint64_t>(one.state));
    packed.retirements.push_back(one.order);
  }
  return packed;
}

void unpack(const PackedConfig& packed, ClusterConfig& plan) {
  if (packed.base > kMaxBaseTime) throw CodecFailure{DropReason::kInvalidTime};
  if (packed.zones.size() > kMaxZones || packed.retirements.size() > 2 * kMaxRetirements)
    throw CodecFailure{DropReason::kTooManyEntries};
  if (packed.retirements.size() % 2 != 0) throw CodecFailure{DropReason::kMalformed};
  const auto time = [&packed](std::uint64_t offset) {
    if (offset > kMaxTimeOffset) throw CodecFailure{DropReason::kInvalidTime};
    return offset == 0 ? Time{} : Time(Millis(packed.base + offset - 1));
  };
  for (const std::uint64_t bits : packed.zones) {
    ZonePlan zone;
    zone.zone = static_cast<std::uint8_t>(bits >> 17);
    zone.step = static_cast<std::uint8_t>(bits >> 9);
    zone.share = bits >> 2 & 0x7f;
    zone.state = static_cast<ZoneState>(bits & 3);
    zone.since = time(bits >> 25);
    plan.zones.push_back(zone);
  }
  for (std::size_t i = 0; i < packed.retirements.size(); i += 2) {
    const std::uint64_t bits = packed.retirements[i], order = packed.retirements[i + 1];
    if (order > std::numeric_limits<std::uint32_t>::max()) throw CodecFailure{DropReason::kOutOfRange};
    RetirementPlan one;
    one.site = static_cast<std::uint8_t>(bits >> 10);
    one.weight = bits >> 3 & 0x7f;
    one.state = static_cast<RetirementState>(bits & 7);
    one.order = static_cast<std::uint32_t>(order);
    one.since = time(bits >> 18);
    plan.retirements.push_back(one);
  }
}

// ---- numbers in and out of an array

struct Writer {
  static constexpr bool kReads = false;
  json out = json::array();
  template <class T>
  void operator()(T& value) {
    out.push_back(static_cast<std::uint64_t>(value));
  }
  void list(std::vector<std::uint64_t>& values) { out.push_back(values); }
  bool is_more(bool has) { return has; }
};

struct Reader {
  static constexpr bool kReads = true;
  const json& in;
  std::size_t at = 0;
  const json& next() {
    if (at >= in.size()) throw CodecFailure{DropReason::kMalformed};
    return in[at++];
  }
  static std::uint64_t number(const json& value) {
    if (!value.is_number_unsigned()) throw CodecFailure{DropReason::kMalformed};
    return value.get<std::uint64_t>();
  }
  template <class T>
  void operator()(T& value) {
    const std::uint64_t got = number(next());
    if constexpr (!std::is_enum_v<T>) {
      if (got > std::numeric_limits<T>::max()) throw CodecFailure{DropReason::kOutOfRange};
    } else if (got > std::numeric_limits<std::underlying_type_t<T>>::max()) {
      throw CodecFailure{DropReason::kOutOfRange};
    }
    value = static_cast<T>(got);
  }
  void list(std::vector<std::uint64_t>& values) {
    const json& from = next();
    if (!from.is_array()) throw CodecFailure{DropReason::kMalformed};
    for (const json& one : from) values.push_back(number(one));
  }
  bool is_more(bool) { return at < in.size(); }
  void end() const {
    if (at != in.size()) throw CodecFailure{DropReason::kMalformed};
  }
};

// ---- each message's numbers, in their order: one description for both ways

template <class Io>
void pass(Io& io, Ballot& ballot) {
  io(ballot.round);
  io(ballot.member);
}
template <class Io>
void pass(Io& io, ClusterConfig& plan) {
  io(plan.epoch);
  io(plan.fingerprint);
  PackedConfig packed;
  if constexpr (!Io::kReads) packed = pack(plan);
  io(packed.base);
  io.list(packed.zones);
  io.list(packed.retirements);
  if constexpr (Io::kReads) unpack(packed, plan);
}
// By bindings: a message that gets a field more does not compile until the field is here.
template <class Io>
void pass(Io& io, Ping& m) {
  auto& [number] = m;
  io(number);
}
template <class Io>
void pass(Io& io, PingRequest& m) {
  auto& [number, target] = m;
  io(number);
  io(target);
}
template <class Io>
void pass(Io& io, Ack& m) {
  auto& [number, target] = m;
  io(number);
  io(target);
}
template <class Io>
void pass(Io& io, Prepare& m) {
  auto& [epoch, ballot] = m;
  io(epoch);
  pass(io, ballot);
}
template <class Io>
void pass(Io& io, Promise& m) {
  auto& [epoch, ballot, accepted, plan] = m;
  io(epoch);
  pass(io, ballot);
  if (!io.is_more(accepted.has_value())) return;
  if (!accepted) accepted.emplace();
  if (!plan) plan.emplace();
  pass(io, *accepted);
  pass(io, *plan);
}
template <class Io>
void pass(Io& io, Nack& m) {
  auto& [epoch, promised] = m;
  io(epoch);
  pass(io, promised);
}
template <class Io>
void pass(Io& io, Accept& m) {
  auto& [ballot, plan] = m;
  pass(io, ballot);
  pass(io, plan);
}
template <class Io>
void pass(Io& io, Accepted& m) {
  auto& [epoch, ballot] = m;
  io(epoch);
  pass(io, ballot);
}
template <class Io>
void pass(Io& io, Chosen& m) {
  auto& [plan] = m;
  pass(io, plan);
}
template <class Io>
void pass(Io& io, RecoveryQuery& m) {
  auto& [number, epoch] = m;
  io(number);
  io(epoch);
}
template <class Io>
void pass(Io& io, RecoveryReply& m) {
  auto& [number, epoch, votes, voted] = m;
  io(number);
  io(epoch);
  io(votes);
  io(voted);
}
template <class Io>
void pass(Io& io, Lease& m) {
  auto& [epoch, span, number] = m;
  io(epoch);
  std::uint64_t left = static_cast<std::uint64_t>(span.count());
  io(left);
  if (left > static_cast<std::uint64_t>(kMaxLease.count())) throw CodecFailure{DropReason::kInvalidTime};
  span = Duration(left);
  io(number);
}

// The body whose place in the variant is its number on the wire: a new one goes to the end.
template <std::size_t Type = 0>
MessageBody empty_body(std::uint64_t type) {
  if constexpr (Type == std::variant_size_v<MessageBody>) {
    throw CodecFailure{DropReason::kUnknownType};
  } else {
    return type == Type ? MessageBody(std::in_place_index<Type>) : empty_body<Type + 1>(type);
  }
}

// ---- what a message may say

struct Bounds {
  std::size_t members;

  void member(MemberId id) const {
    if (id >= members) throw CodecFailure{DropReason::kUnknownMember};
  }
  template <class Message>
  void operator()(const Message& m) const {
    if constexpr (requires { m.target; }) member(m.target);
    if constexpr (requires { m.ballot; }) member(m.ballot.member);
    if constexpr (requires { m.promised; }) member(m.promised.member);
    if constexpr (requires { m.accepted; }) {
      if (m.accepted.has_value() != m.plan.has_value()) throw CodecFailure{DropReason::kMalformed};
      if (m.accepted) member(m.accepted->member);
      if (m.plan) plan(*m.plan);
    } else if constexpr (requires { m.plan; }) {
      plan(m.plan);
    }
  }
  void plan(const ClusterConfig& plan) const {
    if (plan.zones.size() > kMaxZones || plan.retirements.size() > kMaxRetirements)
      throw CodecFailure{DropReason::kTooManyEntries};
    for (auto zone = plan.zones.begin(); zone != plan.zones.end(); ++zone) {
      if (zone->share > 100 || zone->state > ZoneState::kReturning)
        throw CodecFailure{DropReason::kOutOfRange};
      if (std::any_of(plan.zones.begin(), zone, [&](const auto& other) { return other.zone == zone->zone; }))
        throw CodecFailure{DropReason::kDuplicateEntry};
    }
    for (auto one = plan.retirements.begin(); one != plan.retirements.end(); ++one) {
      if (one->weight > 100 || one->state > RetirementState::kStopped)
        throw CodecFailure{DropReason::kOutOfRange};
      if (std::any_of(plan.retirements.begin(), one,
                      [&](const auto& other) { return other.site == one->site; }))
        throw CodecFailure{DropReason::kDuplicateEntry};
    }
  }
};

}  // namespace

Codec::Codec(std::uint32_t fleet, MemberId self, std::size_t members, const std::vector<std::string>& keys)
    : cluster_fingerprint_(fleet), self_(self), members_(members), authenticator_(keys) {}

// Two bytes that aren't sent, since both sides know them: who a datagram is for.
std::string Codec::authenticated_prefix(std::optional<MemberId> to) const {
  const unsigned place = to.value_or(std::numeric_limits<MemberId>::max());
  return {static_cast<char>(place >> 8), static_cast<char>(place)};
}

std::optional<DropReason> Codec::validate(const Envelope& envelope) const {
  const Bounds bounds{members_};
  try {
    bounds.member(envelope.sender);
    std::visit(bounds, envelope.body);
    for (const auto& rumour : envelope.gossip) {
      bounds.member(rumour.member);
      if (rumour.state > MemberState::kFailed) return DropReason::kOutOfRange;
    }
  } catch (const CodecFailure& broken) {
    return broken.reason;
  }
  return std::nullopt;
}

std::variant<std::string, DropReason> Codec::encode(const Envelope& envelope,
                                                    std::optional<MemberId> to) const {
  if (const auto fault = validate(envelope)) return *fault;
  try {
    Writer body;
    MessageBody copy = envelope.body;
    std::visit([&body](auto& message) { pass(body, message); }, copy);
    json rumours = json::array();
    for (const auto& rumour : envelope.gossip) {
      rumours.push_back(rumour.member);
      rumours.push_back(rumour.incarnation);
      rumours.push_back(static_cast<unsigned>(rumour.state));
    }
    const json whole =
        json::array({cluster_fingerprint_, envelope.sender, envelope.incarnation, envelope.sequence,
                     envelope.body.index(), std::move(body.out), std::move(rumours)});
    std::string bytes(1, static_cast<char>(kVersion | (authenticator_.is_enabled() ? kAuthenticated : 0) |
                                           (to ? 0 : kBroadcast)));
    json::to_cbor(whole, bytes);
    if (authenticator_.is_enabled()) bytes += authenticator_.sign(authenticated_prefix(to), bytes);
    if (bytes.size() > kMaxDatagramBytes) return DropReason::kTooLong;
    return bytes;
  } catch (const CodecFailure& broken) {
    return broken.reason;
  }
}

std::variant<Envelope, DropReason> Codec::decode(std::string_view bytes) const {
  if (bytes.empty()) return DropReason::kEmpty;
  if (bytes.size() > kMaxDatagramBytes) return DropReason::kTooLong;
  const auto head = static_cast<unsigned char>(bytes[0]);
  if ((head & kVersionBits) != kVersion) return DropReason::kUnknownVersion;
  const bool proved = (head & kAuthenticated) != 0;
  if (proved != authenticator_.is_enabled())
    return proved ? DropReason::kUnexpectedMac : DropReason::kMissingMac;
  if (proved) {
    if (bytes.size() <= kMacBytes) return DropReason::kInvalidMac;
    const auto proof = bytes.substr(bytes.size() - kMacBytes);
    bytes.remove_suffix(kMacBytes);
    const auto to = (head & kBroadcast) != 0 ? std::nullopt : std::optional<MemberId>(self_);
    if (!authenticator_.verify(authenticated_prefix(to), bytes, proof)) return DropReason::kInvalidMac;
  }
  bytes.remove_prefix(1);
  try {
    const json whole = json::from_cbor(bytes, true, false);
    if (whole.is_discarded()) {
      return json::from_cbor(bytes, false, false).is_discarded() ? DropReason::kUnreadable
                                                                 : DropReason::kTrailingBytes;
    }
    if (!whole.is_array() || whole.empty()) return DropReason::kMalformed;
    Reader in{whole};
    std::uint32_t fleet = 0;
    in(fleet);
    if (fleet != cluster_fingerprint_) return DropReason::kForeignCluster;
    Envelope envelope;
    in(envelope.sender);
    in(envelope.incarnation);
    in(envelope.sequence);
    std::uint64_t type = 0;
    in(type);
    envelope.body = empty_body(type);
    const json& body = in.next();
    if (!body.is_array()) return DropReason::kMalformed;
    Reader fields{body};
    std::visit([&fields](auto& message) { pass(fields, message); }, envelope.body);
    fields.end();
    const json& rumours = in.next();
    in.end();
    if (!rumours.is_array() || rumours.size() % kGossipUpdateFields != 0) return DropReason::kMalformed;
    Reader told{rumours};
    while (told.is_more(false)) {
      GossipUpdate& rumour = envelope.gossip.emplace_back();
      told(rumour.member);
      told(rumour.incarnation);
      told(rumour.state);
    }
    if (const auto fault = validate(envelope)) return *fault;
    return envelope;
  } catch (const CodecFailure& broken) {
    return broken.reason;
  } catch (const json::exception&) {  // an array that claims more than any memory
    return DropReason::kUnreadable;
  }
}

std::size_t Codec::gossip_capacity(Envelope envelope) const {
  envelope.gossip.clear();
  const auto bytes = encode(envelope, std::nullopt);
  const auto* text = std::get_if<std::string>(&bytes);
  // Beyond 23 numbers an array's head takes a byte more.
  return text ? (kMaxDatagramBytes - std::min(kMaxDatagramBytes, text->size() + 1)) / kMaxGossipUpdateBytes
              : 0;
}

}  // namespace rookproxy::cluster::transport
