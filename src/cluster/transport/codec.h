// Encodes and decodes the datagrams between dispatchers. docs/peers.md has the layout and its sizes.
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

// The maximum size of a datagram between dispatchers.
inline constexpr std::size_t kMaxDatagramBytes = 256;

// A message together with everything else that a datagram carries.
struct Envelope {
  MemberId sender = 0;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;  // Increases by one with each datagram of the sender's process.
  MessageBody body;
  std::vector<GossipUpdate> gossip;
  bool operator==(const Envelope&) const = default;
};

// Encodes and decodes the datagrams of one member. Decoding does not throw, whatever the input.
class Codec {
 public:
  // `cluster_fingerprint`: identifies the list of members, in which a member's position is its id. `self`:
  // this member's position, less than `member_count`. `keys`: see MessageAuthenticator, whose exceptions pass
  // through.
  Codec(std::uint32_t cluster_fingerprint, MemberId self, std::size_t member_count,
        const std::vector<std::string>& keys);

  // Returns a datagram of at most kMaxDatagramBytes, or the reason why the envelope can't be encoded. `to`:
  // the receiver; nothing for a broadcast. The receiver is authenticated, so that a datagram for one member
  // can't be replayed to another.
  [[nodiscard]] std::variant<std::string, DropReason> encode(const Envelope& envelope,
                                                             std::optional<MemberId> to) const;
  // Returns the envelope, or the reason why the datagram is dropped. If a key is configured, only
  // authenticated bytes are parsed.
  [[nodiscard]] std::variant<Envelope, DropReason> decode(std::string_view datagram) const;
  // The number of gossip updates that fit into a datagram with the envelope's body. The envelope's own
  // updates are ignored.
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
