// The command line that the long-running programs share: --file, --check, --help, and how they end.
#pragma once

#include <exception>
#include <iostream>
#include <string>
#include <string_view>

#include "config/config.h"

namespace rookproxy {

struct ProgramOptions {
  std::string file;
  bool check = false;
};

enum ProgramExit { kExitDone = 0, kExitFailed = 1, kExitUsage = 2 };

// Reads the command line and runs `body(options, log)`, which returns the exit code; wrong usage and faults
// end here.
template <class Body>
int run_program(int argc, char** argv, std::string_view name, std::string_view help, bool needs_file,
                Body body) {
  ProgramOptions options;
  const auto usage = [&](const std::string& why) {
    std::cerr << name << ": " << why << "\n" << help;
    return kExitUsage;
  };
  for (int i = 1; i < argc; ++i) {
    const std::string word = argv[i];
    if (word == "--help") {
      std::cout << help;
      return kExitDone;
    }
    if (word == "--check") {
      options.check = true;
    } else if (word == "--file" && i + 1 < argc) {
      options.file = argv[++i];
    } else {
      return usage("unknown argument '" + word + "'");
    }
  }
  if (needs_file && options.file.empty()) return usage("--file is missing");
  Log log(std::cerr, Level::kInfo, "-", std::string(name));
  try {
    return body(options, log);
  } catch (const ConfigError& fault) {
    log.line(Level::kError, "config", fault.what(), {});
    return kExitUsage;
  } catch (const std::exception& fault) {
    log.line(Level::kError, "crash", fault.what(), {});
    return kExitFailed;
  }
}

// What --check says when nothing is wrong; what is wrong was thrown.
inline int report_fine() {
  std::cout << "configuration is fine\n";
  return kExitDone;
}

inline void configure_log(Log& log, const LogConfig& config) {
  log.set_least(config.level);
  log.to_syslog(config.syslog, config.facility);
}

}  // namespace rookproxy
