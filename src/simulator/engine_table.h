// The engines that an instance has been told of, by the addresses that the simulator's protocol names them
// with.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::simulator {

// Numbers engines from 0 in the order in which they were first named; an engine keeps its number. Used by one
// thread at a time.
class EngineTable {
 public:
  // The number of an engine, which gets one if it has none yet.
  routing::EngineId add(const std::string& address);

  // The number of an engine that is known. Throws FormatError for any other.
  [[nodiscard]] routing::EngineId find(std::string_view address) const;

  // The address of an engine. Throws std::out_of_range for a number that was not given.
  [[nodiscard]] const std::string& address(routing::EngineId engine) const { return addresses_.at(engine); }

  void clear();

 private:
  std::unordered_map<std::string, routing::EngineId> ids_;
  std::vector<std::string> addresses_;
};

}  // namespace rookproxy::simulator
