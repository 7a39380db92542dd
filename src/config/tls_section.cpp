// The section [tls]: TLS of the frontends.
#include <chrono>

#include "config/sections.h"

namespace rookproxy {
namespace {

// The schema has checked that the word is one of none, optional and required.
tls::ClientCertificates client_certificates(const std::string& word) {
  if (word == "optional") return tls::ClientCertificates::kOptional;
  if (word == "required") return tls::ClientCertificates::kRequired;
  return tls::ClientCertificates::kNone;
}

TlsConfig::MysqlMode mysql_mode(const std::string& word) {
  if (word == "optional") return TlsConfig::MysqlMode::kOptional;
  if (word == "required") return TlsConfig::MysqlMode::kRequired;
  return TlsConfig::MysqlMode::kOff;
}

}  // namespace

TlsConfig read_tls(const nlohmann::json& section) {
  check_schema(section, "tls");
  const ConfigReader reader(section, "tls");
  TlsConfig config;
  tls::ServerSettings& server = config.server;
  server.certificate = reader.text("certificate");
  server.key = reader.text("key");
  server.client_ca = reader.text_or("client_ca", "");
  server.crl = reader.text_or("crl", "");
  server.crl_grace_period = reader.milliseconds_or("crl_grace_ms", std::chrono::hours(1), 0);
  server.clock_leeway = reader.milliseconds_or("leeway_ms", std::chrono::seconds(5), 0);
  server.client_certificates = client_certificates(reader.text_or("client_certificates", "none"));
  const bool clients_verified = server.client_certificates != tls::ClientCertificates::kNone;
  if (clients_verified) static_cast<void>(reader.required("client_ca"));
  if (!clients_verified && !server.crl.empty()) {
    throw ConfigError("tls.crl", "requires client_certificates = \"optional\" or \"required\"");
  }
  config.frames = section.value("frames", false);
  config.mysql = mysql_mode(reader.text_or("mysql", "off"));
  if (!config.frames && config.mysql == TlsConfig::MysqlMode::kOff) {
    throw ConfigError("tls", "enabled for no frontend: set `frames` or `mysql`");
  }
  return config;
}

}  // namespace rookproxy
