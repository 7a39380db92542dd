// A dispatcher process under test.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// The options for the start of a dispatcher.
struct DispatcherOptions {
  std::string directory;           // Contains config.json and the temporary files.
  std::string log_path;            // The file that receives standard error.
  std::string operator_file = {};  // The value of --file; empty: the option is omitted.
  bool has_system_call_filter = false;
  std::string failing_calls = {};  // In the format of tests/preload/failing_calls.cpp, or empty.
};

// A rookproxy process. The destructor kills it. Functions that wait throw std::runtime_error after
// kWaitLimit. Not thread-safe.
class DispatcherProcess {
 public:
  DispatcherProcess() = default;
  DispatcherProcess(DispatcherProcess&& other) noexcept;
  DispatcherProcess& operator=(DispatcherProcess&& other) noexcept;
  ~DispatcherProcess();

  // Starts the program, which inherits these sockets. They also stay open in the calling process.
  void start(const DispatcherOptions& options, const std::vector<FileDescriptor>& inherited_sockets = {});

  // Returns whether start() was called.
  [[nodiscard]] bool started() const { return !log_path_.empty(); }

  // Returns the whole log up to now.
  [[nodiscard]] std::string log() const;

  // Waits until the log contains `text`, and returns what follows its first occurrence up to the next quote.
  std::string wait_for_log(const std::string& text) const;

  // Waits until the admin listener is ready, and returns its port.
  [[nodiscard]] std::uint16_t admin_port() const;

  // Waits until the log contains `message`, and returns the last value of the field `port` before the last
  // occurrence of the message. A listener whose start was retried logs the message once for each try.
  [[nodiscard]] std::uint16_t port_logged_with(const std::string& message) const;

  void send_signal(int number) const;

  // Returns the anonymous memory of the process, in bytes; 0 once it has ended.
  [[nodiscard]] std::size_t anonymous_memory() const;

  // Returns whether the process has ended. wait_for_exit() then returns its exit code.
  [[nodiscard]] bool has_ended() const;

  // Waits until the process has ended, and returns its exit code, or 128 plus the number of the signal that
  // killed it.
  int wait_for_exit();

 private:
  pid_t pid_ = 0;
  std::string log_path_;
};

// Sends one line to the process's admin listener and returns the whole response.
std::string call_admin(const DispatcherProcess& process, const std::string& line);

}  // namespace rookproxy::test
