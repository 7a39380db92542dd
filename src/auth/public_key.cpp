#include "auth/public_key.h"

#include <openssl/core_names.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "auth/base64url.h"
#include "auth/openssl_pointer.h"

namespace rookproxy::auth {
namespace {

using nlohmann::json;
using policy::Algorithm;

constexpr std::size_t kMaxKeyIdBytes = 256;
constexpr double kMaxUnixSeconds = 1.7e10;  // The year 2508.
constexpr double kMicrosecondsPerSecond = 1e6;

constexpr int kMinRsaBits = 2048;
constexpr int kMaxRsaBits = 8192;  // Verification with larger keys takes too much CPU time.
constexpr int kMinRsaExponentBits = 2;
constexpr int kMaxRsaExponentBits = 33;

constexpr std::size_t kP256CoordinateBytes = 32;
constexpr std::size_t kEd25519KeyBytes = 32;
constexpr char kUncompressedPoint = '\4';

const unsigned char* as_bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string string_member(const json& jwk, const char* name) {
  const auto member = jwk.find(name);
  if (member == jwk.end()) throw KeyError(std::string(name) + ": missing");
  if (!member->is_string()) throw KeyError(std::string(name) + ": not a string");
  return member->get<std::string>();
}

std::string binary_member(const json& jwk, const char* name) {
  auto value = decode_base64url(string_member(jwk, name));
  if (!value) throw KeyError(std::string(name) + ": not base64url");
  return std::move(*value);
}

std::optional<Time> time_member(const json& jwk, const char* name) {
  const auto member = jwk.find(name);
  if (member == jwk.end()) return std::nullopt;
  const double seconds = member->is_number() ? member->get<double>() : -1;
  const bool is_time = seconds >= 0 && seconds < kMaxUnixSeconds;
  if (!is_time) throw KeyError(std::string(name) + ": not a Unix time in seconds");
  return Time(Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond)));
}

void require_curve(const json& jwk, const std::string& expected) {
  const std::string curve = string_member(jwk, "crv");
  if (curve != expected) throw KeyError("crv: must be " + expected + " ('" + curve + "')");
}

Pkey public_key_from_parameters(const char* type, OSSL_PARAM* parameters) {
  const OpenSslPointer<EVP_PKEY_CTX> context(EVP_PKEY_CTX_new_from_name(nullptr, type, nullptr));
  EVP_PKEY* created = nullptr;
  if (!context || EVP_PKEY_fromdata_init(context.get()) != 1 ||
      EVP_PKEY_fromdata(context.get(), &created, EVP_PKEY_PUBLIC_KEY, parameters) != 1) {
    throw KeyError("not a valid key");
  }
  Pkey key(created);
  // Rejects, for example, a point that is not on the curve.
  const OpenSslPointer<EVP_PKEY_CTX> check(EVP_PKEY_CTX_new_from_pkey(nullptr, key.get(), nullptr));
  if (!check || EVP_PKEY_public_check(check.get()) != 1) throw KeyError("not a valid public key");
  return key;
}

