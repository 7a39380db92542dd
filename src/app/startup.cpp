#include "app/startup.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <system_error>
#include <thread>

#include "net/clock.h"
#include "net/system_error_class.h"

namespace rookproxy {
namespace {

constexpr Duration kFirstPause = std::chrono::milliseconds(10);
constexpr Duration kLongestPause = std::chrono::milliseconds(500);
// A restarted process has to be ready within 10 s.
constexpr Duration kMaxWait = std::chrono::seconds(5);

bool may_pass(const std::system_error& error) {
  return error.code().category() == std::generic_category() && is_resource_exhaustion(error.code().value());
}

}  // namespace

void start_when_resources_allow(Logger& log, const std::function<void()>& start) {
  const Time give_up_at = monotonic_now() + kMaxWait;
  Duration pause = kFirstPause;
  for (bool is_first = true;; is_first = false) {
    try {
      return start();
    } catch (const std::system_error& error) {
      if (!may_pass(error) || monotonic_now() + pause >= give_up_at) throw;
      if (is_first) {
        log.write(LogLevel::kWarning, "start", "the host lacks something, tried again",
                  {{"error", error.what()}, {"errno", std::to_string(error.code().value())}});
      }
    }
    std::this_thread::sleep_for(pause);
    pause = std::min(2 * pause, kLongestPause);
  }
}

}  // namespace rookproxy
