#include "ctl/self_signed_certificate.h"

#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <regex>

#include "auth/openssl_pointer.h"
#include "auth/public_key.h"
#include "ctl/command.h"
#include "ctl/files.h"

namespace rookproxy::ctl {
namespace {

using auth::OpenSslPointer;
using auth::Pkey;

constexpr int kMaxDays = 3650;
constexpr std::int64_t kSecondsPerDay = 86400;
// Tolerates clocks that are behind this one.
constexpr std::int64_t kBackdatedSeconds = 3600;
constexpr std::size_t kSerialBytes = 16;
constexpr int kX509Version3 = 2;
constexpr mode_t kKeyFileMode = 0600;
constexpr mode_t kCertificateFileMode = 0644;

struct Extension {
  int nid;
  std::string value;
};

void require_success(bool succeeded, const char* action) {
  if (!succeeded) throw CommandError(std::string("OpenSSL failed to ") + action);
}

void check_arguments(const std::string& certificate_path, const std::string& key_path,
                     const std::string& name, int days) {
  if (!std::regex_match(name, std::regex("[A-Za-z0-9]([A-Za-z0-9.-]{0,252})"))) {
    throw CommandError("--name '" + name + "': not a DNS name like localhost or engine-1.example");
  }
  if (days < 1 || days > kMaxDays) throw CommandError("--days: must be 1 to 3650");
  for (const auto& path : {certificate_path, key_path}) {
    if (std::filesystem::exists(path)) throw CommandError(path + ": there already; it is not written over");
  }
}

void set_serial_number(X509* certificate) {
  std::array<unsigned char, kSerialBytes> serial{};
  require_success(RAND_bytes(serial.data(), kSerialBytes) == 1, "generate a serial number");
  serial[0] &= 0x7fU;  // Must be positive (RFC 5280, section 4.1.2.2).
  const OpenSslPointer<BIGNUM> number(BN_bin2bn(serial.data(), kSerialBytes, nullptr));
  require_success(number && BN_to_ASN1_INTEGER(number.get(), X509_get_serialNumber(certificate)),
                  "set the serial number");
}

void set_validity(X509* certificate, int days) {
  require_success(X509_gmtime_adj(X509_getm_notBefore(certificate), -kBackdatedSeconds) != nullptr,
                  "set the start of the validity");
  require_success(X509_gmtime_adj(X509_getm_notAfter(certificate), days * kSecondsPerDay) != nullptr,
                  "set the end of the validity");
}

// Sets the subject, and the same name as issuer.
void set_names(X509* certificate, const std::string& name) {
  X509_NAME* subject = X509_get_subject_name(certificate);
  const auto* bytes = reinterpret_cast<const unsigned char*>(name.c_str());
  require_success(X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, bytes, -1, -1, 0) == 1,
                  "set the name");
  require_success(X509_set_issuer_name(certificate, subject) == 1, "set the issuer");
}

void add_extensions(X509* certificate, const std::string& name) {
  X509V3_CTX context;
  X509V3_set_ctx_nodb(&context);
  X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
  for (const Extension& wanted : {Extension{NID_subject_alt_name, "DNS:" + name + ",IP:127.0.0.1"},
                                  Extension{NID_basic_constraints, "critical,CA:FALSE"},
                                  Extension{NID_key_usage, "critical,digitalSignature"},
                                  Extension{NID_ext_key_usage, "serverAuth,clientAuth"}}) {
    const OpenSslPointer<X509_EXTENSION> extension(
        X509V3_EXT_conf_nid(nullptr, &context, wanted.nid, wanted.value.c_str()));
    require_success(extension && X509_add_ext(certificate, extension.get(), -1) == 1, "add an extension");
  }
}

OpenSslPointer<X509> make_certificate(EVP_PKEY* key, const std::string& name, int days) {
  OpenSslPointer<X509> certificate(X509_new());
  require_success(certificate != nullptr, "create a certificate");
  require_success(X509_set_version(certificate.get(), kX509Version3) == 1, "set the version");
  set_serial_number(certificate.get());
  set_validity(certificate.get(), days);
  set_names(certificate.get(), name);
  require_success(X509_set_pubkey(certificate.get(), key) == 1, "set the key");
  add_extensions(certificate.get(), name);
  require_success(X509_sign(certificate.get(), key, EVP_sha256()) > 0, "sign the certificate");
  return certificate;
}

std::string bio_text(BIO* bio) {
  char* data = nullptr;
  const auto size = BIO_get_mem_data(bio, &data);
  return {data, static_cast<std::size_t>(size)};
}

std::string key_pem(EVP_PKEY* key) {
  const OpenSslPointer<BIO> out(BIO_new(BIO_s_mem()));
  require_success(PEM_write_bio_PrivateKey(out.get(), key, nullptr, nullptr, 0, nullptr, nullptr) == 1,
                  "write the key");
  return bio_text(out.get());
}

std::string certificate_pem(X509* certificate) {
  const OpenSslPointer<BIO> out(BIO_new(BIO_s_mem()));
  require_success(PEM_write_bio_X509(out.get(), certificate) == 1, "write the certificate");
  return bio_text(out.get());
}

}  // namespace

void create_self_signed_certificate(const std::string& certificate_path, const std::string& key_path,
                                    const std::string& name, int days) {
  check_arguments(certificate_path, key_path, name, days);
  const Pkey key(EVP_EC_gen("P-256"));
  require_success(key != nullptr, "generate a P-256 key");
  const auto certificate = make_certificate(key.get(), name, days);
  const std::string key_text = key_pem(key.get());
  const std::string certificate_text = certificate_pem(certificate.get());
  write_file_atomically(key_path, key_text, kKeyFileMode);
  write_file_atomically(certificate_path, certificate_text, kCertificateFileMode);
}

}  // namespace rookproxy::ctl
