#include "fakes/certificate_authority.h"

#include <openssl/bio.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <stdexcept>

#include "auth/signing_key.h"

namespace rookproxy::test {
namespace {

constexpr int kX509Version3 = 2;
constexpr int kCrlVersion2 = 1;
constexpr long kRootSerial = 1;
constexpr ValidityPeriod kRootValidity{std::chrono::hours(-1), std::chrono::hours(24)};

using Bio = std::unique_ptr<BIO, decltype(&BIO_free)>;
using Crl = std::unique_ptr<X509_CRL, decltype(&X509_CRL_free)>;
using Asn1Time = std::unique_ptr<ASN1_TIME, decltype(&ASN1_STRING_free)>;

void require(bool holds) {
  if (!holds) throw std::runtime_error("OpenSSL failed to create a certificate or a revocation list");
}

Bio memory_bio() { return {BIO_new(BIO_s_mem()), BIO_free}; }

std::string content_of(const Bio& bio) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

Asn1Time time_from_now(std::chrono::seconds offset) {
  return {X509_gmtime_adj(nullptr, offset.count()), ASN1_STRING_free};
}

void add_extension(X509* certificate, X509* issuer, int kind, const std::string& value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
  require(extension != nullptr);
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

// Creates a certificate with a new key. The issuer's name and signature are not set.
Certificate make_unsigned(const std::string& common_name, long serial, const ValidityPeriod& validity) {
  Certificate made;
  made.key = auth::generate_key(policy::Algorithm::kEs256);
  made.certificate = std::shared_ptr<X509>(X509_new(), X509_free);
  X509* certificate = made.certificate.get();
  X509_set_version(certificate, kX509Version3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
  X509_gmtime_adj(X509_getm_notBefore(certificate), validity.from.count());
  X509_gmtime_adj(X509_getm_notAfter(certificate), validity.to.count());
  X509_set_pubkey(certificate, made.key.get());
  X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(common_name.c_str()), -1, -1, 0);
  return made;
}

std::string joined(const std::vector<std::string>& texts) {
  std::string all;
  for (const std::string& text : texts) {
    if (!all.empty()) all += ",";
    all += text;
  }
  return all;
}

}  // namespace

std::string Certificate::pem() const {
  const Bio out = memory_bio();
  PEM_write_bio_X509(out.get(), certificate.get());
  return content_of(out);
}

std::string Certificate::private_key_pem() const { return auth::to_private_pem(key.get()); }

CertificateAuthority::CertificateAuthority(const std::string& name)
    : root_(make_unsigned(name, kRootSerial, kRootValidity)) {
  X509* root = root_.certificate.get();
  X509_set_issuer_name(root, X509_get_subject_name(root));
  add_extension(root, root, NID_basic_constraints, "critical,CA:TRUE");
  add_extension(root, root, NID_key_usage, "critical,keyCertSign,cRLSign");
  add_extension(root, root, NID_subject_key_identifier, "hash");
  require(X509_sign(root, root_.key.get(), EVP_sha256()) > 0);
}

Certificate CertificateAuthority::issue(const CertificateRequest& request) {
  const bool is_for_client = request.usage == CertificateRequest::Usage::kClient;
  Certificate made = make_unsigned(request.common_name, ++last_serial_, request.validity);
  X509* certificate = made.certificate.get();
  X509* root = root_.certificate.get();
  X509_set_issuer_name(certificate, X509_get_subject_name(root));
  add_extension(certificate, root, NID_basic_constraints, "critical,CA:FALSE");
  add_extension(certificate, root, NID_ext_key_usage, is_for_client ? "clientAuth" : "serverAuth");
  if (!request.alternative_names.empty()) {
    add_extension(certificate, root, NID_subject_alt_name, joined(request.alternative_names));
  }
  require(X509_sign(certificate, root_.key.get(), EVP_sha256()) > 0);
  return made;
}

void CertificateAuthority::revoke(const Certificate& certificate) {
  revoked_.push_back(certificate.certificate);
}

std::string CertificateAuthority::revocation_list_pem(const ValidityPeriod& validity) const {
  const Crl list{X509_CRL_new(), X509_CRL_free};
  const Asn1Time last_update = time_from_now(validity.from);
  const Asn1Time next_update = time_from_now(validity.to);
  X509_CRL_set_version(list.get(), kCrlVersion2);
  X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(root_.certificate.get()));
  X509_CRL_set1_lastUpdate(list.get(), last_update.get());
  X509_CRL_set1_nextUpdate(list.get(), next_update.get());
  for (const auto& certificate : revoked_) {
    X509_REVOKED* entry = X509_REVOKED_new();
    X509_REVOKED_set_serialNumber(entry, X509_get_serialNumber(certificate.get()));
    X509_REVOKED_set_revocationDate(entry, last_update.get());
    X509_CRL_add0_revoked(list.get(), entry);  // the list takes ownership
  }
  X509_CRL_sort(list.get());
  require(X509_CRL_sign(list.get(), root_.key.get(), EVP_sha256()) > 0);
  const Bio out = memory_bio();
  PEM_write_bio_X509_CRL(out.get(), list.get());
  return content_of(out);
}

}  // namespace rookproxy::test
