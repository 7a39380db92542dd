// Collects the messages that one event produces, limited to a number of messages per second.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "cluster/messages.h"

namespace rookproxy::cluster {

// A token bucket with a capacity of one second's messages, initially full.
class RateLimitedOutbox {
 public:
  RateLimitedOutbox(int messages_per_second, Time now)
      : rate_(messages_per_second), tokens_(messages_per_second), updated_at_(now) {}

  // Adds the tokens of the time since the last call. To be called at each event, before send().
  void refill(Time now) {
    const std::chrono::duration<double> passed = std::max(Duration(0), now - updated_at_);
    tokens_ = std::min(rate_, tokens_ + passed.count() * rate_);
    updated_at_ = now;
  }

  // Adds the message, or drops and counts it if the rate limit is reached.
  void send(MemberId to, MessageBody body) {
    if (tokens_ < 1) {
      ++dropped_;
      return;
    }
    tokens_ -= 1;
    messages_.push_back({to, std::move(body)});
  }

  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
  // Returns the messages and empties the outbox.
  [[nodiscard]] std::vector<OutgoingMessage> take() { return std::exchange(messages_, {}); }

 private:
  double rate_;
  double tokens_;
  Time updated_at_;
  std::uint64_t dropped_ = 0;
  std::vector<OutgoingMessage> messages_;
};

}  // namespace rookproxy::cluster
