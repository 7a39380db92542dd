#include "fakes/tls_peer.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <poll.h>

#include <stdexcept>

namespace rookproxy::test {

using namespace std::chrono_literals;

TlsClientSession::TlsClientSession(int fd, const std::string& certificate, const std::string& key) : fd_(fd) {
  SSL_CTX* context = SSL_CTX_new(TLS_client_method());
  ssl_ = std::shared_ptr<SSL>(SSL_new(context), SSL_free);
  SSL_CTX_free(context);
  if (!certificate.empty()) {
    BIO* in = BIO_new_mem_buf(certificate.data(), static_cast<int>(certificate.size()));
    X509* own = PEM_read_bio_X509(in, nullptr, nullptr, nullptr);
    BIO_free(in);
    in = BIO_new_mem_buf(key.data(), static_cast<int>(key.size()));
    EVP_PKEY* own_key = PEM_read_bio_PrivateKey(in, nullptr, nullptr, nullptr);
    BIO_free(in);
    SSL_use_certificate(ssl_.get(), own);
    SSL_use_PrivateKey(ssl_.get(), own_key);
    X509_free(own);
    EVP_PKEY_free(own_key);
  }
  SSL_set_fd(ssl_.get(), fd);
  for (;;) {
    ERR_clear_error();
    const int done = SSL_connect(ssl_.get());
    if (done == 1) return;
    if (!wait_for_handshake_io(done, 20s)) throw std::runtime_error("the handshake failed");
  }
}

bool TlsClientSession::wait_for_handshake_io(int outcome, std::chrono::milliseconds within) {
  const int error = SSL_get_error(ssl_.get(), outcome);
  if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) return false;
  pollfd one{fd_, static_cast<short>(error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT), 0};
  return ::poll(&one, 1, static_cast<int>(within.count())) > 0;
}

bool TlsClientSession::send(std::string_view bytes) {
  while (!bytes.empty()) {
    ERR_clear_error();
    const int sent = SSL_write(ssl_.get(), bytes.data(), static_cast<int>(bytes.size()));
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    } else if (!wait_for_handshake_io(sent, 20s)) {
      return false;
    }
  }
  return true;
}

int TlsClientSession::read(char* bytes, int room, std::chrono::milliseconds within) {
  for (;;) {
    ERR_clear_error();
    const int got = SSL_read(ssl_.get(), bytes, room);
    if (got > 0) return got;
    const int error = SSL_get_error(ssl_.get(), got);
    if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) return 0;
    if (!wait_for_handshake_io(got, within)) return -1;
  }
}

}  // namespace rookproxy::test
