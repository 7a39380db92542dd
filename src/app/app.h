// One dispatcher: the core with its directory, its fronts and its engine links, from start to stop.
#pragma once

#include <memory>

#include "admin/ops.h"
#include "app/hot_restart.h"
#include "auth/gatekeeper.h"
#include "cluster/runtime/fleet.h"
#include "config/config.h"
#include "discovery/dns_discovery_client.h"
#include "dispatcher/dispatcher.h"
#include "frontend/frames_frontend.h"
#include "frontend/mysql_frontend.h"
#include "net/file_watch.h"
#include "policy/shutdown.h"
#include "upstream/lines.h"
#include "upstream/mysql.h"

namespace rookproxy {

// Of a configuration with [fleet]; reads the keys' files. Throws SettingsError.
ClusterSettings cluster_settings(const Config& config);

class App final : public AdminSource {
 public:
  App(EventLoop& loop, Logger& log, const Config& config);
  // Takes over what a new configuration says and a running dispatcher can change: the settings, the
  // directory's address, the fixed list of engines, the log, the MySQL front's classes, users, times and cap.
  // Requests and the list's serial go on. If `load` throws, the former configuration stays as a whole: a bad
  // file must not end what serves.
  void reload(const std::function<Config(const Config& running)>& load);
  // Not ready any more; what still comes is served, clients are ended in order, and the loop stops once
  // nothing is open (decide/shutdown.h). Asked again, it changes nothing.
  void drain();

 private:
  std::string not_ready_reason() const override;
  const Metrics& metrics() const override { return metrics_; }
  Gauges gauges() const override { return dispatcher_.gauges(); }
  std::vector<Cluster::MetricValue> optional_metrics() const override {
    return cluster_ ? cluster_->metrics() : std::vector<Cluster::MetricValue>();
  }
  void apply_configuration(Config config);
  std::unique_ptr<FileWatcher> watch_credential_files(const Config& config);
  void apply_credentials(const Config& config);
  void configure_discovery(const Config& config);
  void advance_shutdown();
  bool is_receiving_requests() const;
  void start_accepting(Time at_the_latest);
  void update_resource_share();
  void apply_resource_share();

  EventLoop& loop_;
  Logger& log_;
  Config config_;  // as last taken over
  Metrics metrics_;
  Dispatcher dispatcher_;
  std::unique_ptr<auth::Authenticator> authenticator_;  // where callers are identified
  std::shared_ptr<const tls::ServerContext> tls_context_;
  std::unique_ptr<FileWatcher> credential_watch_;
  std::unique_ptr<ConnectionPool> connection_pool_;
  std::unique_ptr<DnsDiscoveryClient> discovery_;
  std::unique_ptr<Cluster> cluster_;  // where the dispatchers act as one
  std::unique_ptr<FramesFrontend> platform_frontend_;
  std::unique_ptr<MysqlFrontend> mysql_frontend_;
  std::unique_ptr<AdminServer> admin_server_;
  std::optional<ProcessLease>
      process_lease_;  // where the clients' socket was passed: without, there can be none
  Time drain_started_{}, last_request_open_{};  // told to end; a request was open
  policy::ShutdownTimes shutdown_times_;        // by the classes' deadlines as they were then
  bool ready_ = false, draining_ = false, resources_shared_ = false;
  bool observes_iteration_ = false;  // the turn that follows waits for nothing, to see what there is
  bool closing_clients_ = false;     // clients are being ended
};

}  // namespace rookproxy
