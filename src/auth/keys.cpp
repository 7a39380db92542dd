#include "auth/keys.h"

#include <openssl/core_names.h>
#include <openssl/ecdsa.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>
#include <openssl/x509.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "auth/base64url.h"
#include "auth/strict_json.h"

namespace rookproxy::auth {
namespace {

using nlohmann::json;
using policy::Algorithm;

constexpr std::size_t kMaxKeys = 256;
constexpr int kMinRsaBits = 2048, kMaxRsaBits = 8192;  // more would be a way to burn our time

struct OpenSslDeleter {
  void operator()(EVP_PKEY_CTX* one) const { EVP_PKEY_CTX_free(one); }
  void operator()(EVP_MD_CTX* one) const { EVP_MD_CTX_free(one); }
  void operator()(OSSL_PARAM_BLD* one) const { OSSL_PARAM_BLD_free(one); }
  void operator()(OSSL_PARAM* one) const { OSSL_PARAM_free(one); }
  void operator()(BIGNUM* one) const { BN_free(one); }
  void operator()(ECDSA_SIG* one) const { ECDSA_SIG_free(one); }
};
template <class T>
using OpenSslPointer = std::unique_ptr<T, OpenSslDeleter>;

const unsigned char* bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string text_member(const json& key, const char* name) {
  const auto found = key.find(name);
  if (found == key.end()) throw KeyError(std::string(name) + ": missing");
  if (!found->is_string()) throw KeyError(std::string(name) + ": not a text");
  return found->get<std::string>();
}

std::string binary_member(const json& key, const char* name) {
  auto value = decode_base64url(text_member(key, name));
  if (!value) throw KeyError(std::string(name) + ": not base64url");
  return std::move(*value);
}

std::optional<Time> time_member(const json& key, const char* name) {
  const auto found = key.find(name);
  if (found == key.end()) return std::nullopt;
  const double seconds = found->is_number() ? found->get<double>() : -1;
  if (!(seconds >= 0 && seconds < 1.7e10)) throw KeyError(std::string(name) + ": not a time in seconds");
  return Time(Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

Pkey public_key_from_parameters(const char* kind, OSSL_PARAM* parameters) {
  const OpenSslPointer<EVP_PKEY_CTX> context(EVP_PKEY_CTX_new_from_name(nullptr, kind, nullptr));
  EVP_PKEY* made = nullptr;
  if (!context || EVP_PKEY_fromdata_init(context.get()) != 1 ||
      EVP_PKEY_fromdata(context.get(), &made, EVP_PKEY_PUBLIC_KEY, parameters) != 1) {
    throw KeyError("no usable key");
  }
  Pkey key(made);
  // A point that is not on its curve and the like.
  const OpenSslPointer<EVP_PKEY_CTX> check(EVP_PKEY_CTX_new_from_pkey(nullptr, key.get(), nullptr));
  if (!check || EVP_PKEY_public_check(check.get()) != 1) throw KeyError("no valid public key");
  return key;
}

Pkey parse_ec_key(const json& key) {
  if (const auto curve = text_member(key, "crv"); curve != "P-256")
    throw KeyError("crv: only P-256 ('" + curve + "')");
  const std::string x = binary_member(key, "x"), y = binary_member(key, "y");
  if (x.size() != 32 || y.size() != 32) throw KeyError("x, y: not 32 bytes each");
  const std::string point = "\4" + x + y;
  const OpenSslPointer<OSSL_PARAM_BLD> build(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_utf8_string(build.get(), OSSL_PKEY_PARAM_GROUP_NAME, "prime256v1", 0);
  OSSL_PARAM_BLD_push_octet_string(build.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  const OpenSslPointer<OSSL_PARAM> parameters(OSSL_PARAM_BLD_to_param(build.get()));
  return public_key_from_parameters("EC", parameters.get());
}

Pkey parse_rsa_key(const json& key) {
  const std::string n = binary_member(key, "n"), e = binary_member(key, "e");
  const OpenSslPointer<BIGNUM> modulus(BN_bin2bn(bytes(n), static_cast<int>(n.size()), nullptr)),
      exponent(BN_bin2bn(bytes(e), static_cast<int>(e.size()), nullptr));
  if (!modulus || !exponent) throw KeyError("n, e: not numbers");
  const int bits = BN_num_bits(modulus.get());
  if (bits < kMinRsaBits || bits > kMaxRsaBits) {
    throw KeyError("n: " + std::to_string(bits) + " bits, 2048 to 8192 are taken");
  }
  if (!BN_is_odd(exponent.get()) || BN_num_bits(exponent.get()) < 2 || BN_num_bits(exponent.get()) > 33) {
    throw KeyError("e: no usual exponent");
  }
  const OpenSslPointer<OSSL_PARAM_BLD> build(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_BN(build.get(), OSSL_PKEY_PARAM_RSA_N, modulus.get());
  OSSL_PARAM_BLD_push_BN(build.get(), OSSL_PKEY_PARAM_RSA_E, exponent.get());
  const OpenSslPointer<OSSL_PARAM> parameters(OSSL_PARAM_BLD_to_param(build.get()));
  return public_key_from_parameters("RSA", parameters.get());
}

Pkey parse_okp_key(const json& key) {
  if (const auto curve = text_member(key, "crv"); curve != "Ed25519")
    throw KeyError("crv: only Ed25519 ('" + curve + "')");
  const std::string x = binary_member(key, "x");
  Pkey made(x.size() == 32 ? EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes(x), x.size())
                           : nullptr);
  if (!made) throw KeyError("x: no Ed25519 key of 32 bytes");
  return made;
}

void check_key_use(const json& key) {
  for (const char* secret : {"d", "p", "q", "dp", "dq", "qi", "oth", "k"}) {
    if (key.contains(secret)) throw KeyError(std::string(secret) + ": a private key in a set of public ones");
  }
  if (key.contains("use") && key["use"] != "sig") throw KeyError("use: not 'sig'");
  if (!key.contains("key_ops")) return;
  const json& operations = key["key_ops"];
  if (!operations.is_array() || std::find(operations.begin(), operations.end(), "verify") == operations.end())
    throw KeyError("key_ops: not for 'verify'");
}

// DER of an ECDSA signature that JOSE has as two numbers side by side.
std::string der_encode_signature(std::string_view signature) {
  const OpenSslPointer<ECDSA_SIG> pair(ECDSA_SIG_new());
  BIGNUM* r = BN_bin2bn(bytes(signature), 32, nullptr);
  BIGNUM* s = BN_bin2bn(bytes(signature.substr(32)), 32, nullptr);
  if (!pair || !r || !s || ECDSA_SIG_set0(pair.get(), r, s) != 1) {
    BN_free(r);
    BN_free(s);
    return "";
  }
  std::string der(static_cast<std::size_t>(std::max(0, i2d_ECDSA_SIG(pair.get(), nullptr))), '\0');
  auto* out = reinterpret_cast<unsigned char*>(der.data());
  i2d_ECDSA_SIG(pair.get(), &out);
  return der;
}

}  // namespace

void PkeyDeleter::operator()(evp_pkey_st* key) const { EVP_PKEY_free(key); }

std::string public_key_fingerprint(evp_pkey_st* key) {
  unsigned char* der = nullptr;
  const int size = i2d_PUBKEY(key, &der);
  if (size <= 0) throw KeyError("no print of the key");
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned digest_size = 0;
  EVP_Digest(der, static_cast<std::size_t>(size), digest, &digest_size, EVP_sha256(), nullptr);
  OPENSSL_free(der);
  std::string hex;
  for (unsigned i = 0; i < digest_size; ++i) {
    hex += "0123456789abcdef"[digest[i] >> 4];
    hex += "0123456789abcdef"[digest[i] & 15];
  }
  return hex;
}

KeySet KeySet::parse(std::string_view jwks) {
  const auto document = parse_strict_json(jwks);
  if (!document) throw KeyError("not JSON, or a name twice in one object");
  if (!document->is_object() || !document->contains("keys") || !(*document)["keys"].is_array())
    throw KeyError("keys: no list");
  const json& list = (*document)["keys"];
  if (list.empty()) throw KeyError("keys: empty, so no token could be checked");
  if (list.size() > kMaxKeys) throw KeyError("keys: more than " + std::to_string(kMaxKeys));
  KeySet set;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const json& one = list[i];
    try {
      if (!one.is_object()) throw KeyError("not an object");
      check_key_use(one);
      policy::KeyMetadata facts;
      facts.id = text_member(one, "kid");
      if (facts.id.empty() || facts.id.size() > 256) throw KeyError("kid: empty, or over 256 bytes");
      for (const auto& other : set.metadata_) {
        if (other.id == facts.id) throw KeyError("kid: there twice ('" + facts.id + "')");
      }
      const std::string kind = text_member(one, "kty");
      Pkey key;
      if (kind == "EC") {
        facts.algorithm = Algorithm::kEs256;
        key = parse_ec_key(one);
      } else if (kind == "RSA") {
        facts.algorithm = Algorithm::kRs256;
        key = parse_rsa_key(one);
      } else if (kind == "OKP") {
        facts.algorithm = Algorithm::kEdDsa;
        key = parse_okp_key(one);
      } else {
        throw KeyError("kty: only EC, RSA and OKP ('" + kind + "')");
      }
      if (one.contains("alg") && text_member(one, "alg") != policy::algorithm_name(facts.algorithm)) {
        throw KeyError("alg: '" + text_member(one, "alg") + "', only " +
                       std::string(policy::algorithm_name(facts.algorithm)) + " is taken for such a key");
      }
      facts.not_before = time_member(one, "nbf");
      facts.not_after = time_member(one, "exp");
      if (facts.not_before && facts.not_after && *facts.not_before >= *facts.not_after)
        throw KeyError("exp: not after nbf");
      facts.fingerprint = public_key_fingerprint(key.get());
      set.metadata_.push_back(std::move(facts));
      set.keys_.emplace_back(key.release(), PkeyDeleter());
    } catch (const KeyError& fault) {
      throw KeyError("keys." + std::to_string(i) + "." + fault.what());
    }
  }
  return set;
}

bool KeySet::verify(std::size_t key, std::string_view text, std::string_view signature) const {
  const Algorithm algorithm = metadata_[key].algorithm;
  std::string der;
  if (algorithm == Algorithm::kEs256) {
    if (signature.size() != 64) return false;
    der = der_encode_signature(signature);
    signature = der;
  }
  const OpenSslPointer<EVP_MD_CTX> context(EVP_MD_CTX_new());
  const EVP_MD* digest = algorithm == Algorithm::kEdDsa ? nullptr : EVP_sha256();
  if (!context || EVP_DigestVerifyInit(context.get(), nullptr, digest, nullptr, keys_[key].get()) != 1) {
    return false;
  }
  return EVP_DigestVerify(context.get(), bytes(signature), signature.size(), bytes(text), text.size()) == 1;
}

}  // namespace rookproxy::auth
