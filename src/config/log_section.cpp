// The section [log] of the configuration of a dispatcher or an agent.
#include "config/sections.h"

namespace rookproxy {

void configure_log(Logger& log, const LogConfig& config) {
  log.set_min_level(config.level);
  log.set_syslog_target(config.syslog, config.facility);
}

LogConfig read_log_config(const ConfigReader& log) {
  constexpr std::int64_t kMaxFacility = 23;  // local7
  log.reject_unknown_keys({"level", "syslog", "facility"});
  LogConfig config;
  const auto level = parse_log_level(log.text_or("level", "info"));
  if (!level) throw ConfigError(log.path("level"), "not one of error, warning, notice, info, debug");
  config.level = *level;
  if (log.has("syslog")) config.syslog = log.endpoint("syslog");
  config.facility = static_cast<int>(log.integer_or("facility", config.facility, 0, kMaxFacility));
  return config;
}

}  // namespace rookproxy
