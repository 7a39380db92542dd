#include "fakes/fake_mysql_engine.h"

#include <chrono>
#include <set>

#include "fakes/fake_mysql_session.h"
#include "fakes/sockets.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

namespace rookproxy::test {
namespace {

constexpr auto kStopCheckInterval = std::chrono::milliseconds(20);

}  // namespace

FakeMysqlEngine::FakeMysqlEngine()
    : listener_(listen_on_free_port()), accept_thread_([this] { accept_connections(); }) {}

FakeMysqlEngine::~FakeMysqlEngine() {
  state_.request_stop();
  accept_thread_.join();
  for (std::thread& thread : session_threads_) thread.join();
}

void FakeMysqlEngine::accept_connections() {
  while (!state_.is_stop_requested()) {
    if (!wait_until_readable(listener_, kStopCheckInterval)) continue;
    FileDescriptor fd = accept_connection(listener_);
    if (!fd) continue;
    session_threads_.emplace_back([this, fd = std::move(fd)]() mutable {
      FakeMysqlSession session(std::move(fd), state_);
      session.run();
    });
  }
}

std::size_t count_repeated_executions(const std::vector<std::string>& executed) {
  const std::set<std::string> distinct(executed.begin(), executed.end());
  return executed.size() - distinct.size();
}

}  // namespace rookproxy::test
