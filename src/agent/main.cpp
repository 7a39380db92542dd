// rookproxy-agent: runs the dispatchers of one machine.
#include <csignal>

#include "agent/agent_server.h"
#include "agent/process.h"
#include "net/event_loop.h"
#include "net/signal_watcher.h"
#include "options/options.h"

namespace {

using namespace rookproxy;

constexpr const char* kAbout =
    "Starts the configured instances, restarts them when they end, and accepts commands from rookproxyctl\n"
    "on a Unix socket. On SIGTERM it drains all instances, then exits.";
constexpr const char* kFooter =
    "Exit codes: 0 all instances drained, 1 failure while running, 2 invalid usage or configuration.";

int run_agent(const ProgramOptions& options, Logger& logger) {
  const AgentConfig config = load_agent_config(options.config_file);
  if (options.check_only) return report_valid_configuration();
  configure_log(logger, config.log);
  enable_exit_collection();
  EventLoop loop;
  Supervisor supervisor(loop, logger, config);
  const auto begin_shutdown = [&] { supervisor.begin_shutdown([&loop] { loop.stop(); }); };
  SignalWatcher signals(loop, {SIGCHLD, SIGTERM, SIGINT}, [&](int signal) {
    if (signal == SIGCHLD) {
      supervisor.collect_exits();
    } else {
      begin_shutdown();
    }
  });
  AgentServer server(loop, logger, config.socket, supervisor, begin_shutdown);
  supervisor.start_all();
  loop.run();
  return kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  return run_program(argc, argv, "rookproxy-agent", kAbout, kFooter, true, run_agent);
}
