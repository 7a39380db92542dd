#include "policy/token_cache.h"

#define XXH_INLINE_ALL  // Avoids linking the shared library.
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rookproxy::policy {
namespace {

// The estimated size of an entry without its token and roles: its nodes in list and index, and its claims.
constexpr std::size_t kEntryOverheadBytes = 512;

// Counts the token and the role names twice: in the entry and in its claims.
std::size_t entry_bytes(std::string_view token, const VerifiedCredential& credential) {
  std::size_t bytes = kEntryOverheadBytes + 2 * token.size();
  for (const auto& role : credential.identity.roles) bytes += 2 * (sizeof(std::string) + role.size());
  return bytes;
}

}  // namespace

TokenCache::TokenCache(Limits limits, std::uint64_t seed)
    : limits_(limits), seed_(seed), invalid_entries_(std::max<std::size_t>(1, limits.invalid_entries)) {}

std::uint64_t TokenCache::hash(std::string_view token) const {
  return XXH3_64bits_withSeed(token.data(), token.size(), seed_);
}

void TokenCache::erase(EntryList::iterator entry) {
  const auto [first, last] = index_.equal_range(entry->hash);
  for (auto candidate = first; candidate != last; ++candidate) {
    if (candidate->second != entry) continue;
    index_.erase(candidate);
    break;
  }
  bytes_ -= entry->bytes;
  entries_.erase(entry);
}

std::shared_ptr<const VerifiedCredential> TokenCache::find(std::string_view token, Time now) {
  const auto [first, last] = index_.equal_range(hash(token));
  for (auto candidate = first; candidate != last; ++candidate) {
    const auto entry = candidate->second;
    if (entry->token != token) continue;
    const auto& not_after = entry->credential->identity.not_after;
    if (not_after && now >= *not_after) {
      erase(entry);
      return nullptr;
    }
    entries_.splice(entries_.begin(), entries_, entry);
    return entry->credential;
  }
  return nullptr;
}

void TokenCache::put(std::string_view token, std::shared_ptr<const VerifiedCredential> credential) {
  const std::size_t bytes = entry_bytes(token, *credential);
  if (bytes > limits_.max_bytes || limits_.max_entries == 0) return;
  const std::uint64_t token_hash = hash(token);
  const auto [first, last] = index_.equal_range(token_hash);
  const auto known =
      std::find_if(first, last, [&](const auto& candidate) { return candidate.second->token == token; });
  if (known != last) erase(known->second);
  while (index_.size() >= limits_.max_entries || bytes_ + bytes > limits_.max_bytes) {
    erase(std::prev(entries_.end()));
  }
  entries_.push_front({token_hash, std::string(token), std::move(credential), bytes});
  index_.emplace(token_hash, entries_.begin());
  bytes_ += bytes;
}

bool TokenCache::is_known_invalid(std::string_view token, Time now) const {
  const std::uint64_t token_hash = hash(token);
  const InvalidEntry& entry = invalid_entries_[token_hash % invalid_entries_.size()];
  return entry.hash == token_hash && now < entry.until;
}

void TokenCache::put_invalid(std::string_view token, Time now) {
  const std::uint64_t token_hash = hash(token);
  invalid_entries_[token_hash % invalid_entries_.size()] = {token_hash, now + limits_.invalid_lifetime};
}

std::size_t TokenCache::revalidate(const std::vector<KeyMetadata>& keys, const TokenRules& rules,
                                   const RevocationList& revocations, Time now) {
  // A signature that was invalid may be valid under the new keys.
  std::fill(invalid_entries_.begin(), invalid_entries_.end(), InvalidEntry());
  std::size_t removed = 0;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    const KeySelection key = revalidate_credential(*entry->credential, keys, rules, revocations, now);
    if (key.denial != Denial::kNone) {
      erase(entry);
      ++removed;
    } else {
      // The validity period of the key may have changed.
      auto renewed = std::make_shared<VerifiedCredential>(*entry->credential);
      renewed->identity = identity_from_claims(renewed->claims, rules, keys[key.key_index]);
      entry->credential = std::move(renewed);
    }
    entry = next;
  }
  return removed;
}

}  // namespace rookproxy::policy
