#include "policy/memory_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rookproxy::policy {
namespace {

constexpr std::size_t kPartialCommandsDivisor = 8;
constexpr std::size_t kStatementsDivisor = 4;
constexpr std::size_t kPreparedStatementsDivisor = 8;
constexpr std::size_t kEngineStatementsDivisor = 32;
constexpr std::size_t kEngineResultsDivisor = 4;
constexpr std::size_t kUnreadResponsesDivisor = 8;
// The rest is for the process itself, for buffers of connections and for what the allocator keeps.
constexpr std::size_t kTotalEighths = 5;

// What large holdings may use of a limit.
constexpr std::size_t limit_of_large_holdings(std::size_t limit) { return limit - limit / 4; }

}  // namespace

MemoryLedger::MemoryLedger() {
  for (Account& account : accounts_) account.limit = std::numeric_limits<std::size_t>::max();
  total_.limit = std::numeric_limits<std::size_t>::max();
}

void MemoryLedger::apply_limits(std::size_t memory_bytes, std::size_t process_count) {
  const std::size_t share = memory_bytes / process_count;
  set_limit(MemoryUse::kPartialCommands, share / kPartialCommandsDivisor);
  set_limit(MemoryUse::kStatements, share / kStatementsDivisor);
  set_limit(MemoryUse::kPreparedStatements, share / kPreparedStatementsDivisor);
  set_limit(MemoryUse::kEngineStatements, share / kEngineStatementsDivisor);
  set_limit(MemoryUse::kEngineResults, share / kEngineResultsDivisor);
  set_limit(MemoryUse::kUnreadResponses, share / kUnreadResponsesDivisor);
  set_total_limit(share / 8 * kTotalEighths);
}

bool MemoryLedger::has_room(const Account& account, std::size_t bytes, bool is_small) {
  const std::size_t limit = is_small ? account.limit : limit_of_large_holdings(account.limit);
  return account.held <= limit && bytes <= limit - account.held;
}

bool MemoryLedger::try_hold(MemoryUse use, std::size_t holding, std::size_t bytes) {
  const bool is_small = bytes <= kSmallHolding && holding <= kSmallHolding - bytes;
  if (!has_room(account(use), bytes, is_small) || !has_room(total_, bytes, is_small)) return false;
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
