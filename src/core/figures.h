// The figures that operators read. Each is counted in one place, where its event happens; src/ops reads them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace rookproxy {

struct ClassFigures {
  std::uint64_t served = 0, refused = 0, failed = 0;
};

// Of callers, where they are identified.
struct AccessFigures {
  bool on = false;
  std::size_t keys = 0;  // in the set, whether in force or not
  std::uint64_t checks_cached = 0, checks_run = 0, checks_bad = 0;
  std::chrono::microseconds check_time{};       // that the checked signatures took
  std::map<std::string, std::uint64_t> denied;  // by the denial's word
};

// Counters since the process began. Those of a class that was dropped stay, so that sums never fall.
struct Figures {
  std::map<std::string, ClassFigures, std::less<>> by_class;
  // By tenant and class. Tenants are those that a file names, in [access] or the settings: clients add none.
  std::map<std::string, std::map<std::string, ClassFigures, std::less<>>, std::less<>> by_tenant;
  AccessFigures access;
  std::uint64_t attempts_written = 0;        // to the last byte, to query engines
  std::uint64_t loads = 0, load_errors = 0;  // configurations taken and turned down at SIGHUP
};

// What holds at this moment.
struct Gauges {
  std::size_t in_progress = 0;  // requests taken whose clients still wait
  std::size_t engines_listed = 0, engines_avoided = 0;
};

}  // namespace rookproxy
