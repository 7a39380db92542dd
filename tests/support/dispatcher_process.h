/// A dispatcher's process under test.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

/// How a dispatcher is started.
struct DispatcherOptions {
  std::string directory;           // holds its config.json, and its temporary files
  std::string log_path;            // a file for its standard error
  std::string operator_file = {};  // an operator's file to start with, or empty
  bool has_system_call_filter = false;
  std::string failing_calls = {};  // as tests/preload/failing_calls.cpp reads them, or empty
};

/// A running rookproxy, which is killed at the end of its scope. Functions that wait do so for kWaitLimit and
/// then throw std::runtime_error. For one thread.
class DispatcherProcess {
 public:
  DispatcherProcess() = default;
  DispatcherProcess(DispatcherProcess&& other) noexcept;
  DispatcherProcess& operator=(DispatcherProcess&& other) noexcept;
  ~DispatcherProcess();

  /// Starts the program; it inherits these sockets, which stay open here.
  void start(const DispatcherOptions& options, const std::vector<FileDescriptor>& inherited_sockets = {});

  /// True once start() was called.
  [[nodiscard]] bool started() const { return !log_path_.empty(); }

  /// Its whole log up to now.
  [[nodiscard]] std::string log() const;

  /// Waits until the log holds `text`, and returns what follows it there up to the next quote.
  std::string wait_for_log(const std::string& text) const;

  /// The port on which it answers operators, once it does.
  [[nodiscard]] std::uint16_t admin_port() const;

  /// Waits until the log holds `message`, and returns the last value of the field port before its last
  /// occurrence: a start that was tried again logs it once a try.
  [[nodiscard]] std::uint16_t port_logged_with(const std::string& message) const;

  void send_signal(int number) const;

  /// Waits until the process has ended: its exit code, or 128 plus the signal that killed it.
  int wait_for_exit();

 private:
  pid_t pid_ = 0;
  std::string log_path_;
};

/// Sends one line to the process's address for operators and returns the whole answer.
std::string call_admin(const DispatcherProcess& process, const std::string& line);

}  // namespace rookproxy::test
