#include "tls/server_settings.h"

namespace rookproxy::tls {

std::vector<std::string> ServerSettings::files() const {
  std::vector<std::string> paths;
  for (const std::string& path : {certificate, key, client_ca, crl}) {
    if (!path.empty()) paths.push_back(path);
  }
  return paths;
}

}  // namespace rookproxy::tls
