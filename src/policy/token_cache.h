// A bounded cache of verified tokens, and of hashes of tokens with invalid signatures.
//
// A verified token is removed when it expires, when its key is removed from the key set or changes, or when
// it is revoked; the least recently used token is evicted when the cache is full. A hash locates the entry,
// and the whole token is compared.
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

// Not thread-safe. The caller provides the time.
class TokenCache {
 public:
  // Bounds of the cache.
  struct Limits {
    std::size_t max_entries = 10'000;
    // The size of all verified tokens with their claims.
    std::size_t max_bytes = 16U << 20U;
    // The number of hashes of tokens with invalid signatures.
    std::size_t invalid_entries = 1024;
    Duration invalid_lifetime = std::chrono::seconds(5);
  };
  // `seed` is the seed of the hash function and must be unknown to clients.
  TokenCache(Limits limits, std::uint64_t seed);

  // The credential of a verified token, or null if the token is not cached or has expired.
  [[nodiscard]] std::shared_ptr<const VerifiedCredential> find(std::string_view token, Time now);
  // Adds or replaces a verified token. A token larger than the whole cache is not stored.
  void put(std::string_view token, std::shared_ptr<const VerifiedCredential> credential);

  // Whether the token's signature was found invalid within the last `invalid_lifetime`. False negatives are
  // possible, since another token may have taken the entry.
  [[nodiscard]] bool is_known_invalid(std::string_view token, Time now) const;
  void put_invalid(std::string_view token, Time now);

  // To be called when keys, rules or revocations have changed: validates every entry against them, removes
  // the invalid ones and returns their number.
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
  // Ordered from the most to the least recently used entry.
  EntryList entries_;
  // Entries by hash.
  std::unordered_multimap<std::uint64_t, EntryList::iterator> index_;
  std::size_t bytes_ = 0;
  // Indexed by the token's hash modulo the size. A new entry replaces the previous one at its index.
  std::vector<InvalidEntry> invalid_entries_;
};

}  // namespace rookproxy::policy
