// Shared code of the commands that work on files.
#pragma once

#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// A command failed. The message names the file or option at fault.
struct CommandError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns a callback for CLI11 that runs a command and stores its exit code in `code`. If the command throws,
// the callback prints the message and stores kRefused. `code` must outlive the callback.
template <class Options>
std::function<void()> make_callback(std::optional<ExitCode>& code, ExitCode (*command)(const Options&),
                                    std::shared_ptr<Options> options) {
  return [&code, command, options] {
    try {
      code = command(*options);
    } catch (const std::exception& error) {
      std::cerr << "rookproxyctl: " << error.what() << "\n";
      code = ExitCode::kRefused;
    }
  };
}

}  // namespace rookproxy::ctl
