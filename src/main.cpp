// rookproxy: runs one dispatcher. README.md describes how to start it.
#include <unistd.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/app.h"
#include "app/cluster_settings.h"
#include "app/startup.h"
#include "auth/auth_settings.h"
#include "net/event_loop.h"
#include "net/file_watcher.h"
#include "net/signal_watcher.h"
#include "options/options.h"

namespace rookproxy {
namespace {

constexpr auto kSignals = {SIGTERM, SIGINT, SIGHUP};
constexpr const char* kAbout =
    "Runs one dispatcher in the foreground until SIGTERM. SIGHUP reloads the configuration.";
constexpr const char* kFooter =
    "$NODE_CONFIG is the path of the platform's JSON configuration, $NODE_OPS the admin address,\n"
    "$NODE_PASSED_SOCKET an inherited socket that listens for clients, $TMPDIR a folder that the processes "
    "of\n"
    "one dispatcher share during an upgrade.\n"
    "Exit codes: 0 graceful shutdown complete, 1 failure while running, 2 invalid usage or configuration.";

// Loads the files that a start would load besides the configuration itself. Throws SettingsError.
int check_configuration(const Config& config) {
  if (config.peers_error) throw ConfigError(*config.peers_error);
  if (config.access) static_cast<void>(auth::load_auth_files(*config.access));
  if (config.tls) std::cout << tls::describe(*tls::ServerContext::load(config.tls->server)) << "\n";
  if (config.cluster) static_cast<void>(cluster_settings(config));
  return report_valid_configuration();
}

// With [access], the configuration files themselves are watched, so that revoked permissions take effect
// without a signal.
std::unique_ptr<FileWatcher> watch_configuration(EventLoop& loop, const Config& config,
                                                 const std::string& operators_file,
                                                 const std::function<void()>& on_change) {
  if (!config.access) return nullptr;
  std::vector<std::string> files;
  for (const std::string& file : {operators_file, read_environment().config_file}) {
    if (!file.empty()) files.push_back(file);
  }
  return std::make_unique<FileWatcher>(loop, std::move(files), config.credential_poll_interval, on_change);
}

int run(const ProgramOptions& options, Logger& log) {
  const Config config = load_config(read_environment(), options.config_file);
  if (options.check_only) return check_configuration(config);
  return_large_buffers();
  log.set_host(config.name);
  configure_log(log, config.log);
  std::optional<EventLoop> loop;
  std::optional<SignalWatcher> signals;
  std::optional<App> app;
  std::unique_ptr<FileWatcher> watch;
  const auto reload = [&] {
    app->reload(
        [&](const Config& running) { return load_config(read_environment(), options.config_file, running); });
  };
  start_with_retries(log, [&] {
    // Releases what a failed attempt has left, users before what they use.
    watch.reset();
    app.reset();
    signals.reset();
    loop.emplace();
    signals.emplace(*loop, kSignals, [&](int signal) { signal == SIGHUP ? reload() : app->drain(); });
    app.emplace(*loop, log, config);
    watch = watch_configuration(*loop, config, options.config_file, reload);
  });
  loop->run();
  // Destructors are skipped: the kernel closes what is still open.
  std::cerr.flush();
  ::_exit(kExitSuccess);
}

}  // namespace
}  // namespace rookproxy

int main(int argc, char** argv) {
  using namespace rookproxy;
  block_signals(kSignals);  // Signals stay pending until the loop runs.
  return run_program(argc, argv, "rookproxy", kAbout, kFooter, false, run);
}
