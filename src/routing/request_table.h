// The requests that a router knows.
#pragma once

#include <map>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/request.h"

namespace rookproxy::routing {

// Owns the requests from their arrival until they are completed and have no attempt in flight. Pointers to a
// request stay valid until it is forgotten. Decides nothing.
class RequestTable {
 public:
  using Map = std::map<RequestId, Request>;

  // The request of this id, or null.
  [[nodiscard]] Request* find(RequestId id);
  [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  // Creates a request with what its arrival says. Its id must be new.
  Request& add(const RequestArrived& arrived);
  // Marks a request as one that may be forgotten soon.
  void note_completed(const Request& request) { completed_.push_back(request.id); }
  // Forgets the marked requests, except those with an attempt in flight, which will be marked once more.
  void forget_completed();

  // All requests in the order of their ids.
  [[nodiscard]] Map::iterator begin() { return requests_.begin(); }
  [[nodiscard]] Map::iterator end() { return requests_.end(); }

 private:
  Map requests_;
  std::vector<RequestId> completed_;
};

}  // namespace rookproxy::routing
