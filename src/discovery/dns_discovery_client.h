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

// Polls one DNS server over UDP and reports changes of the endpoint list. If the server does not respond, the
// last list stays in force. Runs on the event loop's thread. The loop, the logger and the metrics must
// outlive it.
class DnsDiscoveryClient final {
 public:
  // Called from the event loop with the usable endpoint list when it has changed (see
  // EndpointListTracker::usable_endpoints()).
  using UpdateHandler = std::function<void(const std::vector<EngineEndpoint>&)>;

  // Sends the first poll at once and later ones about every `poll_interval`. `known` is the initial list,
  // which is not reported. `seed` is the seed for the query ids and the jitter between polls.
  DnsDiscoveryClient(EventLoop& loop, Logger& log, DiscoveryMetrics& metrics, const SocketAddress& server,
                     std::string service, Duration poll_interval, const EndpointList& known,
                     std::uint64_t seed, UpdateHandler on_update);
  ~DnsDiscoveryClient();
  DnsDiscoveryClient(const DnsDiscoveryClient&) = delete;
  DnsDiscoveryClient& operator=(const DnsDiscoveryClient&) = delete;

  // Whether a usable response has been received.
  [[nodiscard]] bool has_endpoint_list() const { return has_endpoint_list_; }
  // To be called within the update handler: the earliest time at which the list may have been announced. This
  // is in the past if polls were not answered, since a lost response may have started a grace period.
  [[nodiscard]] Time list_announced_at() const { return list_announced_at_; }
  // Polls another server from now on, with a first poll at once. The list and its version are kept, since the
  // other server provides the same service.
  void change_server(const SocketAddress& server, std::string service, Duration poll_interval);

 private:
  // A UDP socket for queries.
  struct Socket final : EventHandler {
    explicit Socket(DnsDiscoveryClient& owner) : client(owner) {}
    void on_ready(std::uint32_t) override { client.read_responses(*this); }

    DnsDiscoveryClient& client;
    FileDescriptor fd;
    SlotKey key = 0;
    // Whether a query has been sent from it.
    bool used = false;
  };
  // A query whose response may still arrive.
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
  EndpointListTracker list_tracker_;
  // The revision of the list that was last passed to `on_update_`.
  std::uint64_t reported_revision_ = 0;
  std::mt19937_64 random_;
  UpdateHandler on_update_;
  // Both file descriptors are held from the start and reused for new sockets, so that a new socket can be
  // opened when all other descriptors are in use.
  std::array<Socket, 2> sockets_{Socket(*this), Socket(*this)};
  std::size_t current_index_ = 0;
  // Whether the last attempt to open a socket failed, which is logged once.
  bool socket_unavailable_ = false;
  // The latest queries, oldest first. A late response to one of them is still used unless a newer one has
  // arrived.
  std::vector<PendingQuery> pending_queries_;
  policy::UnansweredPolls unanswered_polls_;
  Time list_announced_at_;
  bool has_endpoint_list_ = false;
  TimerId poll_timer_{};
};

}  // namespace rookproxy
