// Reading the files of a configuration.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace rookproxy {

// Returns a whole file's text. Throws ConfigError with its path if it can't be read.
[[nodiscard]] std::string read_file(const std::string& path);

// Returns a TOML file as the JSON document of the same shape. Throws ConfigError with the path, and with the
// line of a mistake in its syntax.
[[nodiscard]] nlohmann::json read_toml(const std::string& path);

}  // namespace rookproxy
