#include "fakes/lines_engine.h"

#include <memory>

#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/sockets.h"
#include "net/stream.h"

namespace rookproxy::test {

class AutoReplyLineEngineLoop {
 public:
  explicit AutoReplyLineEngineLoop(AutoReplyLineEngine& engine)
      : engine_(engine),
        acceptor_(loop_, listen_tcp({0x7f000001, 0}), [this](FileDescriptor fd) { accept(std::move(fd)); }) {
    engine_.port_ = acceptor_.port();
    engine_.started_ = true;
    poll_stop_request();
  }
  void run() { loop_.run(); }

 private:
  class Connection final : public StreamHandler {
   public:
    Connection(AutoReplyLineEngineLoop& owner, SlotKey key, FileDescriptor fd)
        : owner_(owner), key_(key), stream_(owner.loop_, std::move(fd), *this, false, 1u << 20) {}
    std::size_t on_bytes(std::string_view bytes) override {
      const auto end = bytes.find("\r\n");
      if (end == bytes.npos) return 0;
      const std::string_view line = bytes.substr(0, end);
      if (line.starts_with("REQ ")) return handle_request(bytes, line, end + 2);
      if (line.starts_with("HELO ") || line.starts_with("STAT ")) {
        stream_.write(std::string(line.substr(5)) + " well - 0\r\n\r\n");
      }
      return end + 2;
    }
    void on_closed(std::string_view) override {
      if (auto gone = owner_.connections_.take(key_)) {
        owner_.loop_.defer([kept = std::make_shared<std::unique_ptr<Connection>>(std::move(*gone))] {});
      }
    }

   private:
    std::size_t handle_request(std::string_view bytes, std::string_view line, std::size_t body_at) {
      const std::size_t body = std::stoul(std::string(line.substr(line.rfind(' ') + 1)));
      if (bytes.size() < body_at + body + 2) return 0;
      const std::string_view id = line.substr(4, line.find(' ', 4) - 4);
      if (owner_.engine_.record_statements_) {
        const std::lock_guard lock(owner_.engine_.mutex_);
        ++owner_.engine_.statement_counts_[std::string(bytes.substr(body_at, body))];
        owner_.engine_.arrival_times_.push_back(std::chrono::steady_clock::now());
      }
      ++owner_.engine_.response_count_;
      stream_.write(std::string(id) + " data parts=1 6\r\na\tb\tc\n\r\n");
      return body_at + body + 2;
    }
    AutoReplyLineEngineLoop& owner_;
    SlotKey key_;
    Stream stream_;
  };
  void accept(FileDescriptor fd) {
    const SlotKey key = connections_.insert(nullptr);
    *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd));
  }
  void poll_stop_request() {
    if (engine_.stop_requested_) return loop_.stop();
    loop_.run_at(loop_.now() + std::chrono::milliseconds(20), [this] { poll_stop_request(); });
  }
  EventLoop loop_;
  AutoReplyLineEngine& engine_;
  SlotMap<std::unique_ptr<Connection>> connections_;
  Acceptor acceptor_;
};

AutoReplyLineEngine::AutoReplyLineEngine() : thread_([this] { run(); }) {
  while (!started_) std::this_thread::yield();
}

AutoReplyLineEngine::~AutoReplyLineEngine() {
  stop_requested_ = true;
  thread_.join();
}

void AutoReplyLineEngine::run() {
  AutoReplyLineEngineLoop loop(*this);
  loop.run();
}

std::vector<std::chrono::steady_clock::time_point> AutoReplyLineEngine::arrival_times() {
  const std::lock_guard lock(mutex_);
  return arrival_times_;
}

std::uint64_t AutoReplyLineEngine::count_statements_containing(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::uint64_t sum = 0;
  for (const auto& [statement, times] : statement_counts_) {
    if (statement.find(text) != statement.npos) sum += times;
  }
  return sum;
}

}  // namespace rookproxy::test
