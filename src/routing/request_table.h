// The router's open requests.
#pragma once

#include <map>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/request.h"

namespace rookproxy::routing {

// Owns the requests from their arrival until they are completed and have no attempt in flight. Pointers to a
// request stay valid until it is removed.
class RequestTable {
 public:
  using Map = std::map<RequestId, Request>;

  // Returns the request with this id, or null.
  [[nodiscard]] Request* find(RequestId id);
  [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  // Creates a request from its arrival event. The id must be new.
  Request& add(const RequestArrived& arrived);
  // Marks a completed request for removal.
  void mark_completed(const Request& request) { completed_.push_back(request.id); }
  // Removes the marked requests, except those with an attempt in flight, which have to be marked again.
  void remove_completed();

  // Iterate over all requests in order of their ids.
  [[nodiscard]] Map::iterator begin() { return requests_.begin(); }
  [[nodiscard]] Map::iterator end() { return requests_.end(); }

 private:
  Map requests_;
  std::vector<RequestId> completed_;
};

}  // namespace rookproxy::routing
