// Certificates, keys and lists of revoked certificates in PEM files.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "tls/openssl_support.h"

namespace rookproxy::tls {

// What is wrong with one of the files.
class FileError : public std::runtime_error {
 public:
  FileError(const std::string& path, const std::string& reason)
      : std::runtime_error(path + ": " + reason), path_(path), reason_(reason) {}

  [[nodiscard]] const std::string& path() const { return path_; }
  // Without the path.
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string path_;
  std::string reason_;
};

// The reason of a FileError for a file that can't be opened.
inline constexpr char kUnreadable[] = "can't be read";

// The certificates of a file, at least one, in its order. Throws FileError.
[[nodiscard]] std::vector<X509Ptr> read_certificates(const std::string& path);
// The private key of a file. Throws FileError.
[[nodiscard]] PrivateKeyPtr read_private_key(const std::string& path);
// Visits the lists of revoked certificates (X509 CRL) of a file, if there are any; `visit` may throw. Throws
// FileError, also after some lists were visited.
void for_each_crl(const std::string& path, const std::function<void(X509_CRL*)>& visit);

}  // namespace rookproxy::tls
