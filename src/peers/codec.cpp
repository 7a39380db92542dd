#include "peers/codec.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace rookproxy::peers {
namespace {

using namespace fleet;
using nlohmann::json;
using Millis = std::chrono::milliseconds;

// The first byte.
constexpr unsigned kVersion = 1, kVersionBits = 0x3f, kProved = 0x80, kToAll = 0x40;
// A rumour in CBOR at its largest: a member, an incarnation, a state.
constexpr std::size_t kRumourBytes = 3 + 9 + 1;
constexpr std::size_t kRumourNumbers = 3;

// A plan's times are milliseconds since its earliest, plus one; 0 is 'never set'. 39 bits are 17 years.
constexpr unsigned kTimeBits = 39;
constexpr std::uint64_t kMostTime = (std::uint64_t(1) << kTimeBits) - 1;
constexpr std::uint64_t kMostBase = std::uint64_t(1) << 43;  // milliseconds: the year 2248
constexpr Duration kMostLease = std::chrono::hours(1);

struct Broken {
  Reason reason;
};

// ---- a plan's entries, each in one number of 64 bits or less

struct Packed {
  std::uint64_t base = 0;
  std::vector<std::uint64_t> zones, retirements;  // a retirement has two numbers: the second is its order's
};

std::uint64_t millis_of(Time time) {
  const auto micros = time.time_since_epoch().count();
  if (micros < 0 || micros % 1000 != 0 || std::uint64_t(micros) / 1000 > kMostBase)
    throw Broken{Reason::kTimes};
  return static_cast<std::uint64_t>(micros) / 1000;
}

Packed pack(const FleetPlan& plan) {
  Packed packed;
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
    if (offset > kMostTime) throw Broken{Reason::kTimes};
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

void unpack(const Packed& packed, FleetPlan& plan) {
  if (packed.base > kMostBase) throw Broken{Reason::kTimes};
  if (packed.zones.size() > kMostZones || packed.retirements.size() > 2 * kMostRetirements)
    throw Broken{Reason::kTooMany};
  if (packed.retirements.size() % 2 != 0) throw Broken{Reason::kShape};
  const auto time = [&packed](std::uint64_t offset) {
    if (offset > kMostTime) throw Broken{Reason::kTimes};
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
    if (order > std::numeric_limits<std::uint32_t>::max()) throw Broken{Reason::kRange};
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
    if (at >= in.size()) throw Broken{Reason::kShape};
    return in[at++];
  }
  static std::uint64_t number(const json& value) {
    if (!value.is_number_unsigned()) throw Broken{Reason::kShape};
    return value.get<std::uint64_t>();
  }
  template <class T>
  void operator()(T& value) {
    const std::uint64_t got = number(next());
    if constexpr (!std::is_enum_v<T>) {
      if (got > std::numeric_limits<T>::max()) throw Broken{Reason::kRange};
    } else if (got > std::numeric_limits<std::underlying_type_t<T>>::max()) {
      throw Broken{Reason::kRange};
    }
    value = static_cast<T>(got);
  }
  void list(std::vector<std::uint64_t>& values) {
    const json& from = next();
    if (!from.is_array()) throw Broken{Reason::kShape};
    for (const json& one : from) values.push_back(number(one));
  }
  bool is_more(bool) { return at < in.size(); }
  void end() const {
    if (at != in.size()) throw Broken{Reason::kShape};
  }
};

// ---- each message's numbers, in their order: one description for both ways

template <class Io>
void pass(Io& io, Ballot& ballot) {
  io(ballot.round);
  io(ballot.member);
}
template <class Io>
void pass(Io& io, FleetPlan& plan) {
  io(plan.epoch);
  io(plan.fingerprint);
  Packed packed;
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
void pass(Io& io, PingFor& m) {
  auto& [number, about] = m;
  io(number);
  io(about);
}
template <class Io>
void pass(Io& io, Ack& m) {
  auto& [number, about] = m;
  io(number);
  io(about);
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
void pass(Io& io, Refusal& m) {
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
void pass(Io& io, Ask& m) {
  auto& [number, epoch] = m;
  io(number);
  io(epoch);
}
template <class Io>
void pass(Io& io, Tell& m) {
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
  if (left > static_cast<std::uint64_t>(kMostLease.count())) throw Broken{Reason::kTimes};
  span = Duration(left);
  io(number);
}

// The body whose place in the variant is its number on the wire: a new one goes to the end.
template <std::size_t Type = 0>
Body empty_body(std::uint64_t type) {
  if constexpr (Type == std::variant_size_v<Body>) {
    throw Broken{Reason::kUnknownType};
  } else {
    return type == Type ? Body(std::in_place_index<Type>) : empty_body<Type + 1>(type);
  }
}

// ---- what a message may say

struct Bounds {
  std::size_t members;

  void member(MemberId id) const {
    if (id >= members) throw Broken{Reason::kUnknownMember};
  }
  template <class Message>
  void operator()(const Message& m) const {
    if constexpr (requires { m.about; }) member(m.about);
    if constexpr (requires { m.ballot; }) member(m.ballot.member);
    if constexpr (requires { m.promised; }) member(m.promised.member);
    if constexpr (requires { m.accepted; }) {
      if (m.accepted.has_value() != m.plan.has_value()) throw Broken{Reason::kShape};
      if (m.accepted) member(m.accepted->member);
      if (m.plan) plan(*m.plan);
    } else if constexpr (requires { m.plan; }) {
      plan(m.plan);
    }
  }
  void plan(const FleetPlan& plan) const {
    if (plan.zones.size() > kMostZones || plan.retirements.size() > kMostRetirements)
      throw Broken{Reason::kTooMany};
    for (auto zone = plan.zones.begin(); zone != plan.zones.end(); ++zone) {
      if (zone->share > 100 || zone->state > ZoneState::kReturning) throw Broken{Reason::kRange};
      if (std::any_of(plan.zones.begin(), zone, [&](const auto& other) { return other.zone == zone->zone; }))
        throw Broken{Reason::kTwice};
    }
    for (auto one = plan.retirements.begin(); one != plan.retirements.end(); ++one) {
      if (one->weight > 100 || one->state > RetirementState::kStopped) throw Broken{Reason::kRange};
      if (std::any_of(plan.retirements.begin(), one,
                      [&](const auto& other) { return other.site == one->site; }))
        throw Broken{Reason::kTwice};
    }
  }
};

}  // namespace

Codec::Codec(std::uint32_t fleet, MemberId self, std::size_t members, const std::vector<std::string>& keys)
    : fleet_(fleet), self_(self), members_(members), prover_(keys) {}

// Two bytes that aren't sent, since both sides know them: who a datagram is for.
std::string Codec::under_proof(std::optional<MemberId> to) const {
  const unsigned place = to.value_or(std::numeric_limits<MemberId>::max());
  return {static_cast<char>(place >> 8), static_cast<char>(place)};
}

std::optional<Reason> Codec::fault_of(const Envelope& envelope) const {
  const Bounds bounds{members_};
  try {
    bounds.member(envelope.sender);
    std::visit(bounds, envelope.body);
    for (const auto& rumour : envelope.rumours) {
      bounds.member(rumour.member);
      if (rumour.state > MemberState::kGone) return Reason::kRange;
    }
  } catch (const Broken& broken) {
    return broken.reason;
  }
  return std::nullopt;
}

std::variant<std::string, Reason> Codec::encode(const Envelope& envelope, std::optional<MemberId> to) const {
  if (const auto fault = fault_of(envelope)) return *fault;
  try {
    Writer body;
    Body copy = envelope.body;
    std::visit([&body](auto& message) { pass(body, message); }, copy);
    json rumours = json::array();
    for (const auto& rumour : envelope.rumours) {
      rumours.push_back(rumour.member);
      rumours.push_back(rumour.incarnation);
      rumours.push_back(static_cast<unsigned>(rumour.state));
    }
    const json whole = json::array({fleet_, envelope.sender, envelope.incarnation, envelope.sequence,
                                    envelope.body.index(), std::move(body.out), std::move(rumours)});
    std::string bytes(1, static_cast<char>(kVersion | (prover_.is_on() ? kProved : 0) | (to ? 0 : kToAll)));
    json::to_cbor(whole, bytes);
    if (prover_.is_on()) bytes += prover_.prove(under_proof(to), bytes);
    if (bytes.size() > kMostBytes) return Reason::kTooLong;
    return bytes;
  } catch (const Broken& broken) {
    return broken.reason;
  }
}

std::variant<Envelope, Reason> Codec::decode(std::string_view bytes) const {
  if (bytes.empty()) return Reason::kEmpty;
  if (bytes.size() > kMostBytes) return Reason::kTooLong;
  const auto head = static_cast<unsigned char>(bytes[0]);
  if ((head & kVersionBits) != kVersion) return Reason::kVersion;
  const bool proved = (head & kProved) != 0;
  if (proved != prover_.is_on()) return proved ? Reason::kUnwantedProof : Reason::kNoProof;
  if (proved) {
    if (bytes.size() <= kProofBytes) return Reason::kForged;
    const auto proof = bytes.substr(bytes.size() - kProofBytes);
    bytes.remove_suffix(kProofBytes);
    const auto to = (head & kToAll) != 0 ? std::nullopt : std::optional<MemberId>(self_);
    if (!prover_.accepts(under_proof(to), bytes, proof)) return Reason::kForged;
  }
  bytes.remove_prefix(1);
  try {
    const json whole = json::from_cbor(bytes, true, false);
    if (whole.is_discarded()) {
      return json::from_cbor(bytes, false, false).is_discarded() ? Reason::kUnreadable : Reason::kTrailing;
    }
    if (!whole.is_array() || whole.empty()) return Reason::kShape;
    Reader in{whole};
    std::uint32_t fleet = 0;
    in(fleet);
    if (fleet != fleet_) return Reason::kForeignFleet;
    Envelope envelope;
    in(envelope.sender);
    in(envelope.incarnation);
    in(envelope.sequence);
    std::uint64_t type = 0;
    in(type);
    envelope.body = empty_body(type);
    const json& body = in.next();
    if (!body.is_array()) return Reason::kShape;
    Reader fields{body};
    std::visit([&fields](auto& message) { pass(fields, message); }, envelope.body);
    fields.end();
    const json& rumours = in.next();
    in.end();
    if (!rumours.is_array() || rumours.size() % kRumourNumbers != 0) return Reason::kShape;
    Reader told{rumours};
    while (told.is_more(false)) {
      Rumour& rumour = envelope.rumours.emplace_back();
      told(rumour.member);
      told(rumour.incarnation);
      told(rumour.state);
    }
    if (const auto fault = fault_of(envelope)) return *fault;
    return envelope;
  } catch (const Broken& broken) {
    return broken.reason;
  } catch (const json::exception&) {  // an array that claims more than any memory
    return Reason::kUnreadable;
  }
}

std::size_t Codec::room_for_rumours(Envelope envelope) const {
  envelope.rumours.clear();
  const auto bytes = encode(envelope, std::nullopt);
  const auto* text = std::get_if<std::string>(&bytes);
  // Beyond 23 numbers an array's head takes a byte more.
  return text ? (kMostBytes - std::min(kMostBytes, text->size() + 1)) / kRumourBytes : 0;
}

}  // namespace rookproxy::peers
