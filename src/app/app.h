// One dispatcher process: creates its components and coordinates start, reload and shutdown.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "app/frontends.h"
#include "app/graceful_shutdown.h"
#include "app/process_lock_file.h"
#include "app/readiness.h"
#include "auth/authenticator.h"
#include "cluster/runtime/cluster.h"
#include "config/config.h"
#include "discovery/dns_discovery_client.h"
#include "dispatcher/dispatcher.h"
#include "net/event_loop.h"
#include "net/file_watcher.h"
#include "policy/memory_ledger.h"
#include "upstream/connection_pool.h"

namespace rookproxy {

// Owns every component except the event loop and the logger, which must outlive it. Used on the event loop's
// thread.
class App final : public AdminSource {
 public:
  // Opens the listeners and reads the files that the configuration names. Throws SettingsError. Clients are
  // accepted once the loop runs.
  App(EventLoop& loop, Logger& log, const Config& config);

  // Applies those parts of a new configuration that a running dispatcher can change: the settings, the name
  // server, the fixed list of engines, the log, credentials, and the MySQL frontend's classes, users,
  // timeouts and limit. Open requests and the version of the endpoint list are kept. If `load` or a check
  // throws, the whole previous configuration stays in force and the error is logged: an invalid file must not
  // end a process that serves.
  void reload(const std::function<Config(const Config& running)>& load);

  // Starts a graceful shutdown (policy/shutdown.h), which stops the event loop once it is complete. Further
  // calls have no effect.
  void drain();

 private:
  std::string not_ready_reason() const override { return readiness_.not_ready_reason(); }
  const Metrics& metrics() const override { return metrics_; }
  Gauges gauges() const override { return dispatcher_.gauges(); }
  std::vector<NamedMetric> optional_metrics() const override;

  std::unique_ptr<ConnectionPool> make_connection_pool(const Config& config);
  void open_process_lock_file();
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
  Config config_;  // The configuration in force.
  Metrics metrics_;
  // What is held for clients and engines, within this process's share of the memory.
  std::shared_ptr<policy::MemoryLedger> memory_ = std::make_shared<policy::MemoryLedger>();
  Dispatcher dispatcher_;
  std::unique_ptr<auth::Authenticator> authenticator_;  // Null if callers are not authenticated.
  std::shared_ptr<const tls::ServerContext> tls_context_;
  std::unique_ptr<FileWatcher> credential_watch_;
  std::unique_ptr<ConnectionPool> connection_pool_;
  std::unique_ptr<DnsDiscoveryClient> discovery_;  // Null if the list of engines is fixed.
  std::unique_ptr<Cluster> cluster_;               // Null if this dispatcher is not part of a cluster.
  std::unique_ptr<Frontends> frontends_;
  std::unique_ptr<AdminServer> admin_server_;
  // Absent if no listener was passed to this process: then no other process of the dispatcher can run.
  std::optional<ProcessLockFile> process_lock_file_;
  bool another_process_runs_ = false;
  Readiness readiness_;
  std::optional<GracefulShutdown> shutdown_;
};

}  // namespace rookproxy
