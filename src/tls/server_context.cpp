#include "tls/server_context.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include "tls/openssl_support.h"
#include "tls/pem_files.h"

namespace rookproxy::tls {
namespace {

using policy::Denial;
using policy::RevocationStatus;

constexpr int kMaxChainDepth = 4;

// The index of the settings in the extra data of a store, for on_certificate_verified().
int settings_index() {
  static const int index =
      CRYPTO_get_ex_new_index(CRYPTO_EX_INDEX_X509_STORE, 0, nullptr, nullptr, nullptr, nullptr);
  return index;
}

// Accepts an expired CRL during its grace period. libcrypto calls this for each step of a verification.
int on_certificate_verified(int verified, X509_STORE_CTX* context) {
  if (verified == 1 || X509_STORE_CTX_get_error(context) != X509_V_ERR_CRL_HAS_EXPIRED) return verified;
  const auto* settings = static_cast<const ServerSettings*>(
      X509_STORE_get_ex_data(X509_STORE_CTX_get0_store(context), settings_index()));
  const X509_CRL* crl = X509_STORE_CTX_get0_current_crl(context);
  if (!settings || !crl) return 0;
  const policy::CrlTimes times{to_time(X509_CRL_get0_lastUpdate(crl)).value_or(Time()),
                               to_time(X509_CRL_get0_nextUpdate(crl))};
  const RevocationStatus status =
      policy::revocation_status(times, system_now(), settings->crl_grace_period, settings->clock_leeway);
  if (policy::fails_closed(status)) return 0;
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

// Whether the next update of the first CRL is due before that of the second.
bool ends_before(const policy::CrlTimes& first, const policy::CrlTimes& second) {
  return first.next_update && (!second.next_update || *first.next_update < *second.next_update);
}

// The configuration key that names this file.
const char* settings_key(const ServerSettings& settings, const std::string& path) {
  if (path == settings.key) return "key";
  if (path == settings.client_ca) return "client_ca";
  if (path == settings.crl) return "crl";
  return "certificate";
}

// If the server's certificate or key does not exist, the message says how to create them.
std::string hint(const ServerSettings& settings, const FileError& error) {
  const bool is_own = error.path() == settings.key || error.path() == settings.certificate;
  if (!is_own || error.reason() != kUnreadable) return "";
  return "; `rookproxyctl certificate new --certificate " + settings.certificate + " --key " + settings.key +
         " --name NAME` creates a pair for testing";
}

TlsError to_tls_error(const ServerSettings& settings, const FileError& error) {
  return TlsError(std::string("tls.") + settings_key(settings, error.path()) + " (" + error.path() +
                  "): " + error.reason() + hint(settings, error));
}

}  // namespace

void ServerContext::create_context() {
  context_ = std::shared_ptr<SSL_CTX>(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
  if (!context_) throw TlsError("TLS: " + take_error_reason());
  SSL_CTX* context = context_.get();
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  SSL_CTX_set_options(context, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_NO_TICKET |
                                   SSL_OP_CIPHER_SERVER_PREFERENCE);
  // Session resumption is disabled: it would carry over a client certificate without verifying it again.
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(context, 0);
  SSL_CTX_set_max_early_data(context, 0);
  SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS);
}

void ServerContext::load_own_certificate() {
  const std::vector<X509Ptr> chain = read_certificates(settings_.certificate);
  X509* own = chain.front().get();
  if (SSL_CTX_use_certificate(context_.get(), own) != 1) {
    throw FileError(settings_.certificate, take_error_reason());
  }
  for (std::size_t i = 1; i < chain.size(); ++i) {
    const X509_NAME* subject = X509_get_subject_name(chain[i].get());
    if (X509_NAME_cmp(X509_get_issuer_name(chain[i - 1].get()), subject) != 0) {
      throw FileError(settings_.certificate, "certificate " + std::to_string(i + 1) + " (" +
                                                 to_text(subject) +
                                                 ") is not the issuer of the one before it");
    }
    SSL_CTX_add1_chain_cert(context_.get(), chain[i].get());
  }
  load_private_key(own);
  check_validity_period(own);
}

void ServerContext::load_private_key(x509_st* certificate) {
  const PrivateKeyPtr key = read_private_key(settings_.key);
  if (X509_check_private_key(certificate, key.get()) != 1) {
    ERR_clear_error();
    throw FileError(settings_.key, "is not the key of " + settings_.certificate);
  }
  if (SSL_CTX_use_PrivateKey(context_.get(), key.get()) != 1) {
    throw FileError(settings_.key, take_error_reason());
  }
}

void ServerContext::check_validity_period(const x509_st* certificate) {
  const std::optional<Time> not_before = to_time(X509_get0_notBefore(certificate));
  const std::optional<Time> not_after = to_time(X509_get0_notAfter(certificate));
  if (!not_before || !not_after) throw FileError(settings_.certificate, "the validity period can't be read");
  expires_at_ = *not_after;
  if (system_now() >= *not_after) {
    throw FileError(settings_.certificate, "expired at " + to_text(*not_after));
  }
  if (system_now() + settings_.clock_leeway < *not_before) {
    throw FileError(settings_.certificate, "is valid only from " + to_text(*not_before) + " on");
  }
}

void ServerContext::load_client_verification(const ServerContext* former) {
  store_ = std::shared_ptr<X509_STORE>(X509_STORE_new(), X509_STORE_free);
  X509_STORE_set_ex_data(store_.get(), settings_index(), &settings_);
  X509_STORE_set_verify_cb(store_.get(), on_certificate_verified);
  SSL_CTX_set1_cert_store(context_.get(), store_.get());
  if (settings_.client_certificates == ClientCertificates::kNone) return;
  load_client_ca();
  if (!settings_.crl.empty()) load_crls(former);
}

void ServerContext::load_client_ca() {
  for (const X509Ptr& certificate : read_certificates(settings_.client_ca)) {
    if (X509_check_ca(certificate.get()) < 1) {
      throw FileError(settings_.client_ca,
                      to_text(X509_get_subject_name(certificate.get())) + " is not a CA certificate");
    }
    X509_STORE_add_cert(store_.get(), certificate.get());
    SSL_CTX_add_client_CA(context_.get(), certificate.get());
  }
  const bool required = settings_.client_certificates == ClientCertificates::kRequired;
  SSL_CTX_set_verify(context_.get(), SSL_VERIFY_PEER | (required ? SSL_VERIFY_FAIL_IF_NO_PEER_CERT : 0),
                     nullptr);
  SSL_CTX_set_verify_depth(context_.get(), kMaxChainDepth);
}

void ServerContext::load_crls(const ServerContext* former) {
  const std::string& path = settings_.crl;
  for_each_crl(path, [this, &path](X509_CRL* crl) {
    const std::optional<Time> this_update = to_time(X509_CRL_get0_lastUpdate(crl));
    if (!this_update) throw FileError(path, "the update times can't be read");
    const policy::CrlTimes times{*this_update, to_time(X509_CRL_get0_nextUpdate(crl))};
    // Of several CRLs, the one that expires first limits how long revocations are known.
    if (!crl_times_ || ends_before(times, *crl_times_)) crl_times_ = times;
    X509_STORE_add_crl(store_.get(), crl);
  });
  if (!crl_times_) throw FileError(path, "contains no certificate revocation list (X509 CRL) in PEM");
  if (former && !policy::may_replace(former->crl_times_, *crl_times_)) {
    throw FileError(path, "is older than the list that is in force");
  }
  if (policy::revocation_status(crl_times_, system_now(), settings_.crl_grace_period,
                                settings_.clock_leeway) == RevocationStatus::kNotYetValid) {
    throw FileError(path, "is valid only from " + to_text(crl_times_->this_update) + " on");
  }
  X509_STORE_set_flags(store_.get(), X509_V_FLAG_CRL_CHECK | X509_V_FLAG_CRL_CHECK_ALL);
}

std::shared_ptr<const ServerContext> ServerContext::load(const ServerSettings& settings,
                                                         const ServerContext* former) {
  const std::shared_ptr<ServerContext> context(new ServerContext());
  context->settings_ = settings;
  context->create_context();
  try {
    context->load_own_certificate();
    context->load_client_verification(former);
  } catch (const FileError& error) {
    throw to_tls_error(settings, error);
  }
  return context;
}

Denial ServerContext::verify_chain(x509_st* certificate,
                                   const std::vector<std::shared_ptr<x509_st>>& chain) const {
  const StoreContextPtr context(X509_STORE_CTX_new());
  const CertificateStackPtr untrusted(sk_X509_new_null());
  for (const auto& issuer : chain) sk_X509_push(untrusted.get(), issuer.get());
  int error = X509_V_ERR_UNSPECIFIED;
  if (context && X509_STORE_CTX_init(context.get(), store_.get(), certificate, untrusted.get()) == 1) {
    X509_STORE_CTX_set_default(context.get(), "ssl_client");
    X509_STORE_CTX_set_verify_cb(context.get(), on_certificate_verified);
    X509_verify_cert(context.get());
    // The return value is not enough: verification may succeed and still leave an error that must be
    // rejected.
    error = X509_STORE_CTX_get_error(context.get());
  }
  ERR_clear_error();
  return to_denial(error);
}

std::optional<Time> ServerContext::revocation_known_until() const {
  if (!crl_times_ || !crl_times_->next_update) return std::nullopt;
  return *crl_times_->next_update + settings_.crl_grace_period;
}

std::string describe(const ServerContext& context) {
  const X509* own = SSL_CTX_get0_certificate(context.get());
  std::string text = context.settings().certificate + ": " + to_text(X509_get_subject_name(own)) +
                     ", issued by " + to_text(X509_get_issuer_name(own)) + ", expires at " +
                     to_text(context.expires_at());
  if (const auto known_until = context.revocation_known_until()) {
    text += "\n" + context.settings().crl + ": accepted until " + to_text(*known_until);
  }
  return text;
}

}  // namespace rookproxy::tls
