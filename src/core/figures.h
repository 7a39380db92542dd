// The figures that operators read. Each is counted in one place, where its event happens; src/ops reads them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace rookproxy {

struct ClassFigures {
  std::uint64_t served = 0, refused = 0, failed = 0;
};

// Counters since the process began. Those of a class that was dropped stay, so that sums never fall.
struct Figures {
  std::map<std::string, ClassFigures, std::less<>> by_class;
  std::uint64_t attempts_written = 0;        // to the last byte, to query engines
  std::uint64_t loads = 0, load_errors = 0;  // configurations taken and turned down at SIGHUP
};

// What holds at this moment.
struct Gauges {
  std::size_t in_progress = 0;  // requests taken whose clients still wait
  std::size_t engines_listed = 0, engines_avoided = 0;
};

}  // namespace rookproxy
