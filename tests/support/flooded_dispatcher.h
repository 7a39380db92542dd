// A dispatcher process for tests with clients that send at full speed.
#pragma once

#include <cstddef>
#include <cstdint>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/fake_mysql_engine.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "support/dispatcher_process.h"

namespace rookproxy::test {

// A dispatcher with one frontend, and engines that answer at once.
class FloodedDispatcher {
 public:
  enum class Protocol { kFrames, kMysql };

  explicit FloodedDispatcher(Protocol protocol, std::size_t memory_mb = 192, std::size_t descriptors = 1024);

  DispatcherProcess& process() { return process_; }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  // Opens a connection of a client, which is logged in.
  [[nodiscard]] TestConnection connect() const;

 private:
  Protocol protocol_;
  AutoReplyLineEngine line_engine_;
  FakeMysqlEngine mysql_engine_;
  TemporaryDirectory directory_;
  DispatcherProcess process_;
  std::uint16_t port_ = 0;
};

}  // namespace rookproxy::test
