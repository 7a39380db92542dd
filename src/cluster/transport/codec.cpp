#include "cluster/transport/codec.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "cluster/transport/message_fields.h"

namespace rookproxy::cluster::transport {
namespace {

using nlohmann::json;

// The first byte of a datagram: a version and two flags.
constexpr unsigned kVersion = 1;
constexpr unsigned kVersionMask = 0x3f;
constexpr unsigned kBroadcastFlag = 0x40;
constexpr unsigned kAuthenticatedFlag = 0x80;

// The largest size of a gossip update in CBOR: a member, an incarnation and a state.
constexpr std::size_t kMaxGossipUpdateBytes = 3 + 9 + 1;
constexpr std::size_t kGossipUpdateFields = 3;

// Encodes the receiver as two bytes, which are authenticated but not sent, since both sides know them.
std::string receiver_prefix(std::optional<MemberId> to) {
  const unsigned member = to.value_or(std::numeric_limits<MemberId>::max());
  return {static_cast<char>(member >> 8), static_cast<char>(member)};
}

// Returns a message of the type at position `type` in MessageBody; nothing if there is none.
template <std::size_t Type = 0>
std::optional<MessageBody> empty_message(std::uint64_t type) {
  if constexpr (Type == std::variant_size_v<MessageBody>) {
    return std::nullopt;
  } else {
    return type == Type ? MessageBody(std::in_place_index<Type>) : empty_message<Type + 1>(type);
  }
}

std::variant<MessageBody, DropReason> read_body(std::uint64_t type, const json& fields) {
  std::optional<MessageBody> body = empty_message(type);
  if (!body) return DropReason::kUnknownType;
  if (!fields.is_array()) return DropReason::kMalformed;
  FieldReader reader(fields);
  std::visit(FieldTransfer(reader), *body);
  reader.expect_end();
  if (reader.failure()) return *reader.failure();
  return *std::move(body);
}

std::variant<std::vector<GossipUpdate>, DropReason> read_gossip(const json& fields) {
  if (!fields.is_array() || fields.size() % kGossipUpdateFields != 0) return DropReason::kMalformed;
  std::vector<GossipUpdate> gossip(fields.size() / kGossipUpdateFields);
  FieldReader reader(fields);
  FieldTransfer transfer(reader);
  for (GossipUpdate& update : gossip) transfer(update);
  if (reader.failure()) return *reader.failure();
  return gossip;
}

json write_gossip(const std::vector<GossipUpdate>& gossip) {
  FieldWriter writer;
  FieldTransfer transfer(writer);
  for (GossipUpdate update : gossip) transfer(update);
  return writer.take();
}

}  // namespace

Codec::Codec(std::uint32_t cluster_fingerprint, MemberId self, std::size_t member_count,
             const std::vector<std::string>& keys)
    : cluster_fingerprint_(cluster_fingerprint),
      self_(self),
      validator_(member_count),
      authenticator_(keys) {}

std::optional<DropReason> Codec::validate(const Envelope& envelope) const {
  if (const auto reason = validator_.validate(envelope.sender)) return reason;
  if (const auto reason = validator_.validate(envelope.body)) return reason;
  for (const GossipUpdate& update : envelope.gossip) {
    if (const auto reason = validator_.validate(update)) return reason;
  }
  return std::nullopt;
}

std::variant<std::string, DropReason> Codec::encode(const Envelope& envelope,
                                                    std::optional<MemberId> to) const {
  if (const auto reason = validate(envelope)) return *reason;
  FieldWriter writer;
  MessageBody body = envelope.body;
  std::visit(FieldTransfer(writer), body);
  if (writer.failure()) return *writer.failure();
  const json payload =
      json::array({cluster_fingerprint_, envelope.sender, envelope.incarnation, envelope.sequence,
                   envelope.body.index(), writer.take(), write_gossip(envelope.gossip)});
  const unsigned flags = (authenticator_.is_enabled() ? kAuthenticatedFlag : 0) | (to ? 0 : kBroadcastFlag);
  std::string datagram(1, static_cast<char>(kVersion | flags));
  json::to_cbor(payload, datagram);
  if (authenticator_.is_enabled()) datagram += authenticator_.sign(receiver_prefix(to), datagram);
  if (datagram.size() > kMaxDatagramBytes) return DropReason::kTooLong;
  return datagram;
}

std::variant<Envelope, DropReason> Codec::decode(std::string_view datagram) const {
  const auto payload = authenticate(datagram);
  if (const auto* reason = std::get_if<DropReason>(&payload)) return *reason;
  try {
    return read(std::get<std::string_view>(payload));
  } catch (const json::exception&) {  // An array declares more elements than memory can hold.
    return DropReason::kUnreadable;
  }
}

// Checks the first byte and the authentication code, and returns the CBOR between them.
std::variant<std::string_view, DropReason> Codec::authenticate(std::string_view datagram) const {
  if (datagram.empty()) return DropReason::kEmpty;
  if (datagram.size() > kMaxDatagramBytes) return DropReason::kTooLong;
  const auto head = static_cast<unsigned char>(datagram[0]);
  if ((head & kVersionMask) != kVersion) return DropReason::kUnknownVersion;
  const bool has_mac = (head & kAuthenticatedFlag) != 0;
  if (has_mac && !authenticator_.is_enabled()) return DropReason::kUnexpectedMac;
  if (!has_mac && authenticator_.is_enabled()) return DropReason::kMissingMac;
  if (!has_mac) return datagram.substr(1);
  if (datagram.size() <= kMacBytes) return DropReason::kInvalidMac;
  const std::string_view mac = datagram.substr(datagram.size() - kMacBytes);
  datagram.remove_suffix(kMacBytes);
  const bool is_broadcast = (head & kBroadcastFlag) != 0;
  const auto to = is_broadcast ? std::nullopt : std::optional<MemberId>(self_);
  if (!authenticator_.verify(receiver_prefix(to), datagram, mac)) return DropReason::kInvalidMac;
  return datagram.substr(1);
}

std::variant<Envelope, DropReason> Codec::read(std::string_view payload) const {
  const json array = json::from_cbor(payload, true, false);
  if (array.is_discarded()) {
    const bool is_prefix_valid = !json::from_cbor(payload, false, false).is_discarded();
    return is_prefix_valid ? DropReason::kTrailingBytes : DropReason::kUnreadable;
  }
  if (!array.is_array() || array.empty()) return DropReason::kMalformed;
  FieldReader reader(array);
  std::uint32_t cluster_fingerprint = 0;
  reader.number(cluster_fingerprint);
  if (reader.failure()) return *reader.failure();
  if (cluster_fingerprint != cluster_fingerprint_) return DropReason::kForeignCluster;

  Envelope envelope;
  std::uint64_t type = 0;
  reader.number(envelope.sender);
  reader.number(envelope.incarnation);
  reader.number(envelope.sequence);
  reader.number(type);
  if (reader.failure()) return *reader.failure();

  auto body = read_body(type, reader.next());
  if (const auto* reason = std::get_if<DropReason>(&body)) return *reason;
  envelope.body = std::get<MessageBody>(std::move(body));

  const json& gossip_fields = reader.next();
  reader.expect_end();
  if (reader.failure()) return *reader.failure();
  auto gossip = read_gossip(gossip_fields);
  if (const auto* reason = std::get_if<DropReason>(&gossip)) return *reason;
  envelope.gossip = std::get<std::vector<GossipUpdate>>(std::move(gossip));

  if (const auto reason = validate(envelope)) return *reason;
  return envelope;
}

std::size_t Codec::gossip_capacity(Envelope envelope) const {
  envelope.gossip.clear();
  const auto encoded = encode(envelope, std::nullopt);
  const auto* datagram = std::get_if<std::string>(&encoded);
  if (datagram == nullptr) return 0;
  // The CBOR head of an array of more than 23 elements is one byte longer.
  const std::size_t used = std::min(kMaxDatagramBytes, datagram->size() + 1);
  return (kMaxDatagramBytes - used) / kMaxGossipUpdateBytes;
}

}  // namespace rookproxy::cluster::transport
