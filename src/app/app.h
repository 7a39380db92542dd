// One dispatcher process: its parts, and how they hear of a start, a reload and a stop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "app/frontends.h"
#include "app/graceful_shutdown.h"
#include "app/process_lease.h"
#include "app/readiness.h"
#include "auth/authenticator.h"
#include "cluster/runtime/cluster.h"
#include "config/config.h"
#include "discovery/dns_discovery_client.h"
#include "dispatcher/dispatcher.h"
#include "net/event_loop.h"
#include "net/file_watcher.h"
#include "upstream/connection_pool.h"

namespace rookproxy {

// Owns everything but the event loop and the log, which have to outlive it. Used on the event loop's thread.
class App final : public AdminSource {
 public:
  // Opens the listeners and reads the files that the configuration names. Throws SettingsError. Clients are
  // let in once the loop runs.
  App(EventLoop& loop, Logger& log, const Config& config);

  // Takes over what a new configuration says and a running dispatcher can change: the settings, the name
  // server, the fixed list of engines, the log, credentials, and the MySQL frontend's classes, users, times
  // and limit. Open requests and the version of the endpoint list go on. If `load` or a check throws, the
  // former configuration stays as a whole and the error is logged: a bad file must not end what serves.
  void reload(const std::function<Config(const Config& running)>& load);

  // Begins a graceful shutdown (policy/shutdown.h), which stops the event loop at its end. A second call
  // changes nothing.
  void drain();

 private:
  std::string not_ready_reason() const override { return readiness_.not_ready_reason(); }
  const Metrics& metrics() const override { return metrics_; }
  Gauges gauges() const override { return dispatcher_.gauges(); }
  std::vector<NamedMetric> optional_metrics() const override;

  std::unique_ptr<ConnectionPool> make_connection_pool(const Config& config);
  void open_process_lease();
  void open_admin_server();
  void observe_loop();
  void serve_clients();
  std::unique_ptr<FileWatcher> watch_credential_files(const Config& config);
  void reload_credentials();
  void apply_credentials(const Config& config);
  void configure_discovery();
  void apply_configuration(Config fresh);
  void update_process_count();
  void apply_resource_share();

  EventLoop& loop_;
  Logger& log_;
  Config config_;  // as last taken over
  Metrics metrics_;
  Dispatcher dispatcher_;
  std::unique_ptr<auth::Authenticator> authenticator_;  // null: callers are not identified
  std::shared_ptr<const tls::ServerContext> tls_context_;
  std::unique_ptr<FileWatcher> credential_watch_;
  std::unique_ptr<ConnectionPool> connection_pool_;
  std::unique_ptr<DnsDiscoveryClient> discovery_;  // null: the engines are fixed
  std::unique_ptr<Cluster> cluster_;               // null: this dispatcher decides for itself
  std::unique_ptr<Frontends> frontends_;
  std::unique_ptr<AdminServer> admin_server_;
  std::optional<ProcessLease> process_lease_;  // where a listener was passed: else there is no other process
  bool another_process_runs_ = false;
  Readiness readiness_;
  std::optional<GracefulShutdown> shutdown_;
};

}  // namespace rookproxy
