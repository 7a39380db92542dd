// rookproxy: one dispatcher. See README.md for how to start it.
#include <unistd.h>

#include <csignal>

#include "app/app.h"
#include "auth/auth_settings.h"
#include "net/file_watcher.h"
#include "net/signal_watcher.h"
#include "options/options.h"

namespace {

constexpr auto kSignals = {SIGTERM, SIGINT, SIGHUP};
constexpr const char* kAbout =
    "Runs one dispatcher in the foreground until SIGTERM. SIGHUP makes it read its configuration again.";
constexpr const char* kFooter =
    "$NODE_CONFIG is the path of the platform's JSON configuration, $NODE_OPS the address for operators,\n"
    "$NODE_PASSED_SOCKET an inherited socket that listens for clients, $TMPDIR a folder that the processes "
    "of\n"
    "one dispatcher share during an upgrade.\n"
    "Exit codes: 0 stopped after a drain, 1 failed while running, 2 bad usage or configuration.";

}  // namespace

int main(int argc, char** argv) {
  using namespace rookproxy;
  block_signals(kSignals);  // before anything else: until the loop runs they wait
  return run_program(
      argc, argv, "rookproxy", kAbout, kFooter, false, [](const ProgramOptions& options, Logger& log) {
        const Config config = load_config(read_environment(), options.config_file);
        if (options.check_only) {
          if (config.peers_error) throw ConfigError(*config.peers_error);
          if (config.access) auth::load_auth_files(*config.access);
          if (config.tls) std::cout << tls::describe(*tls::ServerContext::load(config.tls->server)) << "\n";
          if (config.cluster) cluster_settings(config);
          return report_valid_configuration();
        }
        log.set_host(config.name);
        configure_log(log, config.log);
        EventLoop loop;
        App app(loop, log, config);
        const auto reread = [&] {
          app.reload([&](const Config& running) {
            return load_config(read_environment(), options.config_file, running);
          });
        };
        SignalWatcher signals(loop, kSignals, [&](int signal) { signal == SIGHUP ? reread() : app.drain(); });
        // Where callers are identified, rights that were taken back must not wait for a signal.
        std::unique_ptr<FileWatcher> watch;
        if (config.access) {
          std::vector<std::string> files;
          for (const auto& file : {options.config_file, read_environment().config_file}) {
            if (!file.empty()) files.push_back(file);
          }
          watch =
              std::make_unique<FileWatcher>(loop, std::move(files), config.credential_poll_interval, reread);
        }
        loop.run();
        // Connections still open are closed by the kernel; taking the tables down one by one would serve
        // nobody.
        std::cerr.flush();
        ::_exit(kExitSuccess);
      });
}
