// A message between dispatchers as a datagram, and back. docs/peers.md has the layout and its sizes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/transport/proof.h"
#include "cluster/transport/reason.h"
#include "cluster/messages.h"

namespace rookproxy::cluster::transport {

constexpr std::size_t kMaxDatagramBytes = 256;  // the platform's bound for a datagram between dispatchers

struct Envelope {
  cluster::MemberId sender = 0;
  cluster::Incarnation incarnation = 0;
  std::uint64_t sequence = 0;  // of the sender's process, one more each datagram
  cluster::MessageBody body;
  std::vector<cluster::GossipUpdate> gossip;
  bool operator==(const Envelope&) const = default;
};

class Codec {
 public:
  // `fleet`: a fingerprint of the list of peers, since members are known by their places in it. `self`: our
  // own place, out of that many members.
  Codec(std::uint32_t fleet, cluster::MemberId self, std::size_t members,
        const std::vector<std::string>& keys);

  // At most kMostBytes, or why not. `to` nobody: for every member. Who it is for is under the proof, so that
  // a datagram for one can't be shown to another.
  std::variant<std::string, DropReason> encode(const Envelope& envelope,
                                               std::optional<cluster::MemberId> to) const;
  // Looks into nothing that is not proved, where a key is set; throws nothing, whatever comes.
  std::variant<Envelope, DropReason> decode(std::string_view bytes) const;
  // How many rumours fit beside this envelope's body, whatever they are; those that it has don't count.
  std::size_t gossip_capacity(Envelope envelope) const;

 private:
  std::string authenticated_prefix(std::optional<cluster::MemberId> to) const;
  std::optional<DropReason> validate(const Envelope& envelope) const;

  std::uint32_t cluster_fingerprint_;
  cluster::MemberId self_;
  std::size_t members_;
  MessageAuthenticator authenticator_;
};

}  // namespace rookproxy::cluster::transport
