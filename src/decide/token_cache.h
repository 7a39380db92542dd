// Tokens that were found good, and a few that were found bad, in bounded room.
//
// A good one is forgotten when it ends, when its key leaves the set or changes, when it is revoked, or when
// it is the longest unused and there is no room. The text is compared whole: its hash only says where to
// look.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decide/token.h"

namespace rookproxy::decide {

class TokenCache {
 public:
  struct Limits {
    std::size_t entries = 10'000, bytes = 16u << 20;  // of tokens held, each with what it says
    std::size_t bad_entries = 1024;                   // hashes alone
    Duration bad_life = std::chrono::seconds(5);
  };
  // The seed must not be known to who sends tokens.
  TokenCache(Limits limits, std::uint64_t seed);

  // Nothing if it is not known or has ended.
  std::shared_ptr<const Proven> find(std::string_view token, Time now);
  void put(std::string_view token, std::shared_ptr<const Proven> proven);

  // Its signature was found bad lately: it need not be checked again. Signatures alone, which never mend.
  bool is_bad(std::string_view token, Time now) const;
  void put_bad(std::string_view token, Time now);

  // Other keys, rules or revocations are in force: what they no longer carry is forgotten. Returns how many.
  std::size_t keep_only(const std::vector<KeyFacts>& keys, const TokenRules& rules, const Revoked& revoked,
                        Time now);
  std::size_t size() const { return index_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Held {
    std::uint64_t hash;
    std::string token;
    std::shared_ptr<const Proven> proven;
    std::size_t bytes;
  };
  using Order = std::list<Held>;
  void erase(Order::iterator at);
  std::uint64_t hash(std::string_view token) const;

  Limits limits_;
  std::uint64_t seed_;
  Order order_;  // the longest unused at the end
  std::unordered_multimap<std::uint64_t, Order::iterator> index_;
  std::size_t bytes_ = 0;
  struct Bad {
    std::uint64_t hash = 0;
    Time until{};
  };
  std::vector<Bad> bad_;  // a hash's place is given by it: a newer one takes an older one's
};

}  // namespace rookproxy::decide
