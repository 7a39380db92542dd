#include "policy/memory_ledger.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace rookproxy::policy {
namespace {

// The part of the memory that a use may take, and whether a quarter of that is for small holdings alone.
struct Share {
  MemoryUse use;
  std::size_t divisor;
  bool has_reserve;
};

constexpr std::array<Share, 8> kShares{{{MemoryUse::kPartialCommands, 8, false},
                                        {MemoryUse::kTokenChecks, 8, false},
                                        {MemoryUse::kTurnWaits, 16, false},
                                        {MemoryUse::kStatements, 4, true},
                                        {MemoryUse::kPreparedStatements, 8, true},
                                        {MemoryUse::kEngineStatements, 32, true},
                                        {MemoryUse::kEngineResults, 4, true},
                                        {MemoryUse::kUnreadResponses, 8, false}}};
// The rest is for the process itself, for buffers of connections and for what the allocator keeps.
constexpr std::size_t kTotalEighths = 5;

constexpr bool has_reserve(MemoryUse use) {
  return std::any_of(kShares.begin(), kShares.end(),
                     [use](const Share& share) { return share.use == use && share.has_reserve; });
}

constexpr std::size_t without_reserve(std::size_t limit) { return limit - limit / 4; }

}  // namespace

MemoryLedger::MemoryLedger() {
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  for (Account& account : accounts_) account = {0, kUnlimited, kUnlimited};
  total_ = {0, kUnlimited, kUnlimited};
}

void MemoryLedger::apply_limits(std::size_t memory_bytes, std::size_t process_count) {
  const std::size_t memory = memory_bytes / process_count;
  for (const Share& share : kShares) set_limit(share.use, memory / share.divisor);
  set_total_limit(memory / 8 * kTotalEighths);
}

void MemoryLedger::set_limit(MemoryUse use, std::size_t bytes) {
  account(use).limit = bytes;
  account(use).limit_of_large_holdings = has_reserve(use) ? without_reserve(bytes) : bytes;
}

void MemoryLedger::set_total_limit(std::size_t bytes) {
  total_.limit = bytes;
  total_.limit_of_large_holdings = without_reserve(bytes);
}

bool MemoryLedger::Account::has_room_for(std::size_t bytes, bool is_small) const {
  const std::size_t allowed = is_small ? limit : limit_of_large_holdings;
  return held <= allowed && bytes <= allowed - held;
}

bool MemoryLedger::try_hold(MemoryUse use, std::size_t holding, std::size_t bytes) {
  const bool is_small = bytes <= kSmallHolding && holding <= kSmallHolding - bytes;
  if (!account(use).has_room_for(bytes, is_small) || !total_.has_room_for(bytes, is_small)) return false;
  hold(use, bytes);
  return true;
}

void MemoryLedger::hold(MemoryUse use, std::size_t bytes) {
  account(use).held += bytes;
  total_.held += bytes;
}

void MemoryLedger::release(MemoryUse use, std::size_t bytes) {
  account(use).held -= bytes;
  total_.held -= bytes;
}

MemoryHolding::MemoryHolding(std::shared_ptr<MemoryLedger> ledger, MemoryUse use)
    : ledger_(std::move(ledger)), use_(use) {}

MemoryHolding::MemoryHolding(MemoryHolding&& other) noexcept
    : ledger_(std::move(other.ledger_)), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryHolding& MemoryHolding::operator=(MemoryHolding&& other) noexcept {
  if (this == &other) return *this;
  release();
  ledger_ = std::move(other.ledger_);
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryHolding::try_add(std::size_t bytes) {
  if (ledger_ && !ledger_->try_hold(use_, bytes_, bytes)) return false;
  bytes_ += bytes;
  return true;
}

void MemoryHolding::set(std::size_t bytes) {
  if (bytes < bytes_) return remove(bytes_ - bytes);
  if (ledger_) ledger_->hold(use_, bytes - bytes_);
  bytes_ = bytes;
}

void MemoryHolding::remove(std::size_t bytes) {
  const std::size_t removed = std::min(bytes, bytes_);
  bytes_ -= removed;
  if (ledger_) ledger_->release(use_, removed);
}

}  // namespace rookproxy::policy
