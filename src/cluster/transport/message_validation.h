// Semantic validation of well-formed messages in a cluster of a given size.
#pragma once

#include <cstddef>
#include <optional>

#include "cluster/messages.h"
#include "cluster/transport/drop_reason.h"

namespace rookproxy::cluster::transport {

// Rejects messages that refer to members that are not configured, or that contain an invalid plan. Returns
// the reason, or nothing if the message is valid.
class MessageValidator {
 public:
  explicit MessageValidator(std::size_t member_count) : member_count_(member_count) {}

  [[nodiscard]] std::optional<DropReason> validate(const MessageBody& body) const {
    return std::visit(*this, body);
  }
  [[nodiscard]] std::optional<DropReason> validate(const GossipUpdate& update) const;
  // Checks a member that a message refers to.
  [[nodiscard]] std::optional<DropReason> validate(MemberId member) const;

  // One overload per message type, so that a new type does not compile until it is listed here.
  std::optional<DropReason> operator()(const Ping&) const { return std::nullopt; }
  std::optional<DropReason> operator()(const PingRequest& message) const;
  std::optional<DropReason> operator()(const Ack& message) const;
  std::optional<DropReason> operator()(const Prepare& message) const;
  std::optional<DropReason> operator()(const Promise& message) const;
  std::optional<DropReason> operator()(const Nack& message) const;
  std::optional<DropReason> operator()(const Accept& message) const;
  std::optional<DropReason> operator()(const Accepted& message) const;
  std::optional<DropReason> operator()(const Chosen& message) const;
  std::optional<DropReason> operator()(const RecoveryQuery&) const { return std::nullopt; }
  std::optional<DropReason> operator()(const RecoveryReply&) const { return std::nullopt; }
  std::optional<DropReason> operator()(const Lease&) const { return std::nullopt; }

 private:
  std::size_t member_count_;
};

}  // namespace rookproxy::cluster::transport
