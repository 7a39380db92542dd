// One dispatcher: the core with its directory, its fronts and its engine links, from start to stop.
#pragma once

#include <memory>

#include "access/gatekeeper.h"
#include "app/hot_restart.h"
#include "config/config.h"
#include "core/dispatcher.h"
#include "decide/shutdown.h"
#include "directory/directory.h"
#include "fleet/fleet.h"
#include "front/frames.h"
#include "front/mysql.h"
#include "link/lines.h"
#include "link/mysql.h"
#include "net/file_watch.h"
#include "ops/ops.h"

namespace rookproxy {

// Of a configuration with [fleet]; reads the keys' files. Throws SettingsError.
FleetSettings fleet_settings(const Config& config);

class App final : public OpsSource {
 public:
  App(Loop& loop, Log& log, const Config& config);
  // Takes over what a new configuration says and a running dispatcher can change: the settings, the
  // directory's address, the fixed list of engines, the log, the MySQL front's classes, users, times and cap.
  // Requests and the list's serial go on. If `load` throws, the former configuration stays as a whole: a bad
  // file must not end what serves.
  void reload(const std::function<Config(const Config& running)>& load);
  // Not ready any more; what still comes is served, clients are ended in order, and the loop stops once
  // nothing is open (decide/shutdown.h). Asked again, it changes nothing.
  void drain();

 private:
  std::string why_not_ready() const override;
  const Figures& figures() const override { return figures_; }
  Gauges gauges() const override { return core_.gauges(); }
  std::vector<Fleet::Figure> more_figures() const override {
    return fleet_ ? fleet_->figures() : std::vector<Fleet::Figure>();
  }
  void take_over(Config config);
  std::unique_ptr<FileWatch> watch_files(const Config& config);
  void take_credentials(const Config& config);
  void find_engines(const Config& config);
  void shut_down();
  bool is_taking_in() const;
  void become_ready(Time at_the_latest);
  void share_with_other_process();
  void resize();

  Loop& loop_;
  Log& log_;
  Config config_;  // as last taken over
  Figures figures_;
  Dispatcher core_;
  std::unique_ptr<access::Gatekeeper> gate_;  // where callers are identified
  std::shared_ptr<const tls::ServerContext> tls_;
  std::unique_ptr<FileWatch> watch_;
  std::unique_ptr<Pool> links_;
  std::unique_ptr<DnsDirectory> directory_;
  std::unique_ptr<Fleet> fleet_;  // where the dispatchers act as one
  std::unique_ptr<FramesFront> frames_;
  std::unique_ptr<MysqlFront> mysql_;
  std::unique_ptr<OpsServer> ops_;
  std::optional<HotRestart> hot_restart_;  // where the clients' socket was passed: without, there can be none
  Time drained_at_{}, last_open_{};        // told to end; a request was open
  decide::ShutdownTimes shutdown_times_;   // by the classes' deadlines as they were then
  bool ready_ = false, draining_ = false, shared_ = false;
  bool looks_ = false;   // the turn that follows waits for nothing, to see what there is
  bool ending_ = false;  // clients are being ended
};

}  // namespace rookproxy
