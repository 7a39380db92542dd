// The table of a frontend's client connections, with the operations that apply to all of them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

#include "net/event_loop.h"
#include "net/incremental_scan.h"
#include "net/slot_map.h"

namespace rookproxy {

// Owns a frontend's connections and identifies them by keys that are never reused. `Connection` must have
// is_evictable(Time), eviction_order(), close_after_responses(), is_flushed(), update_unread_memory() and
// recheck_certificate(). Must be used on the event loop's thread; the loop must outlive it.
template <class Connection>
class ConnectionTable {
 public:
  explicit ConnectionTable(EventLoop& loop) : loop_(loop) {}

  // Creates a connection from its owner, its key and `arguments`.
  template <class Owner, class... Arguments>
  Connection& emplace(Owner& owner, Arguments&&... arguments) {
    const SlotKey key = connections_.insert(nullptr);
    auto connection = std::make_unique<Connection>(owner, key, std::forward<Arguments>(arguments)...);
    std::unique_ptr<Connection>& slot = *connections_.find(key);
    slot = std::move(connection);
    return *slot;
  }
  // Removes a connection. It is destroyed in a deferred task, because it may be in the middle of a call.
  void remove(SlotKey key) {
    auto removed = std::make_shared<std::unique_ptr<Connection>>(std::move(*connections_.take(key)));
    loop_.defer([removed] {});
  }

  [[nodiscard]] Connection* find(SlotKey key) const {
    const auto* found = connections_.find(key);
    return found ? found->get() : nullptr;
  }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }

  // Calls `visit` with each current connection, except those that are removed during the iteration.
  template <class Visitor>
  void for_each(Visitor visit) const {
    for (const SlotKey key : connections_.keys()) {
      if (Connection* connection = find(key)) visit(*connection);
    }
  }

  // Counts the response bytes that clients have not read, for all connections.
  void update_unread_memory() const {
    for_each([](Connection& connection) { connection.update_unread_memory(); });
  }
  // Returns true if no bytes are queued for any client.
  [[nodiscard]] bool is_flushed() const {
    const auto keys = connections_.keys();
    return std::all_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_flushed(); });
  }
  // Returns the evictable connection that is first in eviction order; 0 if none is evictable.
  [[nodiscard]] SlotKey eviction_candidate() const {
    SlotKey candidate = 0;
    for (const SlotKey key : connections_.keys()) {
      const Connection* connection = find(key);
      if (!connection->is_evictable(loop_.now())) continue;
      if (candidate == 0 || connection->eviction_order() < find(candidate)->eviction_order()) candidate = key;
    }
    return candidate;
  }

  // Closes each connection gracefully once its open requests have their responses.
  void close_after_responses() {
    for_each([](Connection& connection) { connection.close_after_responses(); });
  }
  // Checks each connection's client certificate again, a few connections per iteration of the event loop.
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
  // Created on first use to save memory.
  std::unique_ptr<IncrementalScan> certificate_scan_;
};

}  // namespace rookproxy
