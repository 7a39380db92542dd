#include "ctl/certificates.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <filesystem>
#include <iostream>
#include <memory>
#include <regex>
#include <stdexcept>

#include "config/config.h"
#include "ctl/keys.h"

namespace rookproxy {
namespace {

namespace fs = std::filesystem;

enum Exit { kDone = 0, kRefused = 1 };

struct CertificateOptions {
  std::string certificate, key, name = "localhost", life = "30";
  std::string file;  // for `prepare`
};

struct X509Free {
  void operator()(X509* one) const { X509_free(one); }
};
struct PkeyFree {
  void operator()(EVP_PKEY* one) const { EVP_PKEY_free(one); }
};
struct BioFree {
  void operator()(BIO* one) const { BIO_free(one); }
};

std::string bio_text(BIO* bio) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);
  return std::string(data, static_cast<std::size_t>(size));
}

void require_success(bool fine, const char* doing) {
  if (!fine) throw std::runtime_error(std::string("OpenSSL failed to ") + doing);
}

// A self-signed certificate for `name` (a DNS name; 127.0.0.1 is named too), on a new P-256 key, good from
// an hour ago for `days` days (1 to 3650). For trials and tests: in service a CA of the operators' signs.
void make_certificate(const std::string& certificate, const std::string& key, const std::string& name,
                      long days) {
  if (!std::regex_match(name, std::regex("[A-Za-z0-9]([A-Za-z0-9.-]{0,252})")))
    throw std::runtime_error("--name '" + name + "': a DNS name, as localhost or engine-1.addis");
  if (days < 1 || days > 3650) throw std::runtime_error("--days: 1 to 3650");
  for (const auto& path : {certificate, key}) {
    if (fs::exists(path)) throw std::runtime_error(path + ": there already; it is not written over");
  }
  const std::unique_ptr<EVP_PKEY, PkeyFree> pair(EVP_EC_gen("P-256"));
  require_success(pair != nullptr, "make a P-256 key");
  const std::unique_ptr<X509, X509Free> made(X509_new());
  require_success(made != nullptr, "make a certificate");
  X509* cert = made.get();
  require_success(X509_set_version(cert, 2) == 1, "set the version");
  unsigned char serial[16];
  require_success(RAND_bytes(serial, sizeof serial) == 1, "draw a serial number");
  serial[0] &= 0x7f;  // positive, RFC 5280 section 4.1.2.2
  BIGNUM* number = BN_bin2bn(serial, sizeof serial, nullptr);
  require_success(number && BN_to_ASN1_INTEGER(number, X509_get_serialNumber(cert)), "set the serial number");
  BN_free(number);
  require_success(X509_gmtime_adj(X509_getm_notBefore(cert), -3600) != nullptr, "set the start");
  require_success(X509_gmtime_adj(X509_getm_notAfter(cert), days * 86400L) != nullptr, "set the end");
  X509_NAME* subject = X509_get_subject_name(cert);
  require_success(
      X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                 reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0) == 1,
      "set the name");
  require_success(X509_set_issuer_name(cert, subject) == 1, "set the issuer");
  require_success(X509_set_pubkey(cert, pair.get()) == 1, "set the key");
  X509V3_CTX context;
  X509V3_set_ctx_nodb(&context);
  X509V3_set_ctx(&context, cert, cert, nullptr, nullptr, 0);
  const std::string alternatives = "DNS:" + name + ",IP:127.0.0.1";
  for (const auto& [nid, value] : {std::pair{NID_subject_alt_name, alternatives.c_str()},
                                   std::pair{NID_basic_constraints, "critical,CA:FALSE"},
                                   std::pair{NID_key_usage, "critical,digitalSignature"},
                                   std::pair{NID_ext_key_usage, "serverAuth,clientAuth"}}) {
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, nid, value);
    require_success(extension != nullptr && X509_add_ext(cert, extension, -1) == 1, "add an extension");
    X509_EXTENSION_free(extension);
  }
  require_success(X509_sign(cert, pair.get(), EVP_sha256()) > 0, "sign the certificate");
  const std::unique_ptr<BIO, BioFree> key_text(BIO_new(BIO_s_mem())), cert_text(BIO_new(BIO_s_mem()));
  require_success(
      PEM_write_bio_PrivateKey(key_text.get(), pair.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1,
      "write the key");
  require_success(PEM_write_bio_X509(cert_text.get(), cert) == 1, "write the certificate");
  write_file_atomically(key, bio_text(key_text.get()), 0600);
  write_file_atomically(certificate, bio_text(cert_text.get()), 0644);
}

