// Reads configuration files.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace rookproxy {

// Returns the contents of a file. Throws ConfigError with its path if it can't be read.
[[nodiscard]] std::string read_file(const std::string& path);

// Returns a TOML file as a JSON document of the same structure. Throws ConfigError with the path and, for a
// syntax error, the line.
[[nodiscard]] nlohmann::json read_toml(const std::string& path);

}  // namespace rookproxy
