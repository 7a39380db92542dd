// Request load from many clients during a rotation of the keys that sign their tokens.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace rookproxy::test {

// Clients of the frame protocol, each with a thread and a connection of its own, that send one request after
// another. Their tokens are signed with the old key at first. One more client uses a token that is signed
// with an untrusted key. The public functions are not thread-safe.
class KeyRotationLoad {
 public:
  struct Tokens {
    std::string old_key;
    std::string new_key;
    std::string untrusted_key;
  };

  // Starts `client_count` clients and the untrusted one, which connect to the port.
  KeyRotationLoad(std::uint16_t port, int client_count, Tokens tokens);
  ~KeyRotationLoad();
  KeyRotationLoad(const KeyRotationLoad&) = delete;
  KeyRotationLoad& operator=(const KeyRotationLoad&) = delete;

  // Waits until the clients were served twenty more times each, on average, but not longer than kWaitLimit.
  void wait_for_progress() const;

  // Makes later requests use the token that is signed with the new key.
  void use_new_key() { uses_new_key_ = true; }

  // Stops all clients and joins their threads.
  void stop();

  [[nodiscard]] int served() const { return served_; }
  [[nodiscard]] int denied() const { return denied_; }
  [[nodiscard]] int untrusted_denied() const { return untrusted_denied_; }
  // The number of connections that ended, or gave no response in time, before stop().
  [[nodiscard]] int failed() const { return failed_; }

  // A text that occurs only in statements of the untrusted client.
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
