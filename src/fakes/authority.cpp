#include "fakes/authority.h"

#include <openssl/bio.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <stdexcept>

#include "auth/signing_key.h"

namespace rookproxy::test {
namespace {

void require(bool holds) {
  if (!holds) throw std::runtime_error("a certificate could not be made");
}

std::string text_of(BIO* out) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(out, &data);
  const std::string text(data, static_cast<std::size_t>(size));
  BIO_free(out);
  return text;
}

void extend(X509* certificate, X509* issuer, int kind, const std::string& value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
  require(extension != nullptr);
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

Certificate blank(const std::string& common_name, long serial, int from, int to) {
  Certificate made;
  made.key = auth::generate_key(policy::Algorithm::kEs256);
  made.certificate = std::shared_ptr<X509>(X509_new(), X509_free);
  X509* one = made.certificate.get();
  X509_set_version(one, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(one), serial);
  X509_gmtime_adj(X509_getm_notBefore(one), from);
  X509_gmtime_adj(X509_getm_notAfter(one), to);
  X509_set_pubkey(one, made.key.get());
  X509_NAME_add_entry_by_txt(X509_get_subject_name(one), "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(common_name.c_str()), -1, -1, 0);
  return made;
}

}  // namespace

std::string Certificate::pem() const {
  BIO* out = BIO_new(BIO_s_mem());
  PEM_write_bio_X509(out, certificate.get());
  return text_of(out);
}

std::string Certificate::private_key_pem() const { return auth::to_private_pem(key.get()); }

CertificateAuthority::CertificateAuthority(const std::string& name) : root_(blank(name, 1, -3600, 86400)) {
  X509* one = root_.certificate.get();
  X509_set_issuer_name(one, X509_get_subject_name(one));
  extend(one, one, NID_basic_constraints, "critical,CA:TRUE");
  extend(one, one, NID_key_usage, "critical,keyCertSign,cRLSign");
  extend(one, one, NID_subject_key_identifier, "hash");
  require(X509_sign(one, root_.key.get(), EVP_sha256()) > 0);
}

Certificate CertificateAuthority::issue(const CertificateRequest& wanted) {
  Certificate made =
      blank(wanted.common_name, ++last_serial_, wanted.valid_from_seconds, wanted.valid_to_seconds);
  X509* one = made.certificate.get();
  X509_set_issuer_name(one, X509_get_subject_name(root_.certificate.get()));
  extend(one, root_.certificate.get(), NID_basic_constraints, "critical,CA:FALSE");
  extend(one, root_.certificate.get(), NID_ext_key_usage,
         wanted.is_for_client_authentication ? "clientAuth" : "serverAuth");
  std::string names;
  for (const auto& name : wanted.alternative_names) names += (names.empty() ? "" : ",") + name;
  if (!names.empty()) extend(one, root_.certificate.get(), NID_subject_alt_name, names);
  require(X509_sign(one, root_.key.get(), EVP_sha256()) > 0);
  return made;
}

void CertificateAuthority::revoke(const Certificate& one) { revoked_.push_back(one.certificate); }

std::string CertificateAuthority::revocation_list_pem(int from, int to) const {
  X509_CRL* list = X509_CRL_new();
  X509_CRL_set_version(list, 1);
  X509_CRL_set_issuer_name(list, X509_get_subject_name(root_.certificate.get()));
  ASN1_TIME* at = X509_gmtime_adj(nullptr, from);
  X509_CRL_set1_lastUpdate(list, at);
  X509_gmtime_adj(at, to);
  X509_CRL_set1_nextUpdate(list, at);
  X509_gmtime_adj(at, from);
  for (const auto& one : revoked_) {
    X509_REVOKED* entry = X509_REVOKED_new();
    X509_REVOKED_set_serialNumber(entry, X509_get_serialNumber(one.get()));
    X509_REVOKED_set_revocationDate(entry, at);
    X509_CRL_add0_revoked(list, entry);
  }
  ASN1_TIME_free(at);
  X509_CRL_sort(list);
  require(X509_CRL_sign(list, root_.key.get(), EVP_sha256()) > 0);
  BIO* out = BIO_new(BIO_s_mem());
  PEM_write_bio_X509_CRL(out, list);
  X509_CRL_free(list);
  return text_of(out);
}

}  // namespace rookproxy::test
