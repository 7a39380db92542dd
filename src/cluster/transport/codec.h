// Messages between dispatchers as datagrams, and back. docs/peers.md has the layout and its sizes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/messages.h"
#include "cluster/transport/drop_reason.h"
#include "cluster/transport/message_authenticator.h"
#include "cluster/transport/message_validation.h"

namespace rookproxy::cluster::transport {

// The platform's limit for a datagram between dispatchers.
inline constexpr std::size_t kMaxDatagramBytes = 256;

// A message with all that a datagram carries beside it.
struct Envelope {
  MemberId sender = 0;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;  // of the sender's process, one more for each datagram
  MessageBody body;
  std::vector<GossipUpdate> gossip;
  bool operator==(const Envelope&) const = default;
};

// Encodes and decodes the datagrams of one member. Never throws on what it is given to decode.
class Codec {
 public:
  // `cluster_fingerprint`: of the list of members, since a member is identified by its position in it.
  // `self`: this member's position, out of `member_count`. `keys`: see MessageAuthenticator, which throws.
  Codec(std::uint32_t cluster_fingerprint, MemberId self, std::size_t member_count,
        const std::vector<std::string>& keys);

  // At most kMaxDatagramBytes, or why the envelope can't be encoded. `to`: nothing for all members. The
  // receiver is authenticated, so that a datagram for one member can't be replayed to another.
  [[nodiscard]] std::variant<std::string, DropReason> encode(const Envelope& envelope,
                                                             std::optional<MemberId> to) const;
  // Where a key is set, interprets nothing that is not authenticated.
  [[nodiscard]] std::variant<Envelope, DropReason> decode(std::string_view datagram) const;
  // How many updates of any content fit beside the envelope's body; those that it has are ignored.
  [[nodiscard]] std::size_t gossip_capacity(Envelope envelope) const;

 private:
  [[nodiscard]] std::variant<std::string_view, DropReason> authenticate(std::string_view datagram) const;
  [[nodiscard]] std::variant<Envelope, DropReason> read(std::string_view payload) const;
  [[nodiscard]] std::optional<DropReason> validate(const Envelope& envelope) const;

  std::uint32_t cluster_fingerprint_;
  MemberId self_;
  MessageValidator validator_;
  MessageAuthenticator authenticator_;
};

}  // namespace rookproxy::cluster::transport
