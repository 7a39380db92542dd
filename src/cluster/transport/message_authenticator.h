// Authenticates datagrams between dispatchers: HMAC-SHA256 (RFC 2104) with a key that operators distribute.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.h"

struct evp_mac_ctx_st;

namespace rookproxy::cluster::transport {

// A key that can't be used.
struct KeyError : SettingsError {
  using SettingsError::SettingsError;
};

// Limits of a key's length.
inline constexpr std::size_t kMinKeyBytes = 32;
inline constexpr std::size_t kMaxKeyBytes = 1024;
// Length of an authentication code: half of the digest, the least that RFC 2104, section 5, advises.
inline constexpr std::size_t kMacBytes = 16;

// Reads a key from a file: its bytes, without one line end behind them. Throws KeyError, whose text names the
// file and a remedy, if the file can't be read, holds fewer than kMinKeyBytes or more than kMaxKeyBytes, or
// is accessible to others than its owner and group.
std::string read_peer_key(const std::string& path);

// Signs with the first key and verifies with any of them: while keys are being changed there are two.
// Without keys nothing is authenticated.
class MessageAuthenticator {
 public:
  // Throws KeyError on a key under kMinKeyBytes, or if libcrypto lacks HMAC with SHA-256.
  explicit MessageAuthenticator(const std::vector<std::string>& keys);

  [[nodiscard]] bool is_enabled() const { return !contexts_.empty(); }
  // The authentication code of `prefix` and `text` together, kMacBytes long. Needs a key.
  [[nodiscard]] std::string sign(std::string_view prefix, std::string_view text) const {
    return digest(0, prefix, text);
  }
  // Whether the code is that of any of the keys. Takes the same time whichever it is.
  [[nodiscard]] bool verify(std::string_view prefix, std::string_view text, std::string_view mac) const;

 private:
  // Frees what libcrypto has allocated.
  struct ContextDeleter {
    void operator()(evp_mac_ctx_st* context) const;
  };
  using Context = std::unique_ptr<evp_mac_ctx_st, ContextDeleter>;

  [[nodiscard]] std::string digest(std::size_t key, std::string_view prefix, std::string_view text) const;

  std::vector<Context> contexts_;  // one per key, restarted for each text
};

}  // namespace rookproxy::cluster::transport
