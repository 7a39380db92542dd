// Proof that a datagram is of this fleet: HMAC-SHA256 (RFC 2104) with a key that the operators share out.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.h"

struct evp_mac_ctx_st;

namespace rookproxy::cluster::transport {

struct KeyError : SettingsError {
  using SettingsError::SettingsError;
};

constexpr std::size_t kMinKeyBytes = 32, kMaxKeyBytes = 1024;  // bytes
// Half of the digest, the least that RFC 2104, section 5, advises.
constexpr std::size_t kMacBytes = 16;

// The key in a file: its bytes, without one line end behind them. Throws KeyError, which names the file and
// what to do: if it can't be read, holds under 32 bytes or over 1,024, or others than its owner and group may
// read it.
std::string read_peer_key(const std::string& path);

// The first key proves what is sent; what any of them proves is taken. While keys are changed there are two.
// None: nothing is proved or checked.
class MessageAuthenticator {
 public:
  // Throws KeyError on a key under 32 bytes.
  explicit MessageAuthenticator(const std::vector<std::string>& keys);
  bool is_enabled() const { return !contexts_.empty(); }
  // kProofBytes of them.
  std::string sign(std::string_view head, std::string_view text) const { return digest(0, head, text); }
  bool verify(std::string_view head, std::string_view text, std::string_view proof) const;

 private:
  struct Deleter {
    void operator()(evp_mac_ctx_st* context) const;
  };
  std::string digest(std::size_t key, std::string_view head, std::string_view text) const;
  std::vector<std::unique_ptr<evp_mac_ctx_st, Deleter>> contexts_;  // keyed, and begun anew for each text
};

}  // namespace rookproxy::cluster::transport
