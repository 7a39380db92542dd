#include "cluster/transport/message_authenticator.h"

#include <fcntl.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::cluster::transport {
namespace {

const unsigned char* to_bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string errno_text() { return std::strerror(errno); }

// Removes one newline, LF or CR LF, from the end.
std::string without_trailing_newline(std::string text) {
  if (text.ends_with('\n')) text.pop_back();
  if (text.ends_with('\r')) text.pop_back();
  return text;
}

}  // namespace

std::string read_peer_key(const std::string& path) {
  const auto error = [&path](const std::string& problem, const std::string& remedy) {
    return KeyError("peer key file (" + path + "): " + problem + "; " + remedy);
  };
  const std::string new_key =
      "create one for all dispatchers with `(umask 077 && openssl rand -hex 32 > " + path + ")`";
  const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (!file) throw error("can't be read: " + errno_text(), new_key);
  struct stat status {};
  if (::fstat(file.get(), &status) != 0 || !S_ISREG(status.st_mode))
    throw error("not a regular file", new_key);
  if ((status.st_mode & S_IRWXO) != 0) {
    throw error(
        "accessible to users other than its owner and group",
        "run `chmod o= " + path + "`, and replace the key if other users have had access to this machine");
  }
  constexpr std::size_t kLineEndBytes = 2;
  std::string text(kMaxKeyBytes + kLineEndBytes + 1, '\0');  // One more byte, to detect a longer file.
  const ssize_t count = ::read(file.get(), text.data(), text.size());
  if (count < 0) throw error("can't be read: " + errno_text(), new_key);
  text.resize(static_cast<std::size_t>(count));
  std::string key = without_trailing_newline(std::move(text));
  if (key.size() < kMinKeyBytes) {
    throw error(
        std::to_string(key.size()) + " bytes, at least " + std::to_string(kMinKeyBytes) + " are required",
        new_key);
  }
  if (key.size() > kMaxKeyBytes) throw error("over " + std::to_string(kMaxKeyBytes) + " bytes", new_key);
  return key;
}

void MessageAuthenticator::ContextDeleter::operator()(evp_mac_ctx_st* context) const {
  EVP_MAC_CTX_free(context);
}

MessageAuthenticator::MessageAuthenticator(const std::vector<std::string>& keys) {
  if (keys.empty()) return;
  const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> hmac(
      EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr), EVP_MAC_free);
  char digest_name[] = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest_name, 0),
      OSSL_PARAM_construct_end(),
  };
  for (const std::string& key : keys) {
    if (key.size() < kMinKeyBytes) {
      throw KeyError("a peer key has fewer than " + std::to_string(kMinKeyBytes) + " bytes");
    }
    Context context(hmac ? EVP_MAC_CTX_new(hmac.get()) : nullptr);
    if (!context || EVP_MAC_init(context.get(), to_bytes(key), key.size(), parameters) != 1) {
      throw KeyError("libcrypto does not provide HMAC with SHA-256, which a peer key requires");
    }
    contexts_.push_back(std::move(context));
  }
}

std::string MessageAuthenticator::digest(std::size_t key, std::string_view prefix,
                                         std::string_view text) const {
  unsigned char out[EVP_MAX_MD_SIZE];
  std::size_t size = 0;
  EVP_MAC_CTX* context = contexts_[key].get();
  // EVP_MAC_init without a key restarts the context with its existing key.
  const bool is_computed = EVP_MAC_init(context, nullptr, 0, nullptr) == 1 &&
                           EVP_MAC_update(context, to_bytes(prefix), prefix.size()) == 1 &&
                           EVP_MAC_update(context, to_bytes(text), text.size()) == 1 &&
                           EVP_MAC_final(context, out, &size, sizeof out) == 1;
  if (!is_computed || size < kMacBytes) return "";  // Equals no authentication code.
  return {reinterpret_cast<const char*>(out), kMacBytes};
}

bool MessageAuthenticator::verify(std::string_view prefix, std::string_view text,
                                  std::string_view mac) const {
  bool is_valid = false;
  for (std::size_t key = 0; key < contexts_.size(); ++key) {
    const std::string expected = digest(key, prefix, text);
    is_valid |= expected.size() == kMacBytes && mac.size() == kMacBytes &&
                CRYPTO_memcmp(expected.data(), mac.data(), kMacBytes) == 0;
  }
  return is_valid;
}

}  // namespace rookproxy::cluster::transport
