// Collects the messages that the handling of one event produces.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "cluster/messages.h"

namespace rookproxy::cluster {

// The messages of one member in the order in which they are to be sent.
class Outbox {
 public:
  Outbox(MemberId self, std::size_t member_count) : self_(self), member_count_(member_count) {}

  void send(MemberId to, MessageBody body) { messages_.push_back({to, std::move(body)}); }

  // Sends to every member except this one, in the order of their ids.
  void broadcast(const MessageBody& body) {
    messages_.reserve(messages_.size() + member_count_);
    for (std::size_t member = 0; member < member_count_; ++member) {
      if (member != self_) send(static_cast<MemberId>(member), body);
    }
  }

  // Returns the messages and empties the outbox.
  [[nodiscard]] std::vector<OutgoingMessage> take() { return std::exchange(messages_, {}); }

 private:
  MemberId self_;
  std::size_t member_count_;
  std::vector<OutgoingMessage> messages_;
};

}  // namespace rookproxy::cluster
