#include "mysql/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/rsa.h>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <memory>
#include <stdexcept>

namespace rookproxy::mysql {
namespace {

constexpr std::uint8_t kProtocolVersion = 10;
constexpr std::size_t kNonceSize = 20;
constexpr std::size_t kFirstNoncePart = 8;       // the greeting contains the nonce in two parts
constexpr std::size_t kMinSecondNoncePart = 13;  // including the terminating zero byte
constexpr std::size_t kReservedGreetingBytes = 10;
constexpr std::size_t kReservedLoginBytes = 23;
constexpr std::uint64_t kMaxPacketSize = 1U << 24U;  // announced in a login

std::string digest(const EVP_MD* algorithm, std::initializer_list<std::string_view> parts) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned int size = 0;
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  bool succeeded = context && EVP_DigestInit_ex(context.get(), algorithm, nullptr) == 1;
  for (const auto part : parts) {
    succeeded = succeeded && EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
  }
  if (!succeeded || EVP_DigestFinal_ex(context.get(), out.data(), &size) != 1) {
    throw std::runtime_error("OpenSSL digest computation failed");
  }
  return {reinterpret_cast<const char*>(out.data()), size};
}

// Combines the bytes with the key, which is repeated to their length.
std::string xor_bytes(std::string bytes, std::string_view key) {
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    bytes[index] = static_cast<char>(bytes[index] ^ key[index % key.size()]);
  }
  return bytes;
}

void append_null_terminated(std::string& out, std::string_view text) {
  out += text;
  out += '\0';
}

}  // namespace

std::string greeting_payload(const Greeting& greeting) {
  std::string out(1, static_cast<char>(kProtocolVersion));
  append_null_terminated(out, greeting.version);
  append_integer(out, greeting.connection_id, 4);
  append_null_terminated(out, std::string_view(greeting.nonce).substr(0, kFirstNoncePart));
  append_integer(out, greeting.capabilities & 0xffffU, 2);
  append_integer(out, kUtf8mb4, 1);
  append_integer(out, kAutocommit, 2);
  append_integer(out, greeting.capabilities >> 16U, 2);
  append_integer(out, greeting.nonce.size() + 1, 1);
  out.append(kReservedGreetingBytes, '\0');
  append_null_terminated(out, std::string_view(greeting.nonce).substr(kFirstNoncePart));
  append_null_terminated(out, greeting.plugin);
  return out;
}

Greeting parse_greeting(std::string_view payload) {
  PayloadReader reader(payload);
  if (reader.integer(1) != kProtocolVersion) {
    throw MalformedPacketError("a greeting of another protocol version");
  }
  Greeting greeting;
  greeting.version = reader.null_terminated_string();
  greeting.connection_id = static_cast<std::uint32_t>(reader.integer(4));
  greeting.nonce = reader.take(kFirstNoncePart);
  reader.integer(1);
  greeting.capabilities = static_cast<std::uint32_t>(reader.integer(2));
  reader.integer(3);  // character set and status
  greeting.capabilities |= static_cast<std::uint32_t>(reader.integer(2)) << 16U;
  const std::size_t nonce_size = reader.integer(1);
  reader.take(kReservedGreetingBytes);
  if (nonce_size > kFirstNoncePart + 1) {
    const auto second_part =
        reader.take(std::max<std::size_t>(kMinSecondNoncePart, nonce_size - kFirstNoncePart));
    greeting.nonce += second_part.substr(0, second_part.size() - 1);
  }
  if ((greeting.capabilities & kPluginAuth) != 0) greeting.plugin = reader.null_terminated_string();
  return greeting;
}

std::string login_payload(const Login& login) {
  std::string out;
  append_integer(out, login.capabilities, 4);
  append_integer(out, kMaxPacketSize, 4);
  append_integer(out, login.charset, 1);
  out.append(kReservedLoginBytes, '\0');
  append_null_terminated(out, login.user);
  append_length_encoded_string(out, login.auth_response);
  if ((login.capabilities & kConnectWithDb) != 0) append_null_terminated(out, login.schema);
  append_null_terminated(out, login.plugin);
  return out;
}

