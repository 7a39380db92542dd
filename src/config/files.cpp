#include "config/files.h"

#include <toml++/toml.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/config_error.h"

namespace rookproxy {

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ConfigError(path, "can't be read");
  return text.str();
}

nlohmann::json read_toml(const std::string& path) {
  try {
    std::ostringstream json;
    json << toml::json_formatter(toml::parse(read_file(path)));
    return nlohmann::json::parse(json.str());
  } catch (const toml::parse_error& error) {
    throw ConfigError(path + ":" + std::to_string(error.source().begin.line),
                      std::string(error.description()));
  }
}

}  // namespace rookproxy
