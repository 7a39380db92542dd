/// A dispatcher that is held back at the start, before it has read its configuration.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/file_descriptor.h"
#include "support/dispatcher_process.h"

namespace rookproxy::test {

/// Its configuration is a pipe that the test fills. For one thread; failures end the test.
class BlockedStart {
 public:
  /// In a directory of its own, which it removes.
  BlockedStart();
  /// In a directory of the test's.
  explicit BlockedStart(const std::string& directory);
  ~BlockedStart();
  BlockedStart(const BlockedStart&) = delete;
  BlockedStart& operator=(const BlockedStart&) = delete;

  DispatcherProcess& process() { return process_; }

  /// Starts the process; returns once it waits for its configuration.
  void start(const std::vector<FileDescriptor>& inherited_sockets = {});

  /// Gives it the configuration, which also stands in a file for whoever reads it again.
  void release(const nlohmann::json& config);

 private:
  std::string directory_;
  std::string config_path_;
  bool owns_directory_ = false;
  DispatcherProcess process_;
  FileDescriptor pipe_;
};

}  // namespace rookproxy::test