Login parse_login(std::string_view payload) {
  PayloadReader reader(payload);
  Login login;
  login.capabilities = static_cast<std::uint32_t>(reader.integer(4));
  reader.integer(4);  // the client's maximum packet size
  login.charset = static_cast<std::uint8_t>(reader.integer(1));
  reader.take(kReservedLoginBytes);
  if ((login.capabilities & kProtocol41) == 0) {
    throw MalformedPacketError("a client of a protocol before 4.1");
  }
  login.user = reader.null_terminated_string();
  if ((login.capabilities & kPluginAuthLenenc) != 0) {
    login.auth_response = reader.length_encoded_string();
  } else if ((login.capabilities & kSecureConnection) != 0) {
    login.auth_response = reader.take(reader.integer(1));
  } else {
    login.auth_response = reader.null_terminated_string();
  }
  if ((login.capabilities & kConnectWithDb) != 0 && reader.remaining() > 0) {
    login.schema = reader.null_terminated_string();
  }
  if ((login.capabilities & kPluginAuth) != 0 && reader.remaining() > 0) {
    login.plugin = reader.null_terminated_string();
  }
  return login;
}

bool is_ssl_request(std::string_view payload) {
  return payload.size() == kSslRequestSize && (PayloadReader(payload).integer(4) & kSsl) != 0;
}

Login parse_change_user(std::string_view payload, std::uint32_t capabilities) {
  PayloadReader reader(payload);
  Login login;
  login.capabilities = capabilities;
  login.user = reader.null_terminated_string();
  login.auth_response = reader.take(reader.integer(1));
  login.schema = reader.null_terminated_string();
  if (reader.remaining() >= 2) login.charset = static_cast<std::uint8_t>(reader.integer(2));
  if ((capabilities & kPluginAuth) != 0 && reader.remaining() > 0) {
    login.plugin = reader.null_terminated_string();
  }
  return login;
}

std::optional<std::string> make_auth_response(std::string_view plugin, std::string_view password,
                                              std::string_view nonce) {
  if (plugin != kNativePassword && plugin != kCachingSha2) return std::nullopt;
  if (password.empty()) return "";
  const bool is_native = plugin == kNativePassword;
  const EVP_MD* algorithm = is_native ? EVP_sha1() : EVP_sha256();
  const std::string once = digest(algorithm, {password});
  const std::string twice = digest(algorithm, {once});
  const std::string key = is_native ? digest(algorithm, {nonce, twice}) : digest(algorithm, {twice, nonce});
  return xor_bytes(once, key);
}

bool constant_time_equal(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string generate_nonce() {
  std::string nonce(kNonceSize, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceSize) != 1) {
    throw std::runtime_error("OpenSSL random number generator failed");
  }
  // Clients handle the nonce as text, so it consists of printable ASCII characters.
  constexpr int kFirstCharacter = 33;
  constexpr int kCharacters = 94;
  for (char& byte : nonce) {
    byte = static_cast<char>(kFirstCharacter + static_cast<unsigned char>(byte) % kCharacters);
  }
  return nonce;
}

std::optional<std::string> encrypt_password(std::string_view password, std::string_view nonce,
                                            const std::string& public_key) {
  const std::unique_ptr<BIO, decltype(&BIO_free)> pem(
      BIO_new_mem_buf(public_key.data(), static_cast<int>(public_key.size())), &BIO_free);
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
      PEM_read_bio_PUBKEY(pem.get(), nullptr, nullptr, nullptr), &EVP_PKEY_free);
  if (!key) return std::nullopt;
  const std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(
      EVP_PKEY_CTX_new(key.get(), nullptr), &EVP_PKEY_CTX_free);
  const std::string text = xor_bytes(std::string(password) + '\0', nonce);
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
  std::size_t size = 0;
  if (!context || EVP_PKEY_encrypt_init(context.get()) != 1 ||
      EVP_PKEY_CTX_set_rsa_padding(context.get(), RSA_PKCS1_OAEP_PADDING) != 1 ||
      EVP_PKEY_encrypt(context.get(), nullptr, &size, bytes, text.size()) != 1) {
    return std::nullopt;
  }
  std::string encrypted(size, '\0');
  auto* out = reinterpret_cast<unsigned char*>(encrypted.data());
  if (EVP_PKEY_encrypt(context.get(), out, &size, bytes, text.size()) != 1) return std::nullopt;
  encrypted.resize(size);
  return encrypted;
}

}  // namespace rookproxy::mysql
