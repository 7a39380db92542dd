// Reads certificates, private keys and certificate revocation lists (CRLs) from PEM files.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "tls/openssl_support.h"

namespace rookproxy::tls {

// An error in one of the files.
class FileError : public std::runtime_error {
 public:
  FileError(const std::string& path, const std::string& reason)
      : std::runtime_error(path + ": " + reason), path_(path), reason_(reason) {}

  [[nodiscard]] const std::string& path() const { return path_; }
  // The message without the path.
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string path_;
  std::string reason_;
};

// The reason in a FileError for a file that can't be opened.
inline constexpr char kUnreadable[] = "can't be read";

// Returns the certificates of a file, at least one, in their order. Throws FileError.
[[nodiscard]] std::vector<X509Ptr> read_certificates(const std::string& path);
// Returns the private key in a file. Throws FileError.
[[nodiscard]] PrivateKeyPtr read_private_key(const std::string& path);
// Calls `visit` for each CRL in a file; `visit` may throw. Throws FileError, possibly after some CRLs were
// visited.
void for_each_crl(const std::string& path, const std::function<void(X509_CRL*)>& visit);

}  // namespace rookproxy::tls
