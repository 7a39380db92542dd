#include "policy/token_cache.h"

#define XXH_INLINE_ALL  // no library to load for one function
#include <xxhash.h>

#include <algorithm>

namespace rookproxy::policy {
namespace {

std::size_t entry_bytes(std::string_view token, const VerifiedCredential& proven) {
  std::size_t sum = 512 + 2 * token.size();
  for (const auto& role : proven.identity.roles) sum += 2 * (sizeof role + role.size());
  return sum;
}

}  // namespace

TokenCache::TokenCache(Limits limits, std::uint64_t seed)
    : limits_(limits), seed_(seed), invalid_entries_(std::max<std::size_t>(1, limits.invalid_entries)) {}

std::uint64_t TokenCache::hash(std::string_view token) const {
  return XXH3_64bits_withSeed(token.data(), token.size(), seed_);
}

void TokenCache::erase(EntryList::iterator at) {
  const auto [first, last] = index_.equal_range(at->hash);
  for (auto one = first; one != last; ++one) {
    if (one->second != at) continue;
    index_.erase(one);
    break;
  }
  bytes_ -= at->bytes;
  entries_.erase(at);
}

std::shared_ptr<const VerifiedCredential> TokenCache::find(std::string_view token, Time now) {
  const auto [first, last] = index_.equal_range(hash(token));
  for (auto one = first; one != last; ++one) {
    const auto at = one->second;
    if (at->token != token) continue;
    const auto& end = at->proven->identity.not_after;
    if (end && now >= *end) {
      erase(at);
      return nullptr;
    }
    entries_.splice(entries_.begin(), entries_, at);
    return at->proven;
  }
  return nullptr;
}

void TokenCache::put(std::string_view token, std::shared_ptr<const VerifiedCredential> proven) {
  const std::size_t bytes = entry_bytes(token, *proven);
  if (bytes > limits_.max_bytes || limits_.max_entries == 0) return;
  const std::uint64_t where = hash(token);
  const auto [first, last] = index_.equal_range(where);
  const auto known = std::find_if(first, last, [&](const auto& one) { return one.second->token == token; });
  if (known != last) erase(known->second);
  while (index_.size() >= limits_.max_entries || bytes_ + bytes > limits_.max_bytes)
    erase(std::prev(entries_.end()));
  entries_.push_front({where, std::string(token), std::move(proven), bytes});
  index_.emplace(where, entries_.begin());
  bytes_ += bytes;
}

bool TokenCache::is_known_invalid(std::string_view token, Time now) const {
  const std::uint64_t where = hash(token);
  const InvalidEntry& bad = invalid_entries_[where % invalid_entries_.size()];
  return bad.hash == where && now < bad.until;
}

void TokenCache::put_invalid(std::string_view token, Time now) {
  const std::uint64_t where = hash(token);
  invalid_entries_[where % invalid_entries_.size()] = {where, now + limits_.invalid_lifetime};
}

std::size_t TokenCache::revalidate(const std::vector<KeyMetadata>& keys, const TokenRules& rules,
                                   const RevocationList& revoked, Time now) {
  // Under other keys a signature that was bad may be good.
  std::fill(invalid_entries_.begin(), invalid_entries_.end(), InvalidEntry());
  std::size_t forgotten = 0;
  for (auto at = entries_.begin(); at != entries_.end();) {
    const auto next = std::next(at);
    std::size_t key = 0;
    if (revalidate_credential(*at->proven, keys, rules, revoked, now, &key) != Denial::kNone) {
      erase(at);
      ++forgotten;
    } else {
      // The key's own end may have moved.
      auto fresh = std::make_shared<VerifiedCredential>(*at->proven);
      fresh->identity = identity_from_claims(fresh->claims, rules, keys[key]);
      at->proven = std::move(fresh);
    }
    at = next;
  }
  return forgotten;
}

}  // namespace rookproxy::policy
