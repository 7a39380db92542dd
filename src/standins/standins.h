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

#include "directory/dns.h"
#include "mysql/protocol.h"
#include "net/fd.h"
#include "standins/tls_peer.h"

namespace rookproxy::test {

constexpr auto kPatience = std::chrono::seconds(20);  // generous: no test passes or fails by timing luck

// A blocking connection with a buffer. Reading waits up to the given time; false means it never came.
class Peer {
 public:
  explicit Peer(Fd fd) : fd_(std::move(fd)) {}
  static Peer connect(std::uint16_t port);
  // From here on in TLS, with that certificate if there is one; throws if the handshake fails.
  void secure(const std::string& certificate = "", const std::string& key = "") {
    tls_ = std::make_unique<TlsPeer>(fd_.get(), certificate, key);
  }
  void send(std::string_view bytes);
  // Reads more into the buffer; false at the end of the stream or of the time.
  bool more(std::chrono::milliseconds within = kPatience);
  bool has(std::size_t bytes, std::chrono::milliseconds within = kPatience);
  bool ended() const { return ended_; }
  bool was_reset() const { return reset_; }
  bool at_end(std::chrono::milliseconds within = kPatience);
  std::string take(std::size_t bytes);
  std::string& buffer() { return buffer_; }
  const Fd& fd() const { return fd_; }
  void close() { fd_.reset(); }

 private:
  Fd fd_;
  std::unique_ptr<TlsPeer> tls_;
  std::string buffer_;
  bool ended_ = false, reset_ = false;
};

std::string new_folder();
bool readable(const Fd& fd, std::chrono::milliseconds within);
Fd listen_anywhere();

// One MySQL message off a peer; nothing if it never came.
std::optional<mysql::Message> take_mysql(Peer& peer);

// Answers for the directory by DNS over UDP, with the list it was last given.
class DirectoryStandIn {
 public:
  explicit DirectoryStandIn(std::uint32_t serial = 1);
  ~DirectoryStandIn();
  std::uint16_t port() const { return local_port(socket_); }
  void tell(std::vector<Member> members);
  std::uint32_t serial();

 private:
  void serve();
  Fd socket_;
  std::mutex mutex_;
  std::vector<Member> members_;
  std::uint32_t serial_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};
std::string dns_answer(std::string_view query, std::uint32_t serial, const std::vector<Member>& members);

// An engine that speaks MySQL. Words in a statement say how it behaves: 'sleep_N' takes N ms, 'cut' closes
// the connection once it has run, 'full' turns it away unrun, 'bad' is an error of the statement's, 'rows_N'
// gives N rows, 'wide_N' a row of N bytes. What it ran is counted by its text with its parameters.
class MysqlStandIn {
 public:
  MysqlStandIn();
  ~MysqlStandIn();
  std::uint16_t port() const { return local_port(listener_); }
  std::vector<std::string> executed();
  std::vector<std::string> prepared();

 private:
  struct Session;
  void accept();
  void serve(Fd fd);
  bool run(Session& session, const std::string& text, const std::string& shown, bool binary);
  Fd listener_;
  std::mutex mutex_;
  std::vector<std::string> executed_, prepared_;
  std::map<std::uint32_t, std::shared_ptr<std::atomic<bool>>> killed_;
  std::uint32_t next_thread_ = 1;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> sessions_;  // grown by the accepting thread alone
  std::thread accepting_;
};

// How often anything but the first run of each distinct load was executed, over all engines.
std::size_t duplicates(const std::vector<std::string>& executed);

}  // namespace rookproxy::test
