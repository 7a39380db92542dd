// The section [log] of a dispatcher's and of an agent's configuration.
#include "config/sections.h"

namespace rookproxy {

void configure_log(Logger& log, const LogConfig& config) {
  log.set_min_level(config.level);
  log.set_syslog_target(config.syslog, config.facility);
}

LogConfig read_log_config(const ConfigReader& log) {
  constexpr std::int64_t kLastFacility = 23;  // local7
  log.allow_only({"level", "syslog", "facility"});
  LogConfig config;
  const auto level = parse_log_level(log.text_or("level", "info"));
  if (!level) throw ConfigError(log.path("level"), "not one of error, warning, notice, info, debug");
  config.level = *level;
  if (log.has("syslog")) config.syslog = log.endpoint("syslog");
  config.facility = static_cast<int>(log.integer_or("facility", config.facility, 0, kLastFacility));
  return config;
}

}  // namespace rookproxy
