// rookproxy-agent: keeps the dispatchers of one machine. See README.md.
#include <csignal>
#include <iostream>
#include <string>

#include "agent/server.h"
#include "net/signals.h"

namespace {

constexpr std::string_view kHelp =
    "usage: rookproxy-agent --file AGENT.toml [--check]\n"
    "\n"
    "Starts the instances that the file names, keeps them running and takes orders from rookproxyctl\n"
    "on a Unix socket. SIGTERM drains all of them, then ends.\n"
    "  --file F   the agent's file\n"
    "  --check    reads the file, says what is wrong with it, and exits\n"
    "  --help     this text\n"
    "\n"
    "Exit codes: 0 all drained, 1 failed while running, 2 bad usage or configuration.\n";

}  // namespace

int main(int argc, char** argv) {
  using namespace rookproxy;
  std::string file;
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
      file = argv[++i];
    } else {
      std::cerr << "rookproxy-agent: unknown argument '" << word << "'\n" << kHelp;
      return 2;
    }
  }
  if (file.empty()) {
    std::cerr << "rookproxy-agent: --file is missing\n" << kHelp;
    return 2;
  }
  Log log(std::cerr, Level::kInfo, "-", "rookproxy-agent");
  try {
    const AgentConfig config = load_agent_config(file);
    if (check) {
      std::cout << "configuration is fine\n";
      return 0;
    }
    log.set_least(config.log.level);
    if (config.log.syslog) log.to_syslog(*config.log.syslog, config.log.facility);
    Loop loop;
    Supervisor supervisor(loop, log, config);
    const auto shut_down = [&] { supervisor.shut_down([&loop] { loop.stop(); }); };
    Signals signals(loop, {SIGCHLD, SIGTERM, SIGINT},
                    [&](int signal) { signal == SIGCHLD ? supervisor.reap() : shut_down(); });
    AgentServer server(loop, log, config.socket, supervisor, shut_down);
    supervisor.start_all();
    loop.run();
    return 0;
  } catch (const ConfigError& fault) {
    log.line(Level::kError, "config", fault.what(), {});
    return 2;
  } catch (const std::exception& fault) {
    log.line(Level::kError, "crash", fault.what(), {});
    return 1;
  }
}
