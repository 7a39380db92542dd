// MySQL in a configuration: engines that speak it, and the frontend for MySQL clients.
#include <cstddef>
#include <cstdint>

#include "config/sections.h"

namespace rookproxy {
namespace {

// The class that a key of [mysql] names. Throws ConfigError if the settings have no such class.
const routing::ClassSettings& named_class(const ConfigReader& mysql, const char* key,
                                          const routing::Settings& settings) {
  const std::string name = mysql.text(key);
  for (const routing::ClassSettings& request_class : settings.classes) {
    if (request_class.name == name) return request_class;
  }
  throw ConfigError(mysql.path(key), "no class '" + name + "' in settings.grades");
}

}  // namespace

void read_engine_protocol(const ConfigReader& document, Config& config) {
  const std::string protocol = document.text_or("link", "lines");
  if (protocol != "lines" && protocol != "mysql") {
    throw ConfigError("link", "neither 'lines' nor 'mysql' ('" + protocol + "')");
  }
  if (protocol == "lines") return;
  config.engine_protocol = EngineProtocol::kMysql;
  const ConfigReader engines = document.table("mysql_engines");
  engines.reject_unknown_keys({"user", "password", "schema"});
  config.mysql_engines.user = engines.text("user");
  config.mysql_engines.password = engines.text_or("password", "");
  config.mysql_engines.schema = engines.text_or("schema", "");
}

MysqlFrontendConfig read_mysql_frontend(const ConfigReader& document, const Config& config) {
  constexpr std::int64_t kMinDeadlineMs = 50;
  constexpr std::int64_t kMinIdleMs = 100;
  if (config.engine_protocol != EngineProtocol::kMysql) {
    throw ConfigError("link", "must be 'mysql' for the MySQL frontend");
  }
  const ConfigReader mysql = document.table("mysql");
  mysql.reject_unknown_keys({"listen", "users", "read_class", "load_class", "read_deadline_ms",
                             "load_deadline_ms", "most_connections", "idle_ms", "passed_socket"});
  MysqlFrontendConfig frontend;
  frontend.listen = mysql.endpoint("listen");
  frontend.passed_socket = mysql.passed_socket();
  const ConfigReader users = mysql.table("users");
  for (const auto& [name, password] : users.json().items()) frontend.users[name] = users.text(name);
  if (frontend.users.empty()) throw ConfigError(mysql.path("users"), "empty, so no client could log in");
  const routing::ClassSettings& read = named_class(mysql, "read_class", config.settings);
  const routing::ClassSettings& load = named_class(mysql, "load_class", config.settings);
  // A statement that may write must not be sent twice, so its class must not be idempotent.
  if (load.idempotency != routing::Idempotency::kNonIdempotent) {
    throw ConfigError(mysql.path("load_class"),
                      "class '" + load.name + "' allows repeated attempts; its effect must be side_effect");
  }
  frontend.read_class = read.name;
  frontend.load_class = load.name;
  frontend.read_timeout =
      mysql.milliseconds_or("read_deadline_ms", from_routing_duration(read.timeout), kMinDeadlineMs);
  frontend.load_timeout =
      mysql.milliseconds_or("load_deadline_ms", from_routing_duration(load.timeout), kMinDeadlineMs);
  frontend.max_connections = static_cast<std::size_t>(
      mysql.integer_or("most_connections", 100, 1, static_cast<std::int64_t>(config.sockets)));
  frontend.idle_timeout = mysql.milliseconds_or("idle_ms", frontend.idle_timeout, kMinIdleMs);
  return frontend;
}

}  // namespace rookproxy
