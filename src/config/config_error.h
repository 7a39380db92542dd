// The error for an invalid configuration, which aborts a start or a reload.
#pragma once

#include <string>

#include "base/errors.h"

namespace rookproxy {

// An error in one key of a configuration or in one of its files. The message begins with the path of the key
// or of the file.
struct ConfigError : SettingsError {
  ConfigError(const std::string& key, const std::string& problem) : SettingsError(key + ": " + problem) {}
};

}  // namespace rookproxy
