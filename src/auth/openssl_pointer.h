// Owning pointers to OpenSSL objects.
#pragma once

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/ecdsa.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>
#include <openssl/x509.h>

#include <memory>

namespace rookproxy::auth {

// Frees an object with the function for its type.
struct OpenSslDeleter {
  void operator()(BIO* bio) const { BIO_free(bio); }
  void operator()(BIGNUM* number) const { BN_free(number); }
  void operator()(ECDSA_SIG* signature) const { ECDSA_SIG_free(signature); }
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
  void operator()(EVP_PKEY_CTX* context) const { EVP_PKEY_CTX_free(context); }
  void operator()(OSSL_PARAM* parameters) const { OSSL_PARAM_free(parameters); }
  void operator()(OSSL_PARAM_BLD* builder) const { OSSL_PARAM_BLD_free(builder); }
  void operator()(X509* certificate) const { X509_free(certificate); }
  void operator()(X509_EXTENSION* extension) const { X509_EXTENSION_free(extension); }
};

template <class T>
using OpenSslPointer = std::unique_ptr<T, OpenSslDeleter>;

}  // namespace rookproxy::auth
