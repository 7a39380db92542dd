// The error that ends a start or a reload for a wrong configuration.
#pragma once

#include <string>

#include "base/errors.h"

namespace rookproxy {

// What is wrong with one key of a configuration, or with a file of it. The message begins with the key's
// path.
struct ConfigError : SettingsError {
  ConfigError(const std::string& key, const std::string& problem) : SettingsError(key + ": " + problem) {}
};

}  // namespace rookproxy
