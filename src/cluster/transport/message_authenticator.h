// Authenticates datagrams between dispatchers with HMAC-SHA256 (RFC 2104) and a key that operators
// distribute.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.h"

struct evp_mac_ctx_st;

namespace rookproxy::cluster::transport {

// Thrown on a key that can't be used.
struct KeyError : SettingsError {
  using SettingsError::SettingsError;
};

// The minimum and maximum length of a key.
inline constexpr std::size_t kMinKeyBytes = 32;
inline constexpr std::size_t kMaxKeyBytes = 1024;
// The length of an authentication code: half of the digest, the minimum that RFC 2104, section 5, recommends.
inline constexpr std::size_t kMacBytes = 16;

// Reads a key from a file: its bytes, without one trailing newline. Throws KeyError, whose message names the
// file and a remedy, if the file can't be read, is accessible to users other than its owner and group, or if
// the key is shorter than kMinKeyBytes or longer than kMaxKeyBytes.
std::string read_peer_key(const std::string& path);

// Signs with the first key and verifies with any of them, so that there can be two keys during a key
// rotation. Without keys, authentication is disabled.
class MessageAuthenticator {
 public:
  // Throws KeyError on a key shorter than kMinKeyBytes, or if libcrypto lacks HMAC with SHA-256.
  explicit MessageAuthenticator(const std::vector<std::string>& keys);

  [[nodiscard]] bool is_enabled() const { return !contexts_.empty(); }
  // Returns the authentication code of `prefix` followed by `text`, kMacBytes long. Requires a key.
  [[nodiscard]] std::string sign(std::string_view prefix, std::string_view text) const {
    return digest(0, prefix, text);
  }
  // Whether `mac` is the authentication code under any of the keys. Takes constant time.
  [[nodiscard]] bool verify(std::string_view prefix, std::string_view text, std::string_view mac) const;

 private:
  // Frees what libcrypto has allocated.
  struct ContextDeleter {
    void operator()(evp_mac_ctx_st* context) const;
  };
  using Context = std::unique_ptr<evp_mac_ctx_st, ContextDeleter>;

  [[nodiscard]] std::string digest(std::size_t key, std::string_view prefix, std::string_view text) const;

  std::vector<Context> contexts_;  // One per key, restarted for each text.
};

}  // namespace rookproxy::cluster::transport
