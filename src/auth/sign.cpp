#include "auth/sign.h"

#include <openssl/bio.h>
#include <openssl/core_names.h>
#include <openssl/ecdsa.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include "auth/base64url.h"

namespace rookproxy::auth {
namespace {

using policy::Algorithm;

struct OpenSslDeleter {
  void operator()(BIO* one) const { BIO_free(one); }
  void operator()(EVP_MD_CTX* one) const { EVP_MD_CTX_free(one); }
  void operator()(BIGNUM* one) const { BN_free(one); }
  void operator()(ECDSA_SIG* one) const { ECDSA_SIG_free(one); }
};
template <class T>
using OpenSslPointer = std::unique_ptr<T, OpenSslDeleter>;

std::string number_parameter(evp_pkey_st* key, const char* name, int size) {
  BIGNUM* taken = nullptr;
  if (EVP_PKEY_get_bn_param(key, name, &taken) != 1) throw KeyError(std::string("no ") + name);
  const OpenSslPointer<BIGNUM> number(taken);
  std::string out(static_cast<std::size_t>(size > 0 ? size : BN_num_bytes(taken)), '\0');
  BN_bn2binpad(taken, reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(out.size()));
  return out;
}

}  // namespace

Pkey generate_key(Algorithm algorithm) {
  EVP_PKEY* key = nullptr;
  switch (algorithm) {
    case Algorithm::kEs256:
      key = EVP_EC_gen("P-256");
      break;
    case Algorithm::kRs256:
      key = EVP_RSA_gen(2048);
      break;
    case Algorithm::kEdDsa:
      key = EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519");
      break;
  }
  if (!key) throw KeyError("no key could be made");
  return Pkey(key);
}

std::string to_private_pem(evp_pkey_st* key) {
  const OpenSslPointer<BIO> out(BIO_new(BIO_s_mem()));
  if (!out || PEM_write_bio_PKCS8PrivateKey(out.get(), key, nullptr, nullptr, 0, nullptr, nullptr) != 1)
    throw KeyError("the key can't be written");
  char* data = nullptr;
  const long size = BIO_get_mem_data(out.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

Pkey parse_private_pem(const std::string& pem) {
  const OpenSslPointer<BIO> in(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  Pkey key(PEM_read_bio_PrivateKey(in.get(), nullptr, nullptr, nullptr));
  if (!key) throw KeyError("no private key in PEM");
  return key;
}

Algorithm algorithm_of(evp_pkey_st* key) {
  if (EVP_PKEY_is_a(key, "EC") && EVP_PKEY_get_bits(key) == 256) return Algorithm::kEs256;
  if (EVP_PKEY_is_a(key, "RSA")) return Algorithm::kRs256;
  if (EVP_PKEY_is_a(key, "ED25519")) return Algorithm::kEdDsa;
  throw KeyError("neither P-256, RSA nor Ed25519");
}

nlohmann::json to_public_jwk(evp_pkey_st* key, const std::string& id) {
  const Algorithm algorithm = algorithm_of(key);
  nlohmann::json jwk{{"kid", id}, {"use", "sig"}, {"alg", policy::algorithm_name(algorithm)}};
  if (algorithm == Algorithm::kEs256) {
    jwk["kty"] = "EC";
    jwk["crv"] = "P-256";
    jwk["x"] = encode_base64url(number_parameter(key, OSSL_PKEY_PARAM_EC_PUB_X, 32));
    jwk["y"] = encode_base64url(number_parameter(key, OSSL_PKEY_PARAM_EC_PUB_Y, 32));
  } else if (algorithm == Algorithm::kRs256) {
    jwk["kty"] = "RSA";
    jwk["n"] = encode_base64url(number_parameter(key, OSSL_PKEY_PARAM_RSA_N, 0));
    jwk["e"] = encode_base64url(number_parameter(key, OSSL_PKEY_PARAM_RSA_E, 0));
  } else {
    std::string raw(32, '\0');
    std::size_t size = raw.size();
    EVP_PKEY_get_raw_public_key(key, reinterpret_cast<unsigned char*>(raw.data()), &size);
    jwk["kty"] = "OKP";
    jwk["crv"] = "Ed25519";
    jwk["x"] = encode_base64url(raw);
  }
  return jwk;
}

std::string sign(evp_pkey_st* key, Algorithm algorithm, std::string_view text) {
  const OpenSslPointer<EVP_MD_CTX> context(EVP_MD_CTX_new());
  const EVP_MD* digest = algorithm == Algorithm::kEdDsa ? nullptr : EVP_sha256();
  const auto* in = reinterpret_cast<const unsigned char*>(text.data());
  std::size_t size = 0;
  if (EVP_DigestSignInit(context.get(), nullptr, digest, nullptr, key) != 1 ||
      EVP_DigestSign(context.get(), nullptr, &size, in, text.size()) != 1) {
    throw KeyError("the key does not sign");
  }
  std::string out(size, '\0');
  if (EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(out.data()), &size, in, text.size()) !=
      1)
    throw KeyError("the key does not sign");
  out.resize(size);
  if (algorithm != Algorithm::kEs256) return out;
  const auto* der = reinterpret_cast<const unsigned char*>(out.data());
  const OpenSslPointer<ECDSA_SIG> pair(d2i_ECDSA_SIG(nullptr, &der, static_cast<long>(out.size())));
  if (!pair) throw KeyError("no signature of two numbers");
  std::string both(64, '\0');
  auto* to = reinterpret_cast<unsigned char*>(both.data());
  BN_bn2binpad(ECDSA_SIG_get0_r(pair.get()), to, 32);
  BN_bn2binpad(ECDSA_SIG_get0_s(pair.get()), to + 32, 32);
  return both;
}

std::string sign_token(evp_pkey_st* key, const std::string& id, const nlohmann::json& claims,
                       nlohmann::json header) {
  const Algorithm algorithm = algorithm_of(key);
  if (!header.contains("alg")) header["alg"] = policy::algorithm_name(algorithm);
  if (!header.contains("kid")) header["kid"] = id;
  const std::string text = encode_base64url(header.dump()) + "." + encode_base64url(claims.dump());
  return text + "." + encode_base64url(sign(key, algorithm, text));
}

}  // namespace rookproxy::auth
