// The client connections of one frontend, and what both frontends do with all of them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

#include "net/event_loop.h"
#include "net/incremental_scan.h"
#include "net/slot_map.h"

namespace rookproxy {

/// Owns a frontend's connections, by keys that are never reused. `Connection` has is_evictable(Time) and
/// eviction_order(), close_when_answered(), is_flushed(), unread_response_bytes() and recheck_certificate().
/// Used on the event loop's thread; the loop must outlive it.
template <class Connection>
class ConnectionTable {
 public:
  explicit ConnectionTable(EventLoop& loop) : loop_(loop) {}

  /// Creates a connection from its owner, its key and `arguments`.
  template <class Owner, class... Arguments>
  Connection& emplace(Owner& owner, Arguments&&... arguments) {
    const SlotKey key = connections_.insert(nullptr);
    auto connection = std::make_unique<Connection>(owner, key, std::forward<Arguments>(arguments)...);
    std::unique_ptr<Connection>& slot = *connections_.find(key);
    slot = std::move(connection);
    return *slot;
  }
  /// Removes a connection, which may be in the middle of a call: it is destroyed at the end of the iteration.
  void remove(SlotKey key) {
    auto removed = std::make_shared<std::unique_ptr<Connection>>(std::move(*connections_.take(key)));
    loop_.defer([removed] {});
  }

  [[nodiscard]] Connection* find(SlotKey key) const {
    const auto* found = connections_.find(key);
    return found ? found->get() : nullptr;
  }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }

  /// Calls `visit` with each connection that is there now; one that goes meanwhile is left out.
  template <class Visitor>
  void for_each(Visitor visit) const {
    for (const SlotKey key : connections_.keys()) {
      if (Connection* connection = find(key)) visit(*connection);
    }
  }

  /// Bytes written for clients that have not read them, of all connections.
  [[nodiscard]] std::size_t unread_response_bytes() const {
    std::size_t sum = 0;
    for_each([&sum](const Connection& connection) { sum += connection.unread_response_bytes(); });
    return sum;
  }
  /// Whether nothing is queued for any client.
  [[nodiscard]] bool is_flushed() const {
    const auto keys = connections_.keys();
    return std::all_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_flushed(); });
  }
  /// The evictable connection whose eviction order is the least; 0 if none is evictable.
  [[nodiscard]] SlotKey eviction_candidate() const {
    SlotKey candidate = 0;
    for (const SlotKey key : connections_.keys()) {
      const Connection* connection = find(key);
      if (!connection->is_evictable(loop_.now())) continue;
      if (candidate == 0 || connection->eviction_order() < find(candidate)->eviction_order()) candidate = key;
    }
    return candidate;
  }

  /// Closes each connection gracefully, once what is open on it has its response.
  void close_when_answered() {
    for_each([](Connection& connection) { connection.close_when_answered(); });
  }
  /// Checks each connection's client certificate anew, a few connections an iteration.
  void recheck_certificates() {
    if (!certificate_scan_) {
      certificate_scan_ = std::make_unique<IncrementalScan>(loop_, [this](SlotKey key) {
        if (Connection* connection = find(key)) connection->recheck_certificate();
      });
    }
    certificate_scan_->start(connections_.keys());
  }

 private:
  EventLoop& loop_;
  SlotMap<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<IncrementalScan> certificate_scan_;  // made when it is first needed, to save idle memory
};

}  // namespace rookproxy
