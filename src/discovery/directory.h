// Who the engines are: the list known at the start, then the directory's, asked often.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "discovery/dns.h"
#include "dispatcher/interfaces.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "net/sockets.h"
#include "policy/discovery_path.h"
#include "policy/endpoint_list_version.h"
#include "policy/poll_schedule.h"

namespace rookproxy {

class DnsDiscoveryClient final {
 public:
  using UpdateHandler = std::function<void(const std::vector<EngineEndpoint>&)>;
  // `serial` is that of the list known at the start; only later ones are told.
  DnsDiscoveryClient(EventLoop& loop, Logger& log, const SocketAddress& server, std::string service,
                     Duration poll, std::uint64_t serial, std::uint64_t seed, UpdateHandler told);
  ~DnsDiscoveryClient();
  DnsDiscoveryClient(const DnsDiscoveryClient&) = delete;
  DnsDiscoveryClient& operator=(const DnsDiscoveryClient&) = delete;
  bool has_endpoint_list() const { return has_endpoint_list_; }
  // While a list is told: since when its news may count as told to us. Before now, if questions had gone
  // unanswered: a grace that counts from an answer that was lost has begun by then.
  Time list_effective_since() const { return list_effective_since_; }
  // Asks there from now on, and at once. The list and its serial go on: it is the same directory elsewhere.
  void change_server(const SocketAddress& server, std::string service, Duration poll);

 private:
  struct Socket final : EventHandler {
    explicit Socket(DnsDiscoveryClient& its) : client(its) {}
    void on_ready(std::uint32_t) override { client.read_responses(*this); }
    DnsDiscoveryClient& client;
    FileDescriptor fd;
    SlotKey key = 0;
    bool used = false;
  };
  struct PendingQuery {
    std::uint16_t id;
    Time sent_at;
    bool first_on_socket;  // on its socket
  };
  bool open_socket(Socket& socket);
  void close_socket(Socket& socket);
  Socket& current_socket() { return sockets_[current_index_]; }
  Socket& spare_socket() { return sockets_[1 - current_index_]; }
  void poll_server();
  void send_query(const std::string& query);
  void read_responses(Socket& socket);
  void handle_response(std::string_view message);
  void report_path_state(policy::DiscoveryPath::Event news, std::string_view why);

  EventLoop& loop_;
  Logger& log_;
  SocketAddress server_;
  std::string service_;
  policy::PollSchedule schedule_;
  policy::DiscoveryPath path_;
  policy::EndpointListVersion order_;
  std::mt19937_64 random_;
  UpdateHandler update_handler_;
  // Both are held from the start on, so that a fresh one takes the place of one of ours: clients and engines
  // can't have its descriptor.
  std::array<Socket, 2> sockets_{Socket(*this), Socket(*this)};
  std::size_t current_index_ = 0;
  bool socket_unavailable_ = false;  // an operator knows that none was had
  // Questions lately asked: a late answer to one of them still tells something, unless a newer one was there
  // first.
  std::vector<PendingQuery> pending_queries_;
  std::optional<Time> first_unanswered_at_;
  Time list_effective_since_;
  bool has_endpoint_list_ = false;
  TimerId poll_timer_{};
};

}  // namespace rookproxy
