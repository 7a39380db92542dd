// Accounts for the bytes that a process holds for clients and engines, and decides whether more may be taken.
//
//   use                     held                                                         share of the memory
//   partial commands        commands and frames of clients that are still incomplete     an eighth
//   token checks            requests whose callers' tokens are being checked              an eighth
//   turn waits              requests whose statements wait to be read                     a sixteenth
//   statements              statements and parameters until the last engine has them     a quarter
//   prepared statements     texts and long data of clients' prepared statements          an eighth
//   engine statements       texts of the statements prepared in sessions with engines    a thirty-second
//   engine results          results that are being received                              a quarter
//   unread responses        responses that clients have not read                         an eighth
//   all of them together                                                                 five eighths
//
// Where small holdings count as well as large ones, a holder with more than kSmallHolding bytes may use only
// three quarters of the limit, so that a few large holdings leave no other client without.
#pragma once

#include <array>
#include <cstddef>
#include <memory>

namespace rookproxy::policy {

// What bytes are held for. Each use has a limit of its own.
enum class MemoryUse {
  kPartialCommands,
  kTokenChecks,
  kTurnWaits,
  kStatements,
  kPreparedStatements,
  kEngineStatements,
  kEngineResults,
  kUnreadResponses
};

// Without limits until apply_limits() is called.
class MemoryLedger {
 public:
  // The largest holding, in bytes, that may use the whole of a limit.
  static constexpr std::size_t kSmallHolding = 64 * 1024;

  MemoryLedger();

  // Sets the limits for one of `process_count` processes that share the memory. What is held stays.
  void apply_limits(std::size_t memory_bytes, std::size_t process_count);
  void set_limit(MemoryUse use, std::size_t bytes);
  void set_total_limit(std::size_t bytes);

  // Adds `bytes` to a holding of `holding` bytes, or returns false if they must not be taken.
  [[nodiscard]] bool try_hold(MemoryUse use, std::size_t holding, std::size_t bytes);
  // Adds bytes that are held already and can't be refused any more, also beyond the limits.
  void hold(MemoryUse use, std::size_t bytes);
  void release(MemoryUse use, std::size_t bytes);
  [[nodiscard]] std::size_t held(MemoryUse use) const { return account(use).held; }
  [[nodiscard]] std::size_t limit(MemoryUse use) const { return account(use).limit; }
  [[nodiscard]] std::size_t total_held() const { return total_.held; }
  [[nodiscard]] std::size_t total_limit() const { return total_.limit; }
  // Returns whether more is held for the use than its limit.
  [[nodiscard]] bool is_exceeded(MemoryUse use) const { return account(use).held > account(use).limit; }

 private:
  struct Account {
    std::size_t held = 0;
    std::size_t limit = 0;
    // The largest amount up to which a large holding may be added.
    std::size_t limit_of_large_holdings = 0;

    [[nodiscard]] bool has_room_for(std::size_t bytes, bool is_small) const;
  };
  static constexpr std::size_t kUseCount = 8;

  Account& account(MemoryUse use) { return accounts_[static_cast<std::size_t>(use)]; }
  [[nodiscard]] const Account& account(MemoryUse use) const {
    return accounts_[static_cast<std::size_t>(use)];
  }

  std::array<Account, kUseCount> accounts_;
  Account total_;
};

// The bytes of one owner, which are released with it.
class MemoryHolding {
 public:
  MemoryHolding() = default;
  // Without a ledger there are no limits.
  MemoryHolding(std::shared_ptr<MemoryLedger> ledger, MemoryUse use);
  ~MemoryHolding() { release(); }
  MemoryHolding(MemoryHolding&& other) noexcept;
  MemoryHolding& operator=(MemoryHolding&& other) noexcept;
  MemoryHolding(const MemoryHolding&) = delete;
  MemoryHolding& operator=(const MemoryHolding&) = delete;

  // Must be asked before the bytes are taken. Returns false if they must not be.
  [[nodiscard]] bool try_add(std::size_t bytes);
  // Sets the number of bytes that are held already and can't be refused any more, also beyond the limits.
  void set(std::size_t bytes);
  void remove(std::size_t bytes);
  void release() { remove(bytes_); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryLedger> ledger_;
  MemoryUse use_ = MemoryUse::kPreparedStatements;
  std::size_t bytes_ = 0;
};

}  // namespace rookproxy::policy
