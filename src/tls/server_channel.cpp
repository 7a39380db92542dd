#include "tls/server_channel.h"

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <utility>
#include <vector>

#include "tls/openssl_support.h"

namespace rookproxy::tls {
namespace {

constexpr std::size_t kReadChunkSize = 16 * 1024;

std::string serial_number(X509* certificate) {
  const BignumPtr number(ASN1_INTEGER_to_BN(X509_get0_serialNumber(certificate), nullptr));
  if (!number) return "";
  char* hex = BN_bn2hex(number.get());
  std::string text(hex);
  OPENSSL_free(hex);
  return text;
}

std::vector<std::string> alternative_names(X509* certificate) {
  const GeneralNamesPtr names(
      static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr)));
  std::vector<std::string> texts;
  for (int i = 0; names && i < sk_GENERAL_NAME_num(names.get()); ++i) {
    std::string text = to_text(*sk_GENERAL_NAME_value(names.get(), i));
    if (!text.empty()) texts.push_back(std::move(text));
  }
  return texts;
}

}  // namespace

ServerChannel::ServerChannel(std::shared_ptr<const ServerContext> context)
    : context_(std::move(context)), ssl_(SSL_new(context_->get()), SSL_free) {
  if (!ssl_) throw TlsError("TLS: " + take_error_reason());
  // libssl reads and writes memory buffers; the socket belongs to the stream.
  BIO* in = BIO_new(BIO_s_mem());
  BIO* out = BIO_new(BIO_s_mem());
  BIO_set_mem_eof_return(in, -1);
  BIO_set_mem_eof_return(out, -1);
  SSL_set_bio(ssl_.get(), in, out);
  SSL_set_accept_state(ssl_.get());
}

// Moves the bytes that libssl has to send to `out`.
void ServerChannel::take_output(std::string& out) {
  char* data = nullptr;
  BIO* bio = SSL_get_wbio(ssl_.get());
  const long size = BIO_get_mem_data(bio, &data);
  if (size <= 0) return;
  out.append(data, static_cast<std::size_t>(size));
  (void)BIO_reset(bio);
}

void ServerChannel::set_failure(const char* activity) {
  const long verification = SSL_get_verify_result(ssl_.get());
  if (verification != X509_V_OK && !SSL_is_init_finished(ssl_.get())) {
    end_reason_ = std::string("TLS: client certificate: ") + X509_verify_cert_error_string(verification);
    ERR_clear_error();
  } else {
    end_reason_ = std::string("TLS: ") + activity + ": " + take_error_reason();
  }
}

bool ServerChannel::receive(std::string_view bytes, std::string& plain, std::string& out) {
  if (!end_reason_.empty()) return false;
  ERR_clear_error();
  if (!bytes.empty()) BIO_write(SSL_get_rbio(ssl_.get()), bytes.data(), static_cast<int>(bytes.size()));
  if (continue_handshake()) read_records(plain);
  take_output(out);
  return end_reason_.empty();
}

// Returns false if the handshake is not complete yet or has failed.
bool ServerChannel::continue_handshake() {
  if (SSL_is_init_finished(ssl_.get())) return true;
  const int result = SSL_do_handshake(ssl_.get());
  if (result == 1) return true;
  if (SSL_get_error(ssl_.get(), result) != SSL_ERROR_WANT_READ) set_failure("handshake");
  return false;
}

void ServerChannel::read_records(std::string& plain) {
  char chunk[kReadChunkSize];
  int received = SSL_read(ssl_.get(), chunk, sizeof chunk);
  while (received > 0) {
    plain.append(chunk, static_cast<std::size_t>(received));
    received = SSL_read(ssl_.get(), chunk, sizeof chunk);
  }
  const int error = SSL_get_error(ssl_.get(), received);
  if (error == SSL_ERROR_ZERO_RETURN) {
    end_reason_ = "closed by the peer";
  } else if (error != SSL_ERROR_WANT_READ) {
    set_failure("record");
  }
}

void ServerChannel::seal(std::string_view plain, std::string& out) {
  ERR_clear_error();
  if (!plain.empty()) SSL_write(ssl_.get(), plain.data(), static_cast<int>(plain.size()));
  take_output(out);
}

void ServerChannel::finish(std::string& out) {
  ERR_clear_error();
  SSL_shutdown(ssl_.get());
  take_output(out);
}

bool ServerChannel::is_handshake_complete() const { return SSL_is_init_finished(ssl_.get()) == 1; }

std::optional<policy::CertificateInfo> ServerChannel::peer_certificate() const {
  X509* certificate = SSL_get0_peer_certificate(ssl_.get());
  if (!certificate || SSL_get_verify_result(ssl_.get()) != X509_V_OK) return std::nullopt;
  policy::CertificateInfo info;
  info.subject = to_text(X509_get_subject_name(certificate));
  info.alternative_names = alternative_names(certificate);
  info.serial = serial_number(certificate);
  info.not_after = to_time(X509_get0_notAfter(certificate)).value_or(Time());
  return info;
}

policy::Denial ServerChannel::verify_peer(const ServerContext& context) const {
  X509* certificate = SSL_get0_peer_certificate(ssl_.get());
  if (!certificate) return policy::Denial::kNoCredentials;
  std::vector<std::shared_ptr<X509>> chain;
  const STACK_OF(X509)* presented = SSL_get_peer_cert_chain(ssl_.get());
  for (int i = 0; presented && i < sk_X509_num(presented); ++i) {
    X509* issuer = sk_X509_value(presented, i);
    X509_up_ref(issuer);
    chain.emplace_back(issuer, X509_free);
  }
  return context.verify_chain(certificate, chain);
}

}  // namespace rookproxy::tls
