// What the tests put round a dispatcher: blocking sockets with bounds, a directory, an engine that speaks
// MySQL.
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "discovery/dns.h"
#include "fakes/tls_peer.h"
#include "mysql/protocol.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

namespace rookproxy::test {

constexpr auto kWaitLimit = std::chrono::seconds(20);  // generous: no test passes or fails by timing luck

// A blocking connection with a buffer. Reading waits up to the given time; false means it never came.
class TestConnection {
 public:
  explicit TestConnection(FileDescriptor fd) : fd_(std::move(fd)) {}
  static TestConnection connect(std::uint16_t port);
  // From here on in TLS, with that certificate if there is one; throws if the handshake fails.
  void start_tls(const std::string& certificate = "", const std::string& key = "") {
    tls_ = std::make_unique<TlsClientSession>(fd_.get(), certificate, key);
  }
  void send(std::string_view bytes);
  // Reads more into the buffer; false at the end of the stream or of the time.
  bool read_more(std::chrono::milliseconds within = kWaitLimit);
  bool wait_for_bytes(std::size_t bytes, std::chrono::milliseconds within = kWaitLimit);
  bool has_ended() const { return ended_; }
  bool was_reset() const { return reset_; }
  bool wait_for_end(std::chrono::milliseconds within = kWaitLimit);
  std::string take(std::size_t bytes);
  std::string& buffer() { return buffer_; }
  const FileDescriptor& fd() const { return fd_; }
  void close() { fd_.reset(); }

 private:
  FileDescriptor fd_;
  std::unique_ptr<TlsClientSession> tls_;
  std::string buffer_;
  bool ended_ = false, reset_ = false;
};

std::string make_temporary_directory();
bool wait_until_readable(const FileDescriptor& fd, std::chrono::milliseconds within);
FileDescriptor listen_on_free_port();

// One MySQL message off a peer; nothing if it never came.
std::optional<mysql::Message> read_mysql_message(TestConnection& peer);

// Answers for the directory by DNS over UDP, with the list it was last given.
class FakeDiscoveryServer {
 public:
  explicit FakeDiscoveryServer(std::uint32_t serial = 1);
  ~FakeDiscoveryServer();
  std::uint16_t port() const { return local_port(socket_); }
  void set_endpoints(std::vector<EngineEndpoint> members);
  std::uint32_t version();

 private:
  void serve();
  FileDescriptor socket_;
  std::mutex mutex_;
  std::vector<EngineEndpoint> endpoints_;
  std::uint32_t version_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};
std::string make_dns_response(std::string_view query, std::uint32_t serial,
                              const std::vector<EngineEndpoint>& members);

// An engine that speaks MySQL. Words in a statement say how it behaves: 'sleep_N' takes N ms, 'cut' closes
// the connection once it has run, 'full' turns it away unrun, 'bad' is an error of the statement's, 'rows_N'
// gives N rows, 'wide_N' a row of N bytes. What it ran is counted by its text with its parameters.
class FakeMysqlEngine {
 public:
  FakeMysqlEngine();
  ~FakeMysqlEngine();
  std::uint16_t port() const { return local_port(listener_); }
  std::vector<std::string> executed_statements();
  std::vector<std::string> prepared_statements();

 private:
  struct Session;
  void accept();
  void serve(FileDescriptor fd);
  bool run(Session& session, const std::string& text, const std::string& shown, bool binary);
  FileDescriptor listener_;
  std::mutex mutex_;
  std::vector<std::string> executed_statements_, prepared_statements_;
  std::map<std::uint32_t, std::shared_ptr<std::atomic<bool>>> kill_flags_;
  std::uint32_t next_thread_id_ = 1;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> session_threads_;  // grown by the accepting thread alone
  std::thread accept_thread_;
};

// How often anything but the first run of each distinct load was executed, over all engines.
std::size_t count_repeated_executions(const std::vector<std::string>& executed);

}  // namespace rookproxy::test
