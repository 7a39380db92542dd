#include "cluster/transport/proof.h"

#include <fcntl.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/sockets.h"

namespace rookproxy::cluster::transport {
namespace {

const unsigned char* bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string read_peer_key(const std::string& path) {
  const auto fault = [&path](const std::string& why, const std::string& advice) {
    return KeyError("the peers' key (" + path + "): " + why + "; " + advice);
  };
  const std::string anew =
      "`(umask 077 && openssl rand -hex 32 > " + path + ")` makes one, the same for all dispatchers";
  const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (!file) throw fault(std::string("can't be read: ") + std::strerror(errno), anew);
  struct stat facts {};
  if (::fstat(file.get(), &facts) != 0 || !S_ISREG(facts.st_mode)) throw fault("not a file", anew);
  if ((facts.st_mode & S_IRWXO) != 0) {
    throw fault(
        "others than its owner and group may use it",
        "`chmod o= " + path + "` ends that, and if anybody else is on this machine, a new key is due");
  }
  std::string key(kMaxKeyBytes + 3, '\0');
  const ssize_t got = ::read(file.get(), key.data(), key.size());
  if (got < 0) throw fault(std::string("can't be read: ") + std::strerror(errno), anew);
  key.resize(static_cast<std::size_t>(got));
  if (key.ends_with('\n')) key.pop_back();
  if (key.ends_with('\r')) key.pop_back();
  if (key.size() < kMinKeyBytes) {
    throw fault(
        std::to_string(key.size()) + " bytes, at least " + std::to_string(kMinKeyBytes) + " are needed",
        anew);
  }
  if (key.size() > kMaxKeyBytes) throw fault("over " + std::to_string(kMaxKeyBytes) + " bytes", anew);
  return key;
}

void MessageAuthenticator::Deleter::operator()(evp_mac_ctx_st* context) const { EVP_MAC_CTX_free(context); }

MessageAuthenticator::MessageAuthenticator(const std::vector<std::string>& keys) {
  if (keys.empty()) return;
  const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> mac(
      EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr), EVP_MAC_free);
  char digest[] = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
      OSSL_PARAM_construct_end(),
  };
  for (const std::string& key : keys) {
    if (key.size() < kMinKeyBytes)
      throw KeyError("a peers' key under " + std::to_string(kMinKeyBytes) + " bytes");
    std::unique_ptr<evp_mac_ctx_st, Deleter> context(mac ? EVP_MAC_CTX_new(mac.get()) : nullptr);
    if (!context || EVP_MAC_init(context.get(), bytes(key), key.size(), parameters) != 1)
      throw KeyError("libcrypto offers no HMAC with SHA-256, which the peers' key needs");
    contexts_.push_back(std::move(context));
  }
}

std::string MessageAuthenticator::digest(std::size_t key, std::string_view head,
                                         std::string_view text) const {
  unsigned char out[EVP_MAX_MD_SIZE];
  std::size_t size = 0;
  EVP_MAC_CTX* context = contexts_[key].get();
  // Without a key it begins anew with the one it has.
  if (EVP_MAC_init(context, nullptr, 0, nullptr) != 1 ||
      EVP_MAC_update(context, bytes(head), head.size()) != 1 ||
      EVP_MAC_update(context, bytes(text), text.size()) != 1 ||
      EVP_MAC_final(context, out, &size, sizeof out) != 1 || size < kMacBytes) {
    return "";  // proves nothing, and is equal to no proof
  }
  return std::string(reinterpret_cast<const char*>(out), kMacBytes);
}

bool MessageAuthenticator::verify(std::string_view head, std::string_view text,
                                  std::string_view proof) const {
  bool accepted = false;
  for (std::size_t i = 0; i < contexts_.size(); ++i) {
    const std::string right = digest(i, head, text);
    accepted |= right.size() == kMacBytes && proof.size() == kMacBytes &&
                CRYPTO_memcmp(right.data(), proof.data(), kMacBytes) == 0;
  }
  return accepted;
}

}  // namespace rookproxy::cluster::transport
