// A set of names that keeps the order in which they were added.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rookproxy::sql {

// Clients choose the names and their number, so each operation takes logarithmic time, and no choice of names
// makes it slower, as it could with hashing.
class NameSet {
 public:
  NameSet() = default;
  NameSet(const NameSet&) = delete;
  NameSet& operator=(const NameSet&) = delete;

  // Does nothing if the name is in the set.
  void add(std::string_view name) {
    if (names_.contains(name)) return;
    in_order_.push_back(&*names_.emplace(name).first);
  }
  // Returns the names in the order in which they were added.
  [[nodiscard]] std::vector<std::string> to_vector() const {
    std::vector<std::string> names;
    names.reserve(in_order_.size());
    for (const std::string* name : in_order_) names.push_back(*name);
    return names;
  }

 private:
  std::set<std::string, std::less<>> names_;
  std::vector<const std::string*> in_order_;
};

}  // namespace rookproxy::sql