Pkey parse_ec_key(const json& jwk) {
  require_curve(jwk, "P-256");
  const std::string x = binary_member(jwk, "x");
  const std::string y = binary_member(jwk, "y");
  if (x.size() != kP256CoordinateBytes || y.size() != kP256CoordinateBytes) {
    throw KeyError("x, y: not 32 bytes each");
  }
  const std::string point = kUncompressedPoint + x + y;
  const OpenSslPointer<OSSL_PARAM_BLD> builder(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_utf8_string(builder.get(), OSSL_PKEY_PARAM_GROUP_NAME, "prime256v1", 0);
  OSSL_PARAM_BLD_push_octet_string(builder.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  const OpenSslPointer<OSSL_PARAM> parameters(OSSL_PARAM_BLD_to_param(builder.get()));
  return public_key_from_parameters("EC", parameters.get());
}

OpenSslPointer<BIGNUM> to_number(const std::string& bytes) {
  return OpenSslPointer<BIGNUM>(BN_bin2bn(as_bytes(bytes), static_cast<int>(bytes.size()), nullptr));
}

Pkey parse_rsa_key(const json& jwk) {
  const std::string modulus_bytes = binary_member(jwk, "n");
  const std::string exponent_bytes = binary_member(jwk, "e");
  const auto modulus = to_number(modulus_bytes);
  const auto exponent = to_number(exponent_bytes);
  if (!modulus || !exponent) throw KeyError("n, e: not numbers");
  const int bits = BN_num_bits(modulus.get());
  if (bits < kMinRsaBits || bits > kMaxRsaBits) {
    throw KeyError("n: " + std::to_string(bits) + " bits, must be 2048 to 8192");
  }
  const int exponent_bits = BN_num_bits(exponent.get());
  if (BN_is_odd(exponent.get()) == 0 || exponent_bits < kMinRsaExponentBits ||
      exponent_bits > kMaxRsaExponentBits) {
    throw KeyError("e: not an accepted exponent");
  }
  const OpenSslPointer<OSSL_PARAM_BLD> builder(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_BN(builder.get(), OSSL_PKEY_PARAM_RSA_N, modulus.get());
  OSSL_PARAM_BLD_push_BN(builder.get(), OSSL_PKEY_PARAM_RSA_E, exponent.get());
  const OpenSslPointer<OSSL_PARAM> parameters(OSSL_PARAM_BLD_to_param(builder.get()));
  return public_key_from_parameters("RSA", parameters.get());
}

Pkey parse_ed25519_key(const json& jwk) {
  require_curve(jwk, "Ed25519");
  const std::string bytes = binary_member(jwk, "x");
  Pkey key;
  if (bytes.size() == kEd25519KeyBytes) {
    key.reset(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, as_bytes(bytes), bytes.size()));
  }
  if (!key) throw KeyError("x: not an Ed25519 key of 32 bytes");
  return key;
}

void check_key_use(const json& jwk) {
  for (const char* secret : {"d", "p", "q", "dp", "dq", "qi", "oth", "k"}) {
    if (jwk.contains(secret)) throw KeyError(std::string(secret) + ": a private key in a set of public ones");
  }
  if (jwk.contains("use") && jwk["use"] != "sig") throw KeyError("use: not 'sig'");
  if (!jwk.contains("key_ops")) return;
  const json& operations = jwk["key_ops"];
  const bool may_verify =
      operations.is_array() && std::find(operations.begin(), operations.end(), "verify") != operations.end();
  if (!may_verify) throw KeyError("key_ops: not for 'verify'");
}

PublicKey parse_key_of_type(const json& jwk) {
  const std::string type = string_member(jwk, "kty");
  PublicKey key;
  if (type == "EC") {
    key.metadata.algorithm = Algorithm::kEs256;
    key.key = parse_ec_key(jwk);
  } else if (type == "RSA") {
    key.metadata.algorithm = Algorithm::kRs256;
    key.key = parse_rsa_key(jwk);
  } else if (type == "OKP") {
    key.metadata.algorithm = Algorithm::kEdDsa;
    key.key = parse_ed25519_key(jwk);
  } else {
    throw KeyError("kty: must be EC, RSA or OKP ('" + type + "')");
  }
  return key;
}

// Converts an ECDSA signature from JOSE format (r and s concatenated) to DER for libcrypto. Returns an empty
// string on failure.
std::string der_encode_signature(std::string_view signature) {
  const OpenSslPointer<ECDSA_SIG> pair(ECDSA_SIG_new());
  OpenSslPointer<BIGNUM> r(BN_bin2bn(as_bytes(signature), kP256CoordinateBytes, nullptr));
  OpenSslPointer<BIGNUM> s(
      BN_bin2bn(as_bytes(signature.substr(kP256CoordinateBytes)), kP256CoordinateBytes, nullptr));
  if (!pair || !r || !s || ECDSA_SIG_set0(pair.get(), r.get(), s.get()) != 1) return "";
  // The pair owns both now.
  (void)r.release();
  (void)s.release();
  const int size = std::max(0, i2d_ECDSA_SIG(pair.get(), nullptr));
  std::string der(static_cast<std::size_t>(size), '\0');
  auto* out = reinterpret_cast<unsigned char*>(der.data());
  i2d_ECDSA_SIG(pair.get(), &out);
  return der;
}

}  // namespace

void PkeyDeleter::operator()(evp_pkey_st* key) const { EVP_PKEY_free(key); }

std::string parse_key_id(const json& jwk) {
  if (!jwk.is_object()) throw KeyError("not an object");
  check_key_use(jwk);
  std::string id = string_member(jwk, "kid");
  if (id.empty() || id.size() > kMaxKeyIdBytes) throw KeyError("kid: empty, or longer than 256 bytes");
  return id;
}

PublicKey parse_public_key(const json& jwk, std::string id) {
  PublicKey key = parse_key_of_type(jwk);
  policy::KeyMetadata& metadata = key.metadata;
  metadata.id = std::move(id);
  const std::string algorithm(policy::algorithm_name(metadata.algorithm));
  if (jwk.contains("alg") && string_member(jwk, "alg") != algorithm) {
    throw KeyError("alg: '" + string_member(jwk, "alg") + "', must be " + algorithm +
                   " for this type of key");
  }
  metadata.not_before = time_member(jwk, "nbf");
  metadata.not_after = time_member(jwk, "exp");
  if (metadata.not_before && metadata.not_after && *metadata.not_before >= *metadata.not_after) {
    throw KeyError("exp: not after nbf");
  }
  metadata.fingerprint = public_key_fingerprint(key.key.get());
  return key;
}

std::string public_key_fingerprint(evp_pkey_st* key) {
  unsigned char* der = nullptr;
  const int size = i2d_PUBKEY(key, &der);
  if (size <= 0) throw KeyError("the key can't be encoded");
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned digest_size = 0;
  EVP_Digest(der, static_cast<std::size_t>(size), digest.data(), &digest_size, EVP_sha256(), nullptr);
  OPENSSL_free(der);
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string hex;
  for (unsigned index = 0; index < digest_size; ++index) {
    hex += kHexDigits[digest[index] >> 4U];
    hex += kHexDigits[digest[index] & 15U];
  }
  return hex;
}

bool verify_signature(evp_pkey_st* key, Algorithm algorithm, std::string_view text,
                      std::string_view signature) {
  std::string der;
  if (algorithm == Algorithm::kEs256) {
    if (signature.size() != 2 * kP256CoordinateBytes) return false;
    der = der_encode_signature(signature);
    signature = der;
  }
  const OpenSslPointer<EVP_MD_CTX> context(EVP_MD_CTX_new());
  const EVP_MD* digest = algorithm == Algorithm::kEdDsa ? nullptr : EVP_sha256();  // EdDSA takes no digest.
  if (!context || EVP_DigestVerifyInit(context.get(), nullptr, digest, nullptr, key) != 1) return false;
  return EVP_DigestVerify(context.get(), as_bytes(signature), signature.size(), as_bytes(text),
                          text.size()) == 1;
}

}  // namespace rookproxy::auth
