// rookproxy: one dispatcher. See README.md for how to start it.
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "app/app.h"
#include "net/signals.h"

namespace {

constexpr std::string_view kHelp =
    "usage: rookproxy [--file OPERATORS.toml] [--check]\n"
    "\n"
    "Runs one dispatcher in the foreground until SIGTERM.\n"
    "  --file F   an operator's file; its keys win over those of $NODE_CONFIG\n"
    "  --check    reads the configuration, says what is wrong with it, and exits\n"
    "  --help     this text\n"
    "\n"
    "$NODE_CONFIG is the path of the platform's JSON configuration.\n"
    "Exit codes: 0 stopped after a drain, 1 failed while running, 2 bad usage or configuration.\n";

}  // namespace

int main(int argc, char** argv) {
  using namespace rookproxy;
  std::string operators;
  bool check = false;
  for (int i = 1; i < argc; ++i) {
    const std::string_view word = argv[i];
    if (word == "--help") {
      std::cout << kHelp;
      return 0;
    }
    if (word == "--check") {
      check = true;
    } else if (word == "--file" && i + 1 < argc) {
      operators = argv[++i];
    } else {
      std::cerr << "rookproxy: unknown argument '" << word << "'\n" << kHelp;
      return 2;
    }
  }
  const char* platform = std::getenv("NODE_CONFIG");
  Log log(std::cerr, Level::kInfo, "-", "rookproxy");
  try {
    const Config config = load_config(platform ? platform : "", operators);
    if (check) {
      std::cout << "configuration is fine\n";
      return 0;
    }
    log.set_host(config.name);
    log.set_least(config.log.level);
    if (config.log.syslog) log.to_syslog(*config.log.syslog, config.log.facility);
    Loop loop;
    App app(loop, log, config);
    Signals signals(loop, {SIGTERM, SIGINT}, [&app](int) { app.drain(); });
    loop.run();
    // Connections still open are closed by the kernel; taking the tables down one by one would serve nobody.
    std::cerr.flush();
    ::_exit(0);
  } catch (const ConfigError& fault) {
    log.line(Level::kError, "config", fault.what(), {});
    return 2;
  } catch (const std::exception& fault) {
    log.line(Level::kError, "crash", fault.what(), {});
    return 1;
  }
}
