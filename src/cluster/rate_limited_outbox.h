// Collects the messages that one event produces, at most so many a second.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "cluster/messages.h"

namespace rookproxy::cluster {

// A token bucket that holds one second's messages and is full at the start.
class RateLimitedOutbox {
 public:
  RateLimitedOutbox(int messages_per_second, Time now)
      : rate_(messages_per_second), tokens_(messages_per_second), updated_at_(now) {}

  // Call it at each event, before send().
  void refill(Time now) {
    const std::chrono::duration<double> passed = std::max(Duration(0), now - updated_at_);
    tokens_ = std::min(rate_, tokens_ + passed.count() * rate_);
    updated_at_ = now;
  }

  // Drops and counts the message if the rate is used up.
  void send(MemberId to, MessageBody body) {
    if (tokens_ < 1) {
      ++dropped_;
      return;
    }
    tokens_ -= 1;
    messages_.push_back({to, std::move(body)});
  }

  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
  // Hands the messages over; the outbox is empty afterwards.
  [[nodiscard]] std::vector<OutgoingMessage> take() { return std::exchange(messages_, {}); }

 private:
  double rate_;
  double tokens_;
  Time updated_at_;
  std::uint64_t dropped_ = 0;
  std::vector<OutgoingMessage> messages_;
};

}  // namespace rookproxy::cluster
