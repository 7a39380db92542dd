#include "tls/pem_files.h"

#include <openssl/err.h>
#include <openssl/pem.h>

namespace rookproxy::tls {
namespace {

BioPtr open_file(const std::string& path) {
  BioPtr file(BIO_new_file(path.c_str(), "r"));
  if (!file) {
    ERR_clear_error();
    throw FileError(path, kUnreadable);
  }
  return file;
}

// Whether reading the objects of a file ended with an error other than the end of the file. A truncated file
// must not be accepted as a shorter one.
bool ended_with_error() {
  const unsigned long error = ERR_peek_last_error();
  ERR_clear_error();
  return error != 0 && ERR_GET_REASON(error) != PEM_R_NO_START_LINE;
}

}  // namespace

std::vector<X509Ptr> read_certificates(const std::string& path) {
  const BioPtr file = open_file(path);
  std::vector<X509Ptr> certificates;
  while (X509* certificate = PEM_read_bio_X509(file.get(), nullptr, nullptr, nullptr)) {
    certificates.emplace_back(certificate);
  }
  if (ended_with_error()) throw FileError(path, "contains a certificate that can't be read");
  if (certificates.empty()) throw FileError(path, "contains no certificate in PEM");
  return certificates;
}

PrivateKeyPtr read_private_key(const std::string& path) {
  const BioPtr file = open_file(path);
  PrivateKeyPtr key(PEM_read_bio_PrivateKey(file.get(), nullptr, nullptr, nullptr));
  if (!key) {
    ERR_clear_error();
    throw FileError(path, "contains no private key in PEM");
  }
  return key;
}

void for_each_crl(const std::string& path, const std::function<void(X509_CRL*)>& visit) {
  const BioPtr file = open_file(path);
  while (X509_CRL* crl = PEM_read_bio_X509_CRL(file.get(), nullptr, nullptr, nullptr)) {
    const CrlPtr owned(crl);
    visit(crl);
  }
  if (ended_with_error()) throw FileError(path, "contains a revocation list that can't be read");
}

}  // namespace rookproxy::tls
