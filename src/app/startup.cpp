#include "app/startup.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <system_error>
#include <thread>

#include "net/clock.h"
#include "net/system_error_class.h"

namespace rookproxy {
namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(10);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);
// A restarted process has to be ready within 10 s.
constexpr Duration kMaxRetryTime = std::chrono::seconds(5);

// Buffers from this size on have a mapping of their own. The allocator would raise the size each time it
// releases a larger one.
constexpr int kMinMappedBytes = 1 << 20;
constexpr int kMaxUnusedBytes = 2 << 20;

bool is_transient(const std::system_error& error) {
  return error.code().category() == std::generic_category() && is_resource_exhaustion(error.code().value());
}

}  // namespace

void return_large_buffers() {
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMaxUnusedBytes);
}

void start_with_retries(Logger& log, const std::function<void()>& start) {
  const Time deadline = monotonic_now() + kMaxRetryTime;
  Duration backoff = kInitialBackoff;
  for (bool is_first = true;; is_first = false) {
    try {
      return start();
    } catch (const std::system_error& error) {
      if (!is_transient(error) || monotonic_now() + backoff >= deadline) throw;
      if (is_first) {
        log.write(LogLevel::kWarning, "start", "start failed for lack of system resources; retrying",
                  {{"error", error.what()}, {"errno", std::to_string(error.code().value())}});
      }
    }
    std::this_thread::sleep_for(backoff);
    backoff = std::min(2 * backoff, kMaxBackoff);
  }
}

}  // namespace rookproxy
