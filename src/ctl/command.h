// What the commands that work on files have in common.
#pragma once

#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// A command can't be carried out. The message says what is wrong with which file or option.
struct CommandError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A callback for CLI11 that runs a command and puts its exit code into `code`. An exception is printed and
// becomes kRefused. `code` must outlive the callback.
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
