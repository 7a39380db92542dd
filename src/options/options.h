// The command line that the long-running programs share: --file, --check, --help, and their exit codes.
#pragma once

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "config/config.h"

namespace rookproxy {

// What the command line says.
struct ProgramOptions {
  std::string config_file;  // empty: none was given
  bool check_only = false;  // check the configuration and exit
};

// How the programs end.
enum ExitCode { kExitSuccess = 0, kExitFailure = 1, kExitUsage = 2 };

// Prints what CLI11 reports and returns the exit code: success where help was asked for, else that for wrong
// usage.
inline int report_parse_error(const CLI::App& app, const CLI::ParseError& error) {
  if (error.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) {
    app.exit(error, std::cout, std::cerr);
    return kExitSuccess;
  }
  std::cerr << app.get_name() << ": " << error.what() << "\nTry --help.\n";
  return kExitUsage;
}

// Reads the command line, runs `body(options, log)` and returns its exit code. Wrong usage and exceptions of
// the body end here, with a message and an exit code. `requires_file`: whether --file has to be given.
template <class Body>
int run_program(int argc, char** argv, const std::string& name, const std::string& about,
                const std::string& footer, bool requires_file, Body body) {
  const char* const file_help =
      requires_file ? "the agent's file" : "an operator's file; its keys win over $NODE_CONFIG";
  ProgramOptions options;
  CLI::App app(about, name);
  app.footer(footer);
  app.add_option("--file", options.config_file, file_help)->type_name("FILE")->required(requires_file);
  app.add_flag("--check", options.check_only,
               "reads the configuration, says what is wrong with it, and exits");
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

// Says that --check found nothing wrong, and returns the exit code. What is wrong is reported as an
// exception.
inline int report_valid_configuration() {
  std::cout << "configuration is fine\n";
  return kExitSuccess;
}

}  // namespace rookproxy
