// rookproxy-agent: keeps the dispatchers of one machine. See README.md.
#include <csignal>

#include "agent/server.h"
#include "net/signal_watcher.h"
#include "options/options.h"

namespace {

constexpr const char* kAbout =
    "Starts the instances that the file names, keeps them running and takes orders from rookproxyctl\n"
    "on a Unix socket. SIGTERM drains all of them, then ends.";
constexpr const char* kFooter =
    "Exit codes: 0 all drained, 1 failed while running, 2 bad usage or configuration.";

}  // namespace

int main(int argc, char** argv) {
  using namespace rookproxy;
  return run_program(argc, argv, "rookproxy-agent", kAbout, kFooter, true,
                     [](const ProgramOptions& options, Logger& log) {
                       const AgentConfig config = load_agent_config(options.config_file);
                       if (options.check_only) return report_valid_configuration();
                       configure_log(log, config.log);
                       EventLoop loop;
                       Supervisor supervisor(loop, log, config);
                       const auto shut_down = [&] { supervisor.begin_shutdown([&loop] { loop.stop(); }); };
                       SignalWatcher signals(loop, {SIGCHLD, SIGTERM, SIGINT}, [&](int signal) {
                         signal == SIGCHLD ? supervisor.reap_children() : shut_down();
                       });
                       AgentServer server(loop, log, config.socket, supervisor, shut_down);
                       supervisor.start_all();
                       loop.run();
                       return int(kExitSuccess);
                     });
}