long parse_days(const std::string& text) {
  if (!std::regex_match(text, std::regex("[0-9]{1,4}"))) throw std::runtime_error("--days '" + text + "'");
  return std::stol(text);
}

int new_certificate(const CertificateOptions& options) {
  make_certificate(options.certificate, options.key, options.name, parse_days(options.life));
  std::cout << options.certificate << ": self-signed for " << options.name << ", " << options.life
            << " days\n"
            << options.key << ": its private key, for the dispatcher alone\n";
  return kDone;
}

// What a dispatcher's file names and lacks: a key set (one ES256 key, `k1`, its private half beside the set)
// and the front's own certificate and key. What is there stays as it is.
int prepare(const CertificateOptions& options) {
  const Config config = load_config(Environment(), options.file);
  int made = 0;
  if (config.access && !config.access->keys_file.empty() && !fs::exists(config.access->keys_file)) {
    const std::string folder = fs::path(config.access->keys_file).parent_path().string();
    create_key_set(config.access->keys_file, "k1", folder.empty() ? "." : folder);
    std::cout << config.access->keys_file << ": a key set with key k1; " << (folder.empty() ? "." : folder)
              << "/k1.pem signs tokens\n";
    ++made;
  }
  if (config.tls) {
    const auto& server = config.tls->server;
    const bool has_certificate = fs::exists(server.certificate), has_key = fs::exists(server.key);
    if (has_certificate != has_key)
      throw std::runtime_error((has_key ? server.certificate : server.key) +
                               ": missing beside the other of the pair; a half pair is not made whole");
    if (!has_certificate) {
      make_certificate(server.certificate, server.key, options.name, parse_days(options.life));
      std::cout << server.certificate << ", " << server.key << ": self-signed for " << options.name << "\n";
      ++made;
    }
  }
  if (made == 0) std::cout << options.file << ": lacks nothing this command makes\n";
  return kDone;
}

}  // namespace

void add_certificate_commands(CLI::App& app, std::optional<int>& code) {
  const auto options = std::make_shared<CertificateOptions>();
  const auto run = [&code, options](int (*work)(const CertificateOptions&)) {
    return [&code, options, work] {
      try {
        code = work(*options);
      } catch (const std::exception& fault) {
        std::cerr << "rookproxyctl: " << fault.what() << "\n";
        code = kRefused;
      }
    };
  };
  const auto add_name = [&](CLI::App* command) {
    command->add_option("--name", options->name, "the DNS name it is for (default localhost)");
    command->add_option("--days", options->life, "how long it is good, 1 to 3650 (default 30)");
  };
  auto* certificate = app.add_subcommand("certificate", "certificates for trials");
  certificate->require_subcommand(1);
  auto* made = certificate->add_subcommand("new", "a self-signed certificate and its key, for trials");
  made->add_option("--certificate", options->certificate, "where the certificate goes, PEM")
      ->required()
      ->type_name("FILE");
  made->add_option("--key", options->key, "where its private key goes, PEM")->required()->type_name("FILE");
  add_name(made);
  made->callback(run(new_certificate));
  auto* prepared = app.add_subcommand(
      "prepare", "makes the key set and certificate that a dispatcher's file names and lacks");
  prepared->add_option("--file", options->file, "the dispatcher's file")->required()->type_name("FILE");
  add_name(prepared);
  prepared->callback(run(prepare));
}

}  // namespace rookproxy
