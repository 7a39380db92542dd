// A bounded cache of tokens that were verified, and of some whose signature is known to be invalid.
//
// A verified token leaves when it expires, when its key leaves the set or changes, when it is revoked, or
// when it is the least recently used one and there is no space. Tokens are compared whole; the hash only says
// where to look.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "policy/token_validation.h"

namespace rookproxy::policy {

// Not thread-safe; the clock is the caller's.
class TokenCache {
 public:
  // Bounds of the cache.
  struct Limits {
    std::size_t max_entries = 10'000;
    std::size_t max_bytes = 16U << 20U;  // of verified tokens, each with its claims
    std::size_t invalid_entries = 1024;  // hashes of tokens with invalid signatures
    Duration invalid_lifetime = std::chrono::seconds(5);
  };
  // `seed` is that of the hash and must not be known to those who send tokens.
  TokenCache(Limits limits, std::uint64_t seed);

  // The credential of a verified token, or null if the token is not cached or has expired.
  [[nodiscard]] std::shared_ptr<const VerifiedCredential> find(std::string_view token, Time now);
  // Adds or replaces a verified token; a token larger than the whole cache is not kept.
  void put(std::string_view token, std::shared_ptr<const VerifiedCredential> credential);

  // Whether the token's signature was found invalid within `invalid_lifetime`.
  [[nodiscard]] bool is_known_invalid(std::string_view token, Time now) const;
  void put_invalid(std::string_view token, Time now);

  // To be called when other keys, rules or revocations are in force: validates every entry against them.
  // Returns how many were removed.
  std::size_t revalidate(const std::vector<KeyMetadata>& keys, const TokenRules& rules,
                         const RevocationList& revocations, Time now);
  [[nodiscard]] std::size_t size() const { return index_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::uint64_t hash;
    std::string token;
    std::shared_ptr<const VerifiedCredential> credential;
    std::size_t bytes;
  };
  using EntryList = std::list<Entry>;

  struct InvalidEntry {
    std::uint64_t hash = 0;
    Time until{};
  };

  void erase(EntryList::iterator entry);
  [[nodiscard]] std::uint64_t hash(std::string_view token) const;

  Limits limits_;
  std::uint64_t seed_;
  EntryList entries_;                                                  // the least recently used last
  std::unordered_multimap<std::uint64_t, EntryList::iterator> index_;  // by hash
  std::size_t bytes_ = 0;
  std::vector<InvalidEntry> invalid_entries_;  // a token's slot follows from its hash; the latest one stays
};

}  // namespace rookproxy::policy
