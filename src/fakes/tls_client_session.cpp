#include "fakes/tls_client_session.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <poll.h>

#include <stdexcept>

#include "fakes/sockets.h"

namespace rookproxy::test {
namespace {

using Bio = std::unique_ptr<BIO, decltype(&BIO_free)>;

// The text must outlive the result.
Bio read_only_bio(const std::string& text) {
  return {BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), BIO_free};
}

}  // namespace

TlsClientSession::TlsClientSession(int fd, const std::string& certificate, const std::string& key) : fd_(fd) {
  SSL_CTX* context = SSL_CTX_new(TLS_client_method());
  ssl_ = std::shared_ptr<SSL>(SSL_new(context), SSL_free);
  SSL_CTX_free(context);  // the session holds its own reference
  if (!certificate.empty()) use_certificate(certificate, key);
  SSL_set_fd(ssl_.get(), fd);
  for (;;) {
    ERR_clear_error();
    const int outcome = SSL_connect(ssl_.get());
    if (outcome == 1) return;
    if (!wait_for_io(outcome, kWaitLimit)) throw std::runtime_error("TLS handshake failed");
  }
}

void TlsClientSession::use_certificate(const std::string& certificate, const std::string& key) {
  const Bio certificate_text = read_only_bio(certificate);
  X509* own_certificate = PEM_read_bio_X509(certificate_text.get(), nullptr, nullptr, nullptr);
  const Bio key_text = read_only_bio(key);
  EVP_PKEY* own_key = PEM_read_bio_PrivateKey(key_text.get(), nullptr, nullptr, nullptr);
  SSL_use_certificate(ssl_.get(), own_certificate);
  SSL_use_PrivateKey(ssl_.get(), own_key);
  X509_free(own_certificate);
  EVP_PKEY_free(own_key);
}

// Waits for the I/O that the call with this outcome requires. Returns false after an error or the time limit.
bool TlsClientSession::wait_for_io(int outcome, std::chrono::milliseconds within) {
  const int error = SSL_get_error(ssl_.get(), outcome);
  if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) return false;
  pollfd request{fd_, static_cast<short>(error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT), 0};
  return ::poll(&request, 1, static_cast<int>(within.count())) > 0;
}

bool TlsClientSession::send(std::string_view bytes) {
  while (!bytes.empty()) {
    ERR_clear_error();
    const int sent = SSL_write(ssl_.get(), bytes.data(), static_cast<int>(bytes.size()));
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    } else if (!wait_for_io(sent, kWaitLimit)) {
      return false;
    }
  }
  return true;
}

int TlsClientSession::read(char* buffer, int size, std::chrono::milliseconds within) {
  for (;;) {
    ERR_clear_error();
    const int received = SSL_read(ssl_.get(), buffer, size);
    if (received > 0) return received;
    const int error = SSL_get_error(ssl_.get(), received);
    if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) return 0;
    if (!wait_for_io(received, within)) return -1;
  }
}

}  // namespace rookproxy::test
