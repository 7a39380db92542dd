// Which well-formed messages make sense in a cluster of a given size.
#pragma once

#include <cstddef>
#include <optional>

#include "cluster/messages.h"
#include "cluster/transport/drop_reason.h"

namespace rookproxy::cluster::transport {

// Why a message cannot be meant: it refers to members that are not configured, or to a plan that cannot be.
class MessageValidator {
 public:
  explicit MessageValidator(std::size_t member_count) : member_count_(member_count) {}

  [[nodiscard]] std::optional<DropReason> validate(const MessageBody& body) const {
    return std::visit(*this, body);
  }
  [[nodiscard]] std::optional<DropReason> validate(const GossipUpdate& update) const;
  // Of a member that a message refers to.
  [[nodiscard]] std::optional<DropReason> validate(MemberId member) const;

  // One for every message, so that a new one does not compile until it is listed here.
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
