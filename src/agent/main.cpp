// rookproxy-agent: runs the dispatchers of one machine. See README.md.
#include <csignal>

#include "agent/agent_server.h"
#include "net/event_loop.h"
#include "net/signal_watcher.h"
#include "options/options.h"

namespace {

using namespace rookproxy;

constexpr ProgramDescription kProgram{
    .name = "rookproxy-agent",
    .about =
        "Starts the instances that the file names, keeps them running and takes orders from rookproxyctl\n"
        "on a Unix socket. SIGTERM drains all of them, then ends.",
    .footer = "Exit codes: 0 all drained, 1 failed while running, 2 bad usage or configuration.",
    .is_file_required = true,
    .file_help = "the agent's file",
};

int run_agent(const ProgramOptions& options, Logger& logger) {
  const AgentConfig config = load_agent_config(options.config_file);
  if (options.check_only) return report_valid_configuration();
  configure_log(logger, config.log);
  EventLoop loop;
  Supervisor supervisor(loop, logger, config);
  const auto stop_loop = [&loop] { loop.stop(); };
  const auto begin_shutdown = [&supervisor, &stop_loop] { supervisor.begin_shutdown(stop_loop); };
  const SignalWatcher signals(loop, {SIGCHLD, SIGTERM, SIGINT}, [&](int signal) {
    if (signal == SIGCHLD) {
      supervisor.reap_children();
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

int main(int argc, char** argv) { return run_program(argc, argv, kProgram, run_agent); }
