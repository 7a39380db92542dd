// The command line that the long-running programs share: --file, --check, --help, and their exit codes.
#pragma once

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "config/config.h"
#include "log/error_log.h"

namespace rookproxy {

// What the command line says.
struct ProgramOptions {
  std::string config_file;  // empty: none was given
  bool check_only = false;  // check the configuration and exit
};

// What a program says of itself, and of its command line.
struct ProgramDescription {
  const char* name;
  const char* about;
  const char* footer;     // printed below the options by --help
  bool is_file_required;  // whether --file has to be given
  const char* file_help;  // says what --file is
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
// the body end here, with a message and an exit code.
template <class Body>
int run_program(int argc, char** argv, const ProgramDescription& program, Body body) {
  ProgramOptions options;
  CLI::App app(program.about, program.name);
  app.footer(program.footer);
  app.add_option("--file", options.config_file, program.file_help)
      ->type_name("FILE")
      ->required(program.is_file_required);
  app.add_flag("--check", options.check_only,
               "reads the configuration, says what is wrong with it, and exits");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return report_parse_error(app, error);
  }
  Logger log(std::cerr, LogLevel::kInfo, "-", program.name);
  try {
    return body(options, log);
  } catch (const SettingsError& error) {
    log_error(log, "config", "", error);
    return kExitUsage;
  } catch (const std::exception& error) {
    log_error(log, "crash", "", error);
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
