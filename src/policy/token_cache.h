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

#include "policy/token.h"

namespace rookproxy::policy {

class TokenCache {
 public:
  struct Limits {
    std::size_t max_entries = 10'000, max_bytes = 16u << 20;  // of tokens held, each with what it says
    std::size_t invalid_entries = 1024;                       // hashes alone
    Duration invalid_lifetime = std::chrono::seconds(5);
  };
  // The seed must not be known to who sends tokens.
  TokenCache(Limits limits, std::uint64_t seed);

  // Nothing if it is not known or has ended.
  std::shared_ptr<const VerifiedCredential> find(std::string_view token, Time now);
  void put(std::string_view token, std::shared_ptr<const VerifiedCredential> proven);

  // Its signature was found bad lately: it need not be checked again. Signatures alone, which never mend.
  bool is_known_invalid(std::string_view token, Time now) const;
  void put_invalid(std::string_view token, Time now);

  // Other keys, rules or revocations are in force: what they no longer carry is forgotten. Returns how many.
  std::size_t revalidate(const std::vector<KeyMetadata>& keys, const TokenRules& rules,
                         const RevocationList& revoked, Time now);
  std::size_t size() const { return index_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::uint64_t hash;
    std::string token;
    std::shared_ptr<const VerifiedCredential> proven;
    std::size_t bytes;
  };
  using EntryList = std::list<Entry>;
  void erase(EntryList::iterator at);
  std::uint64_t hash(std::string_view token) const;

  Limits limits_;
  std::uint64_t seed_;
  EntryList entries_;  // the longest unused at the end
  std::unordered_multimap<std::uint64_t, EntryList::iterator> index_;
  std::size_t bytes_ = 0;
  struct InvalidEntry {
    std::uint64_t hash = 0;
    Time until{};
  };
  std::vector<InvalidEntry>
      invalid_entries_;  // a hash's place is given by it: a newer one takes an older one's
};

}  // namespace rookproxy::policy
