#include "tls/context.h"

#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <cstring>
#include <ctime>

namespace rookproxy::tls {
namespace {

using policy::Denial;

template <class T, void (*free_it)(T*)>
struct OpenSslDeleter {
  void operator()(T* one) const { free_it(one); }
};
using BioPtr = std::unique_ptr<BIO, OpenSslDeleter<BIO, BIO_free_all>>;
using X509Ptr = std::unique_ptr<X509, OpenSslDeleter<X509, X509_free>>;
using CrlPtr = std::unique_ptr<X509_CRL, OpenSslDeleter<X509_CRL, X509_CRL_free>>;
using StoreContextPtr = std::unique_ptr<X509_STORE_CTX, OpenSslDeleter<X509_STORE_CTX, X509_STORE_CTX_free>>;

// libcrypto's own words for what went wrong first, and nothing left behind for the next who asks.
std::string openssl_reason() {
  const unsigned long code = ERR_get_error();
  ERR_clear_error();
  if (code == 0) return "no reason given";
  const char* reason = ERR_reason_error_string(code);
  return reason ? reason : "error " + std::to_string(code);
}

struct FileError {
  std::string path, reason;
};
[[noreturn]] void reject_file(const std::string& path, const std::string& why) { throw FileError{path, why}; }

BioPtr open_pem(const std::string& path) {
  BioPtr file(BIO_new_file(path.c_str(), "r"));
  if (!file) {
    ERR_clear_error();
    reject_file(path, "can't be read");
  }
  return file;
}

std::optional<Time> to_time(const ASN1_TIME* at) {
  std::tm parts{};
  if (!at || ASN1_TIME_to_tm(at, &parts) != 1) return std::nullopt;
  return Time(std::chrono::seconds(::timegm(&parts)));
}

std::vector<X509Ptr> read_certificates(const std::string& path) {
  const BioPtr file = open_pem(path);
  std::vector<X509Ptr> list;
  while (X509* one = PEM_read_bio_X509(file.get(), nullptr, nullptr, nullptr)) list.emplace_back(one);
  // What ends the list is either the file's end or a fault; a file cut in the middle must not pass for a
  // short one.
  const unsigned long end = ERR_peek_last_error();
  ERR_clear_error();
  if (end != 0 && ERR_GET_REASON(end) != PEM_R_NO_START_LINE)
    reject_file(path, "a certificate in it can't be read");
  if (list.empty()) reject_file(path, "holds no certificate in PEM");
  return list;
}

std::string name_text(const X509_NAME* name) {
  const BioPtr out(BIO_new(BIO_s_mem()));
  X509_NAME_print_ex(out.get(), name, 0, XN_FLAG_RFC2253);
  char* data = nullptr;
  const long size = BIO_get_mem_data(out.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

std::string date_text(Time at) {
  const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

Time system_now() { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); }

// A list that is overdue is believed for its grace. The settings hang on the store.
int settings_index() {
  static const int index =
      CRYPTO_get_ex_new_index(CRYPTO_EX_INDEX_X509_STORE, 0, nullptr, nullptr, nullptr, nullptr);
  return index;
}

int on_certificate_verified(int fine, X509_STORE_CTX* context) {
  if (fine == 1 || X509_STORE_CTX_get_error(context) != X509_V_ERR_CRL_HAS_EXPIRED) return fine;
  const auto* settings = static_cast<const ServerSettings*>(
      X509_STORE_get_ex_data(X509_STORE_CTX_get0_store(context), settings_index()));
  const X509_CRL* crl = X509_STORE_CTX_get0_current_crl(context);
  if (!settings || !crl) return 0;
  const policy::CrlTimes times{to_time(X509_CRL_get0_lastUpdate(crl)).value_or(Time()),
                               to_time(X509_CRL_get0_nextUpdate(crl))};
  const auto standing =
      policy::revocation_status(times, system_now(), settings->crl_grace_period, settings->clock_leeway);
  if (policy::fails_closed(standing)) return 0;
  X509_STORE_CTX_set_error(context, X509_V_OK);
  return 1;
}

Denial to_denial(int error) {
  switch (error) {
    case X509_V_OK:
      return Denial::kNone;
    case X509_V_ERR_CERT_REVOKED:
      return Denial::kRevoked;
    case X509_V_ERR_CERT_HAS_EXPIRED:
      return Denial::kExpired;
    case X509_V_ERR_CERT_NOT_YET_VALID:
      return Denial::kNotYetValid;
    case X509_V_ERR_UNABLE_TO_GET_CRL:
    case X509_V_ERR_CRL_HAS_EXPIRED:
    case X509_V_ERR_CRL_NOT_YET_VALID:
    case X509_V_ERR_CRL_SIGNATURE_FAILURE:
    case X509_V_ERR_UNABLE_TO_GET_CRL_ISSUER:
    case X509_V_ERR_CRL_PATH_VALIDATION_ERROR:
      return Denial::kRevocationUnknown;
    default:
      return Denial::kUntrustedCertificate;
  }
}

std::string alternative_name_text(GENERAL_NAME* name) {
  const auto text = [](const ASN1_STRING* one) {
    return std::string(reinterpret_cast<const char*>(ASN1_STRING_get0_data(one)),
                       static_cast<std::size_t>(ASN1_STRING_length(one)));
  };
  // A zero byte in a name would end it early for others.
  const auto plain = [](const std::string& prefix, const std::string& value) {
    return value.find('\0') == value.npos ? prefix + value : std::string();
  };
  switch (name->type) {
    case GEN_URI:
      return plain("URI:", text(name->d.uniformResourceIdentifier));
    case GEN_DNS:
      return plain("DNS:", text(name->d.dNSName));
    case GEN_EMAIL:
      return plain("email:", text(name->d.rfc822Name));
    default:
      return "";
  }
}

}  // namespace

std::vector<std::string> ServerSettings::files() const {
  std::vector<std::string> list;
  for (const auto& file : {certificate, key, client_ca, crl}) {
    if (!file.empty()) list.push_back(file);
  }
  return list;
}

void ServerContext::load_own_certificate() {
  const auto chain = read_certificates(settings_.certificate);
  X509* own = chain.front().get();
  if (SSL_CTX_use_certificate(context_.get(), own) != 1) reject_file(settings_.certificate, openssl_reason());
  for (std::size_t i = 1; i < chain.size(); ++i) {
    if (X509_NAME_cmp(X509_get_issuer_name(chain[i - 1].get()), X509_get_subject_name(chain[i].get())) != 0) {
      reject_file(settings_.certificate, "certificate " + std::to_string(i + 1) + " (" +
                                             name_text(X509_get_subject_name(chain[i].get())) +
                                             ") is not the issuer of the one before it");
    }
    SSL_CTX_add1_chain_cert(context_.get(), chain[i].get());
  }
  const BioPtr file = open_pem(settings_.key);
  const std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY, EVP_PKEY_free>> key(
      PEM_read_bio_PrivateKey(file.get(), nullptr, nullptr, nullptr));
  if (!key) {
    ERR_clear_error();
    reject_file(settings_.key, "holds no private key in PEM");
  }
  if (X509_check_private_key(own, key.get()) != 1) {
    ERR_clear_error();
    reject_file(settings_.key, "is not the key of " + settings_.certificate);
  }
  if (SSL_CTX_use_PrivateKey(context_.get(), key.get()) != 1) reject_file(settings_.key, openssl_reason());
  const auto begins = to_time(X509_get0_notBefore(own)), ends = to_time(X509_get0_notAfter(own));
  if (!begins || !ends) reject_file(settings_.certificate, "its times can't be read");
  expires_at_ = *ends;
  if (system_now() >= *ends) reject_file(settings_.certificate, "expired at " + date_text(*ends));
  if (system_now() + settings_.clock_leeway < *begins)
    reject_file(settings_.certificate, "is good only from " + date_text(*begins) + " on");
}

void ServerContext::load_client_verification(const ServerContext* former) {
  store_ = std::shared_ptr<X509_STORE>(X509_STORE_new(), X509_STORE_free);
  X509_STORE_set_ex_data(store_.get(), settings_index(), &settings_);
  X509_STORE_set_verify_cb(store_.get(), on_certificate_verified);
  SSL_CTX_set1_cert_store(context_.get(), store_.get());
  if (settings_.client_certificates == ClientCertificates::kNone) return;
  for (const auto& one : read_certificates(settings_.client_ca)) {
    if (X509_check_ca(one.get()) < 1) {
      reject_file(settings_.client_ca,
                  name_text(X509_get_subject_name(one.get())) + " is no CA's certificate");
    }
    X509_STORE_add_cert(store_.get(), one.get());
    SSL_CTX_add_client_CA(context_.get(), one.get());
  }
  const bool required = settings_.client_certificates == ClientCertificates::kRequired;
  SSL_CTX_set_verify(context_.get(), SSL_VERIFY_PEER | (required ? SSL_VERIFY_FAIL_IF_NO_PEER_CERT : 0),
                     nullptr);
  SSL_CTX_set_verify_depth(context_.get(), 4);
  if (settings_.crl.empty()) return;
  const BioPtr file = open_pem(settings_.crl);
  while (X509_CRL* read = PEM_read_bio_X509_CRL(file.get(), nullptr, nullptr, nullptr)) {
    const CrlPtr crl(read);
    const auto made = to_time(X509_CRL_get0_lastUpdate(read));
    if (!made) reject_file(settings_.crl, "its times can't be read");
    const policy::CrlTimes times{*made, to_time(X509_CRL_get0_nextUpdate(read))};
    // Of several, what is known is known as long as by the one that ends first.
    if (!crl_ || (times.next_update && (!crl_->next_update || *times.next_update < *crl_->next_update)))
      crl_ = times;
    X509_STORE_add_crl(store_.get(), read);
  }
  const unsigned long end = ERR_peek_last_error();
  ERR_clear_error();
  if (end != 0 && ERR_GET_REASON(end) != PEM_R_NO_START_LINE)
    reject_file(settings_.crl, "a list in it can't be read");
  if (!crl_) reject_file(settings_.crl, "holds no list of revoked certificates (X509 CRL) in PEM");
  if (former && !policy::may_replace(former->crl_, *crl_))
    reject_file(settings_.crl, "is older than the list that is in force");
  if (policy::revocation_status(crl_, system_now(), settings_.crl_grace_period, settings_.clock_leeway) ==
      policy::RevocationStatus::kNotYetValid) {
    reject_file(settings_.crl, "is good only from " + date_text(crl_->this_update) + " on");
  }
  X509_STORE_set_flags(store_.get(), X509_V_FLAG_CRL_CHECK | X509_V_FLAG_CRL_CHECK_ALL);
}

std::shared_ptr<const ServerContext> ServerContext::load(const ServerSettings& settings,
                                                         const ServerContext* former) {
  const std::shared_ptr<ServerContext> made(new ServerContext());
  made->settings_ = settings;
  made->context_ = std::shared_ptr<SSL_CTX>(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
  if (!made->context_) throw TlsError("TLS: " + openssl_reason());
  SSL_CTX* context = made->context_.get();
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  SSL_CTX_set_options(context, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_NO_TICKET |
                                   SSL_OP_CIPHER_SERVER_PREFERENCE);
  // No session is resumed: a resumed one would bring a certificate along that nobody has looked at anew.
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(context, 0);
  SSL_CTX_set_max_early_data(context, 0);
  SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS);
  try {
    made->load_own_certificate();
    made->load_client_verification(former);
  } catch (const FileError& fault) {
    const char* key = fault.path == settings.key         ? "key"
                      : fault.path == settings.client_ca ? "client_ca"
                      : fault.path == settings.crl       ? "crl"
                                                         : "certificate";
    // A certificate and key that are missing altogether are what a trial lacks first: say what makes them.
    const bool own = fault.path == settings.key || fault.path == settings.certificate;
    const std::string hint = own && fault.reason == "can't be read"
                                 ? "; `rookproxyctl certificate new --certificate " + settings.certificate +
                                       " --key " + settings.key + " --name NAME` makes a pair for trials"
                                 : "";
    throw TlsError(std::string("tls.") + key + " (" + fault.path + "): " + fault.reason + hint);
  }
  return made;
}

policy::Denial ServerContext::verify_chain(x509_st* certificate,
                                           const std::vector<std::shared_ptr<x509_st>>& chain) const {
  const StoreContextPtr context(X509_STORE_CTX_new());
  STACK_OF(X509)* others = sk_X509_new_null();
  for (const auto& one : chain) sk_X509_push(others, one.get());
  int error = X509_V_ERR_UNSPECIFIED;
  if (context && X509_STORE_CTX_init(context.get(), store_.get(), certificate, others) == 1) {
    X509_STORE_CTX_set_default(context.get(), "ssl_client");
    X509_STORE_CTX_set_verify_cb(context.get(), on_certificate_verified);
    error = X509_verify_cert(context.get()) == 1 ? X509_V_OK : X509_STORE_CTX_get_error(context.get());
    if (error == X509_V_OK && X509_STORE_CTX_get_error(context.get()) != X509_V_OK)
      error = X509_STORE_CTX_get_error(context.get());
  }
  sk_X509_free(others);
  ERR_clear_error();
  return to_denial(error);
}

std::optional<Time> ServerContext::revocation_known_until() const {
  if (!crl_ || !crl_->next_update) return std::nullopt;
  return *crl_->next_update + settings_.crl_grace_period;
}

std::string describe(const ServerContext& context) {
  const X509* own = SSL_CTX_get0_certificate(context.get());
  std::string text = context.settings().certificate + ": " + name_text(X509_get_subject_name(own)) +
                     ", issued by " + name_text(X509_get_issuer_name(own)) + ", ends at " +
                     date_text(context.expires_at());
  if (const auto until = context.revocation_known_until())
    text += "\n" + context.settings().crl + ": believed until " + date_text(*until);
  return text;
}

ServerChannel::ServerChannel(std::shared_ptr<const ServerContext> context)
    : context_(std::move(context)), ssl_(SSL_new(context_->get()), SSL_free) {
  if (!ssl_) throw TlsError("TLS: " + openssl_reason());
  // Bytes go by way of two memory buffers: the socket is the stream's.
  BIO* in = BIO_new(BIO_s_mem());
  BIO* out = BIO_new(BIO_s_mem());
  BIO_set_mem_eof_return(in, -1);
  BIO_set_mem_eof_return(out, -1);
  SSL_set_bio(ssl_.get(), in, out);
  SSL_set_accept_state(ssl_.get());
}

namespace {
void take_output(SSL* ssl, std::string& out) {
  char* data = nullptr;
  BIO* from = SSL_get_wbio(ssl);
  const long size = BIO_get_mem_data(from, &data);
  if (size <= 0) return;
  out.append(data, static_cast<std::size_t>(size));
  (void)BIO_reset(from);
}
}  // namespace

bool ServerChannel::set_failure(const char* doing) {
  if (const long verdict = SSL_get_verify_result(ssl_.get());
      verdict != X509_V_OK && !SSL_is_init_finished(ssl_.get())) {
    end_reason_ = std::string("TLS: client certificate: ") + X509_verify_cert_error_string(verdict);
    ERR_clear_error();
  } else {
    end_reason_ = std::string("TLS: ") + doing + ": " + openssl_reason();
  }
  return false;
}

bool ServerChannel::receive(std::string_view bytes, std::string& plain, std::string& out) {
  if (!end_reason_.empty()) return false;
  ERR_clear_error();
  if (!bytes.empty()) BIO_write(SSL_get_rbio(ssl_.get()), bytes.data(), static_cast<int>(bytes.size()));
  bool goes_on = true;
  if (!SSL_is_init_finished(ssl_.get())) {
    const int done = SSL_do_handshake(ssl_.get());
    if (done != 1) {
      const int error = SSL_get_error(ssl_.get(), done);
      if (error != SSL_ERROR_WANT_READ) goes_on = set_failure("handshake");
      take_output(ssl_.get(), out);
      return goes_on;
    }
  }
  for (;;) {
    char chunk[16 * 1024];
    const int got = SSL_read(ssl_.get(), chunk, sizeof chunk);
    if (got > 0) {
      plain.append(chunk, static_cast<std::size_t>(got));
      continue;
    }
    const int error = SSL_get_error(ssl_.get(), got);
    if (error == SSL_ERROR_ZERO_RETURN) {
      end_reason_ = "closed by the peer";
      goes_on = false;
    } else if (error != SSL_ERROR_WANT_READ) {
      goes_on = set_failure("record");
    }
    break;
  }
  take_output(ssl_.get(), out);
  return goes_on;
}

void ServerChannel::seal(std::string_view plain, std::string& out) {
  ERR_clear_error();
  if (!plain.empty()) SSL_write(ssl_.get(), plain.data(), static_cast<int>(plain.size()));
  take_output(ssl_.get(), out);
}

void ServerChannel::finish(std::string& out) {
  ERR_clear_error();
  SSL_shutdown(ssl_.get());
  take_output(ssl_.get(), out);
}

bool ServerChannel::is_handshake_complete() const { return SSL_is_init_finished(ssl_.get()) == 1; }

std::optional<policy::CertificateInfo> ServerChannel::peer_certificate() const {
  X509* certificate = SSL_get0_peer_certificate(ssl_.get());
  if (!certificate || SSL_get_verify_result(ssl_.get()) != X509_V_OK) return std::nullopt;
  policy::CertificateInfo facts;
  facts.subject = name_text(X509_get_subject_name(certificate));
  facts.not_after = to_time(X509_get0_notAfter(certificate)).value_or(Time());
  if (BIGNUM* number = ASN1_INTEGER_to_BN(X509_get0_serialNumber(certificate), nullptr)) {
    char* hex = BN_bn2hex(number);
    facts.serial = hex;
    OPENSSL_free(hex);
    BN_free(number);
  }
  auto* names =
      static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr));
  for (int i = 0; names && i < sk_GENERAL_NAME_num(names); ++i) {
    if (std::string one = alternative_name_text(sk_GENERAL_NAME_value(names, i)); !one.empty())
      facts.alternative_names.push_back(std::move(one));
  }
  GENERAL_NAMES_free(names);
  return facts;
}

policy::Denial ServerChannel::verify_peer(const ServerContext& context) const {
  X509* certificate = SSL_get0_peer_certificate(ssl_.get());
  if (!certificate) return Denial::kNoCredentials;
  std::vector<std::shared_ptr<X509>> chain;
  const STACK_OF(X509)* shown = SSL_get_peer_cert_chain(ssl_.get());
  for (int i = 0; shown && i < sk_X509_num(shown); ++i) {
    X509* one = sk_X509_value(shown, i);
    X509_up_ref(one);
    chain.emplace_back(one, X509_free);
  }
  return context.verify_chain(certificate, chain);
}

}  // namespace rookproxy::tls
