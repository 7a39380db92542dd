// A TCP connection that passes through a fault-injecting network.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "fakes/fd_callback.h"
#include "fakes/link_direction.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// The interface of the network that a proxied connection uses.
class LinkRules {
 public:
  // Returns the current rule from one node to the other.
  [[nodiscard]] virtual const LinkRule& rule_for(NodeId from, NodeId to) const = 0;
  virtual LinkDirection& direction(NodeId from, NodeId to) = 0;
  // Called when the connection with the id has closed. The connection must not be destroyed during the call.
  virtual void on_connection_closed(std::uint64_t id) = 0;

 protected:
  ~LinkRules() = default;
};

// Forwards bytes in both directions between a client's connection and its own connection to the target, with
// the delays of the rules. Connects to the target once there is no partition between them. Must be used on
// the loop's thread only.
class ProxiedConnection {
 public:
  // The two ends of the connection.
  struct Route {
    NodeId client;
    NodeId target;
    SocketAddress target_address;
  };

  ProxiedConnection(EventLoop& loop, LinkRules& rules, std::uint64_t id, const Route& route,
                    FileDescriptor client_fd);
  ~ProxiedConnection();
  ProxiedConnection(const ProxiedConnection&) = delete;
  ProxiedConnection& operator=(const ProxiedConnection&) = delete;

  [[nodiscard]] const Route& route() const { return route_; }

  // Forwards the bytes that the rules allow. Must also be called after the rules change.
  void forward_bytes();

  // Closes both sides with a TCP reset.
  void reset() { close(true); }

 private:
  struct Segment {
    Time due_at;
    std::string bytes;  // empty for the end of the stream
  };

  // The socket of one end, and the bytes received from it that are queued for the other end.
  struct Side {
    NodeId node = 0;
    FileDescriptor fd;
    std::unique_ptr<FdCallback> callback;
    std::deque<Segment> queue;
    std::size_t queued_bytes = 0;
    std::size_t bytes_sent_of_first_segment = 0;
    bool is_read_closed = false;    // the end of its stream was received
    bool is_write_closed = false;   // the end of its stream was forwarded
    std::optional<TimerId> resume;  // scheduled for when the first segment is due
  };

  void attach(Side& side, FileDescriptor fd);
  [[nodiscard]] bool connect_target();
  void forward_bytes_from(Side& source, Side& sink);
  void read_available(Side& source, const Side& sink);
  void send_due_segments(Side& source, Side& sink);
  [[nodiscard]] bool send_first_segment(Side& source, Side& sink);
  void resume_at(Side& source, Time due_at);
  void close(bool by_reset);

  EventLoop& loop_;
  LinkRules& rules_;
  std::uint64_t id_;
  Route route_;
  Side client_;
  Side target_;
  bool is_closed_ = false;
};

}  // namespace rookproxy::test
