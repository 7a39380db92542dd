/// Load from many clients while the keys that sign their tokens are rotated.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace rookproxy::test {

/// Clients that ask over the frame protocol, one request after another on a connection each, with tokens by
/// the old key at first; beside them one whose key nobody trusts. Its functions are for one thread.
class KeyRotationLoad {
 public:
  struct Tokens {
    std::string old_key;
    std::string new_key;
    std::string untrusted_key;
  };

  /// Connects so many clients to the port and starts.
  KeyRotationLoad(std::uint16_t port, int client_count, Tokens tokens);
  ~KeyRotationLoad();
  KeyRotationLoad(const KeyRotationLoad&) = delete;
  KeyRotationLoad& operator=(const KeyRotationLoad&) = delete;

  /// Waits until each client was served twenty times more, on average, or for kWaitLimit.
  void wait_for_progress() const;

  /// From now on requests carry the token by the new key.
  void use_new_key() { uses_new_key_ = true; }

  /// Stops all clients and waits for them.
  void stop();

  [[nodiscard]] int served() const { return served_; }
  [[nodiscard]] int denied() const { return denied_; }
  [[nodiscard]] int untrusted_denied() const { return untrusted_denied_; }
  /// Connections that ended before the load was stopped.
  [[nodiscard]] int failed() const { return failed_; }

  /// The text that only statements of the untrusted client hold.
  static constexpr const char* kUntrustedStatement = "stolen";

 private:
  void run_requests(std::uint64_t client, bool is_untrusted);

  std::uint16_t port_;
  int client_count_;
  Tokens tokens_;
  std::atomic<bool> uses_new_key_{false};
  std::atomic<bool> stop_requested_{false};
  std::atomic<int> served_{0};
  std::atomic<int> denied_{0};
  std::atomic<int> untrusted_denied_{0};
  std::atomic<int> failed_{0};
  std::vector<std::thread> threads_;
};

}  // namespace rookproxy::test
