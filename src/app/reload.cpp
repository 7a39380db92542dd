#include "app/reload.h"

#include <string>

namespace rookproxy {
namespace {

// Throws ConfigError if a section that only a restart can add or remove was added or removed.
void check_section_unchanged(bool was_there, bool is_there, const std::string& section) {
  if (was_there == is_there) return;
  throw ConfigError(section, is_there ? "can be added only with a restart"
                                      : "missing, but present in the running configuration");
}

bool same_tls_frontends(const Config& running, const Config& fresh) {
  const TlsConfig no_tls;
  const TlsConfig& former = running.tls ? *running.tls : no_tls;
  const TlsConfig& next = fresh.tls ? *fresh.tls : no_tls;
  return former.frames == next.frames && former.mysql == next.mysql;
}

}  // namespace

void keep_process_settings(const Config& running, Config& fresh) {
  fresh.listen = running.listen;
  fresh.admin = running.admin;
  fresh.passed_socket = running.passed_socket;
  fresh.engine_protocol = running.engine_protocol;
  fresh.sockets = running.sockets;
  fresh.memory_mb = running.memory_mb;
  if (!running.mysql) {
    fresh.mysql.reset();
  } else if (fresh.mysql) {
    fresh.mysql->passed_socket = running.mysql->passed_socket;
  }
}

void check_reloadable(const Config& running, const Config& fresh) {
  // Turning access control on or off at run time would deny or allow every open connection at once.
  check_section_unchanged(running.access.has_value(), fresh.access.has_value(), "access");
  if (!same_tls_frontends(running, fresh)) {
    throw ConfigError("tls", "the frontends with TLS can be changed only with a restart");
  }
  check_section_unchanged(running.cluster.has_value(), fresh.cluster.has_value(), "fleet");
}

}  // namespace rookproxy
