// Owning pointers to libcrypto objects, and conversions of their values to the program's types.
#pragma once

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/x509.h>
#include <openssl/x509_vfy.h>
#include <openssl/x509v3.h>

#include <memory>
#include <optional>
#include <string>

#include "base/time.h"

namespace rookproxy::tls {

// Frees a libcrypto object with the function for its type.
template <class T, void (*free_function)(T*)>
struct OpenSslDeleter {
  void operator()(T* object) const { free_function(object); }
};
// Frees a list of certificates, but not the certificates.
struct CertificateStackDeleter {
  void operator()(STACK_OF(X509) * stack) const { sk_X509_free(stack); }
};

using BioPtr = std::unique_ptr<BIO, OpenSslDeleter<BIO, BIO_free_all>>;
using X509Ptr = std::unique_ptr<X509, OpenSslDeleter<X509, X509_free>>;
using CrlPtr = std::unique_ptr<X509_CRL, OpenSslDeleter<X509_CRL, X509_CRL_free>>;
using PrivateKeyPtr = std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY, EVP_PKEY_free>>;
using StoreContextPtr = std::unique_ptr<X509_STORE_CTX, OpenSslDeleter<X509_STORE_CTX, X509_STORE_CTX_free>>;
using BignumPtr = std::unique_ptr<BIGNUM, OpenSslDeleter<BIGNUM, BN_free>>;
using GeneralNamesPtr = std::unique_ptr<GENERAL_NAMES, OpenSslDeleter<GENERAL_NAMES, GENERAL_NAMES_free>>;
using CertificateStackPtr = std::unique_ptr<STACK_OF(X509), CertificateStackDeleter>;

// Returns libcrypto's reason for the first queued error of this thread, and clears the queue.
[[nodiscard]] std::string take_error_reason();
// Returns nothing if `time` is null or malformed.
[[nodiscard]] std::optional<Time> to_time(const ASN1_TIME* time);
// Formats a name like "CN=a,O=b" (RFC 2253).
[[nodiscard]] std::string to_text(const X509_NAME* name);
// Formats a name as "URI:...", "DNS:..." or "email:...". Returns an empty string for another kind of name, or
// for a name with a zero byte.
[[nodiscard]] std::string to_text(const GENERAL_NAME& name);
// Formats a time like "2026-01-31T23:59:59Z".
[[nodiscard]] std::string to_text(Time time);
// The system clock, against which certificates are validated.
[[nodiscard]] Time system_now();

}  // namespace rookproxy::tls
