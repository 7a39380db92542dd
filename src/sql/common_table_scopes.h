// The names that WITH clauses have defined, by scope.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rookproxy::sql {

// Clients choose the names and their number, so each operation takes logarithmic time.
class CommonTableScopes {
 public:
  // Identifies the scope that begins when it is returned; a scope ends after those that began in it.
  using Scope = std::size_t;

  [[nodiscard]] Scope begin_scope() const { return names_.size(); }
  // Removes the names that were defined since the scope began.
  void end_scope(Scope scope) {
    for (; names_.size() > scope; names_.pop_back()) {
      const auto name = names_.back();
      if (--name->second == 0) definition_counts_.erase(name);
    }
  }
  void define(std::string_view name) {
    const auto entry = definition_counts_.try_emplace(std::string(name), 0).first;
    ++entry->second;
    names_.push_back(entry);
  }
  [[nodiscard]] bool contains(std::string_view name) const { return definition_counts_.contains(name); }

 private:
  // An inner scope may define a name of an outer one again.
  using DefinitionCounts = std::map<std::string, std::size_t, std::less<>>;
  DefinitionCounts definition_counts_;
  std::vector<DefinitionCounts::iterator> names_;  // in the order of their definition
};

}  // namespace rookproxy::sql
