// Registers the commands that work on files with the command line's parser.
#pragma once

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// Commands of rookproxyctl that share one set of options. CLI11 fills the options; the command that was
// given puts its exit code into `code`, which must outlive the parent.
template <class Options>
class CommandGroup {
 public:
  // Carries out a command. An exception that it throws is printed and becomes kRefused.
  using Command = ExitCode (*)(const Options&);

  explicit CommandGroup(std::optional<ExitCode>& code) : code_(code) {}

  // Where the options of the commands go. They live as long as one of the commands.
  [[nodiscard]] Options& options() { return *options_; }

  // Adds a command to `parent`, which owns the result; its options are added to the result.
  CLI::App* add(CLI::App& parent, const std::string& name, const std::string& description, Command command) {
    CLI::App* subcommand = parent.add_subcommand(name, description);
    subcommand->callback([&code = code_, options = options_, command] {
      try {
        code = command(*options);
      } catch (const std::exception& error) {
        std::cerr << "rookproxyctl: " << error.what() << "\n";
        code = ExitCode::kRefused;
      }
    });
    return subcommand;
  }

 private:
  std::optional<ExitCode>& code_;
  std::shared_ptr<Options> options_ = std::make_shared<Options>();
};

// Adds a command that only groups others, one of which has to be given.
inline CLI::App& add_command_group(CLI::App& app, const std::string& name, const std::string& description) {
  CLI::App* group = app.add_subcommand(name, description);
  group->require_subcommand(1);
  return *group;
}

}  // namespace rookproxy::ctl
