// The service discovery client: polls a DNS server for the list of engine endpoints.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/dns.h"
#include "discovery/endpoint_list_tracker.h"
#include "dispatcher/engine_endpoint.h"
#include "dispatcher/metrics.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/socket_address.h"
#include "policy/discovery_path.h"
#include "policy/poll_schedule.h"
#include "policy/unanswered_polls.h"

namespace rookproxy {

/// Polls one DNS server over UDP and reports each newer endpoint list. A server that does not respond changes
/// nothing: the last list stays in force. Runs on the event loop's thread; the loop, the logger and the
/// metrics must outlive it.
class DnsDiscoveryClient final {
 public:
  /// Called with the endpoint list whenever it has changed, from the event loop. Engines that may get no new
  /// work for now, since responses contradict each other about them, are draining in it or left out.
  using UpdateHandler = std::function<void(const std::vector<EngineEndpoint>&)>;

  /// Starts polling at once, then about every `poll_interval`. `known` is the list at the start, and only
  /// later ones are reported; `seed` is that of query ids and of the jitter between polls.
  DnsDiscoveryClient(EventLoop& loop, Logger& log, DiscoveryMetrics& metrics, const SocketAddress& server,
                     std::string service, Duration poll_interval, const EndpointList& known,
                     std::uint64_t seed, UpdateHandler on_update);
  ~DnsDiscoveryClient();
  DnsDiscoveryClient(const DnsDiscoveryClient&) = delete;
  DnsDiscoveryClient& operator=(const DnsDiscoveryClient&) = delete;

  /// Whether any usable response has arrived.
  [[nodiscard]] bool has_endpoint_list() const { return has_endpoint_list_; }
  /// Within the update handler: since when the list counts as announced. Before now if polls went unanswered:
  /// a grace period that counts from a lost response has begun by then.
  [[nodiscard]] Time list_announced_at() const { return list_announced_at_; }
  /// Polls another server from now on, and at once. The list and its version carry over: it is the same
  /// service elsewhere.
  void change_server(const SocketAddress& server, std::string service, Duration poll_interval);

 private:
  /// One UDP socket that queries are sent from.
  struct Socket final : EventHandler {
    explicit Socket(DnsDiscoveryClient& owner) : client(owner) {}
    void on_ready(std::uint32_t) override { client.read_responses(*this); }

    DnsDiscoveryClient& client;
    FileDescriptor fd;
    SlotKey key = 0;
    bool used = false;  // a query was sent from it
  };
  /// A query whose response may still arrive.
  struct PendingQuery {
    std::uint16_t id = 0;
    Time sent_at;
    bool first_on_socket = false;
  };
  bool open_socket(Socket& socket);
  void close_socket(Socket& socket);
  Socket& current_socket() { return sockets_[current_index_]; }
  Socket& spare_socket() { return sockets_[1 - current_index_]; }
  void poll_server();
  void send_query(const std::string& query);
  void read_responses(Socket& socket);
  void handle_response(std::string_view message);
  std::vector<PendingQuery>::iterator find_query(std::string_view message);
  void handle_list(DnsResponse response, PendingQuery& query);
  void complete_query(const PendingQuery& query);
  void report_changed_list();
  void log_list(EndpointListTracker::Ordering ordering, std::uint32_t version, std::size_t engine_count,
                bool newly_contradicted);
  void report_path_event(policy::DiscoveryPath::Event event, std::string_view error);

  EventLoop& loop_;
  Logger& log_;
  DiscoveryMetrics& metrics_;
  SocketAddress server_;
  std::string service_;
  policy::PollSchedule schedule_;
  policy::DiscoveryPath path_;
  EndpointListTracker lists_;
  std::uint64_t reported_revision_ = 0;  // of the list that on_update_ was told last
  std::mt19937_64 random_;
  UpdateHandler on_update_;
  // Both descriptors are held from the start, so that a new socket reuses one of them: clients and engines
  // cannot take the descriptor that a reconnect needs.
  std::array<Socket, 2> sockets_{Socket(*this), Socket(*this)};
  std::size_t current_index_ = 0;
  bool socket_unavailable_ = false;  // and that was logged
  // The latest queries, oldest first: a late response to one of them still counts unless a newer one arrived
  // before it.
  std::vector<PendingQuery> pending_queries_;
  policy::UnansweredPolls unanswered_polls_;
  Time list_announced_at_;
  bool has_endpoint_list_ = false;
  TimerId poll_timer_{};
};

}  // namespace rookproxy
