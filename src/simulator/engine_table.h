// The ids of the engines that an instance knows, by the addresses that the simulator's protocol uses.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::simulator {

// Assigns ids to engines from 0 in the order of their first appearance; an engine keeps its id. Not
// thread-safe.
class EngineTable {
 public:
  // Returns the engine's id and assigns one if it has none yet.
  routing::EngineId add(const std::string& address);

  // Returns the id of a known engine. Throws FormatError for an unknown one.
  [[nodiscard]] routing::EngineId find(std::string_view address) const;

  // Returns the address of an engine. Throws std::out_of_range for an id that was not assigned.
  [[nodiscard]] const std::string& address(routing::EngineId engine) const { return addresses_.at(engine); }

  void clear();

 private:
  std::unordered_map<std::string, routing::EngineId> ids_;
  std::vector<std::string> addresses_;
};

}  // namespace rookproxy::simulator
