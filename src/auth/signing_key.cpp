#include "auth/signing_key.h"

#include <openssl/core_names.h>
#include <openssl/pem.h>

#include <cstddef>

#include "auth/base64url.h"
#include "auth/openssl_pointer.h"

namespace rookproxy::auth {
namespace {

using policy::Algorithm;

constexpr unsigned kRsaBits = 2048;
constexpr int kP256Bits = 256;
constexpr std::size_t kP256CoordinateBytes = 32;
constexpr std::size_t kEd25519KeyBytes = 32;

unsigned char* as_bytes(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

const unsigned char* as_bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// A number of the public key in base64url, padded to `size` bytes; not padded if `size` is 0.
std::string encode_number(evp_pkey_st* key, const char* name, std::size_t size) {
  BIGNUM* parameter = nullptr;
  if (EVP_PKEY_get_bn_param(key, name, &parameter) != 1) throw KeyError(std::string("no ") + name);
  const OpenSslPointer<BIGNUM> number(parameter);
  std::string bytes(size > 0 ? size : static_cast<std::size_t>(BN_num_bytes(number.get())), '\0');
  BN_bn2binpad(number.get(), as_bytes(bytes), static_cast<int>(bytes.size()));
  return encode_base64url(bytes);
}

std::string encode_ed25519_key(evp_pkey_st* key) {
  std::string bytes(kEd25519KeyBytes, '\0');
  std::size_t size = bytes.size();
  EVP_PKEY_get_raw_public_key(key, as_bytes(bytes), &size);
  return encode_base64url(bytes);
}

// Converts an ECDSA signature from libcrypto's DER to JOSE format (r and s concatenated).
std::string jose_signature_from_der(std::string_view signature) {
  const unsigned char* der = as_bytes(signature);
  const OpenSslPointer<ECDSA_SIG> pair(
      d2i_ECDSA_SIG(nullptr, &der, static_cast<std::ptrdiff_t>(signature.size())));
  if (!pair) throw KeyError("the signature can't be decoded");
  std::string numbers(2 * kP256CoordinateBytes, '\0');
  BN_bn2binpad(ECDSA_SIG_get0_r(pair.get()), as_bytes(numbers), kP256CoordinateBytes);
  BN_bn2binpad(ECDSA_SIG_get0_s(pair.get()), as_bytes(numbers) + kP256CoordinateBytes, kP256CoordinateBytes);
  return numbers;
}

}  // namespace

Pkey generate_key(Algorithm algorithm) {
  EVP_PKEY* key = nullptr;
  switch (algorithm) {
    case Algorithm::kEs256:
      key = EVP_EC_gen("P-256");
      break;
    case Algorithm::kRs256:
      key = EVP_RSA_gen(kRsaBits);
      break;
    case Algorithm::kEdDsa:
      key = EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519");
      break;
  }
  if (!key) throw KeyError("key generation failed");
  return Pkey(key);
}

std::string to_private_pem(evp_pkey_st* key) {
  const OpenSslPointer<BIO> out(BIO_new(BIO_s_mem()));
  if (!out || PEM_write_bio_PKCS8PrivateKey(out.get(), key, nullptr, nullptr, 0, nullptr, nullptr) != 1) {
    throw KeyError("the key can't be written");
  }
  char* data = nullptr;
  const auto size = BIO_get_mem_data(out.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

Pkey parse_private_pem(const std::string& pem) {
  const OpenSslPointer<BIO> in(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  Pkey key(PEM_read_bio_PrivateKey(in.get(), nullptr, nullptr, nullptr));
  if (!key) throw KeyError("no private key in PEM");
  return key;
}

Algorithm algorithm_of(evp_pkey_st* key) {
  if (EVP_PKEY_is_a(key, "EC") == 1 && EVP_PKEY_get_bits(key) == kP256Bits) return Algorithm::kEs256;
  if (EVP_PKEY_is_a(key, "RSA") == 1) return Algorithm::kRs256;
  if (EVP_PKEY_is_a(key, "ED25519") == 1) return Algorithm::kEdDsa;
  throw KeyError("not a P-256, RSA or Ed25519 key");
}

nlohmann::json to_public_jwk(evp_pkey_st* key, const std::string& id) {
  const Algorithm algorithm = algorithm_of(key);
  nlohmann::json jwk{{"kid", id}, {"use", "sig"}, {"alg", policy::algorithm_name(algorithm)}};
  switch (algorithm) {
    case Algorithm::kEs256:
      jwk["kty"] = "EC";
      jwk["crv"] = "P-256";
      jwk["x"] = encode_number(key, OSSL_PKEY_PARAM_EC_PUB_X, kP256CoordinateBytes);
      jwk["y"] = encode_number(key, OSSL_PKEY_PARAM_EC_PUB_Y, kP256CoordinateBytes);
      break;
    case Algorithm::kRs256:
      jwk["kty"] = "RSA";
      jwk["n"] = encode_number(key, OSSL_PKEY_PARAM_RSA_N, 0);
      jwk["e"] = encode_number(key, OSSL_PKEY_PARAM_RSA_E, 0);
      break;
    case Algorithm::kEdDsa:
      jwk["kty"] = "OKP";
      jwk["crv"] = "Ed25519";
      jwk["x"] = encode_ed25519_key(key);
      break;
  }
  return jwk;
}

std::string sign(evp_pkey_st* key, Algorithm algorithm, std::string_view text) {
  const OpenSslPointer<EVP_MD_CTX> context(EVP_MD_CTX_new());
  const EVP_MD* digest = algorithm == Algorithm::kEdDsa ? nullptr : EVP_sha256();  // EdDSA takes no digest.
  std::size_t size = 0;
  if (EVP_DigestSignInit(context.get(), nullptr, digest, nullptr, key) != 1 ||
      EVP_DigestSign(context.get(), nullptr, &size, as_bytes(text), text.size()) != 1) {
    throw KeyError("signing failed");
  }
  std::string signature(size, '\0');
  if (EVP_DigestSign(context.get(), as_bytes(signature), &size, as_bytes(text), text.size()) != 1) {
    throw KeyError("signing failed");
  }
  signature.resize(size);
  return algorithm == Algorithm::kEs256 ? jose_signature_from_der(signature) : signature;
}

std::string sign_token(evp_pkey_st* key, const std::string& id, const nlohmann::json& claims,
                       nlohmann::json header) {
  const Algorithm algorithm = algorithm_of(key);
  if (!header.contains("alg")) header["alg"] = policy::algorithm_name(algorithm);
  if (!header.contains("kid")) header["kid"] = id;
  const std::string signing_input = encode_base64url(header.dump()) + "." + encode_base64url(claims.dump());
  return signing_input + "." + encode_base64url(sign(key, algorithm, signing_input));
}

}  // namespace rookproxy::auth
