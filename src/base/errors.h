// Errors that abort a start or a reload.
#pragma once

#include <stdexcept>

namespace rookproxy {

// A setting is invalid: a key of a configuration file, or a file that a key names. what() names the setting,
// says what is wrong with it and, where that is not obvious, what is accepted.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace rookproxy
