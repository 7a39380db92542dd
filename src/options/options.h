// The command line that the long-running programs share: --file, --check, --help, and how they end.
#pragma once

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "config/config.h"

namespace rookproxy {

struct ProgramOptions {
  std::string config_file;
  bool check_only = false;
};

enum ExitCode { kExitSuccess = 0, kExitFailure = 1, kExitUsage = 2 };

// What CLI11 throws, as this project's programs end: 0 where help was asked for, 2 for wrong usage.
inline int report_parse_error(const CLI::App& app, const CLI::ParseError& fault) {
  if (fault.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) {
    app.exit(fault, std::cout, std::cerr);
    return kExitSuccess;
  }
  std::cerr << app.get_name() << ": " << fault.what() << "\nTry --help.\n";
  return kExitUsage;
}

// Reads the command line and runs `body(options, log)`, which returns the exit code; wrong usage and faults
// end here.
template <class Body>
int run_program(int argc, char** argv, const std::string& name, const std::string& about,
                const std::string& footer, bool needs_file, Body body) {
  ProgramOptions options;
  CLI::App app(about, name);
  app.footer(footer);
  auto* file =
      app.add_option("--file", options.config_file,
                     needs_file ? "the agent's file" : "an operator's file; its keys win over $NODE_CONFIG")
          ->type_name("FILE");
  if (needs_file) file->required();
  app.add_flag("--check", options.check_only,
               "reads the configuration, says what is wrong with it, and exits");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& fault) {
    return report_parse_error(app, fault);
  }
  Logger log(std::cerr, LogLevel::kInfo, "-", name);
  try {
    return body(options, log);
  } catch (const SettingsError& fault) {
    log.write(LogLevel::kError, "config", fault.what(), {});
    return kExitUsage;
  } catch (const std::exception& fault) {
    log.write(LogLevel::kError, "crash", fault.what(), {});
    return kExitFailure;
  }
}

// What --check says when nothing is wrong; what is wrong was thrown.
inline int report_valid_configuration() {
  std::cout << "configuration is fine\n";
  return kExitSuccess;
}

}  // namespace rookproxy
