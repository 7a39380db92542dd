// The command line and exit codes shared by the long-running programs: --file, --check and --help.
#pragma once

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "config/config.h"

namespace rookproxy {

// The options on the command line.
struct ProgramOptions {
  // Empty if none was given.
  std::string config_file;
  // Whether to check the configuration and exit.
  bool check_only = false;
};

// The exit codes of the programs.
enum ExitCode { kExitSuccess = 0, kExitFailure = 1, kExitUsage = 2 };

// Prints what CLI11 reports and returns the exit code: kExitSuccess if help was requested, else kExitUsage.
inline int report_parse_error(const CLI::App& app, const CLI::ParseError& error) {
  if (error.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) {
    app.exit(error, std::cout, std::cerr);
    return kExitSuccess;
  }
  std::cerr << app.get_name() << ": " << error.what() << "\nTry --help.\n";
  return kExitUsage;
}

// Parses the command line, runs `body(options, log)` and returns its exit code. Invalid usage and exceptions
// from the body are reported and turned into an exit code. `requires_file`: whether --file is required.
template <class Body>
int run_program(int argc, char** argv, const std::string& name, const std::string& about,
                const std::string& footer, bool requires_file, Body body) {
  const char* const file_help = requires_file
                                    ? "the agent's file"
                                    : "the operator's TOML file; its keys override those of $NODE_CONFIG";
  ProgramOptions options;
  CLI::App app(about, name);
  app.footer(footer);
  app.add_option("--file", options.config_file, file_help)->type_name("FILE")->required(requires_file);
  app.add_flag("--check", options.check_only, "checks the configuration, reports the first error, and exits");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return report_parse_error(app, error);
  }
  Logger log(std::cerr, LogLevel::kInfo, "-", name);
  try {
    return body(options, log);
  } catch (const SettingsError& error) {
    log.write(LogLevel::kError, "config", error.what(), {});
    return kExitUsage;
  } catch (const std::exception& error) {
    log.write(LogLevel::kError, "crash", error.what(), {});
    return kExitFailure;
  }
}

// Reports that --check found no error, and returns the exit code. Errors are reported as exceptions.
inline int report_valid_configuration() {
  std::cout << "the configuration is valid\n";
  return kExitSuccess;
}

}  // namespace rookproxy
