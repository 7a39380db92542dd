// Errors that end a start or a reload.
#pragma once

#include <stdexcept>

namespace rookproxy {

// An operator's setting is wrong: a key of a file, or a file that a key names. what() names the setting, says
// what is wrong with it and, where it isn't obvious, what is accepted.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace rookproxy
