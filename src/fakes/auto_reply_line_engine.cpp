#include "fakes/auto_reply_line_engine.h"

#include <memory>

#include "fakes/sockets.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/stream.h"

namespace rookproxy::test {
namespace {

constexpr auto kStopCheckInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxInputBytes = 1u << 20;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kRequestCommand = "REQ ";

}  // namespace

// The engine's event loop, listener and connections. Runs on the engine's thread.
class AutoReplyLineEngine::Server {
 public:
  explicit Server(AutoReplyLineEngine& engine)
      : engine_(engine),
        acceptor_(loop_, listen_on_free_port(), [this](FileDescriptor fd) { accept(std::move(fd)); }) {
    engine_.port_ = acceptor_.port();
    engine_.started_ = true;
    poll_stop_request();
  }

  void run() { loop_.run(); }

 private:
  class Connection;

  void accept(FileDescriptor fd);

  void poll_stop_request() {
    if (engine_.stop_requested_) return loop_.stop();
    loop_.run_at(loop_.now() + kStopCheckInterval, [this] { poll_stop_request(); });
  }

  EventLoop loop_;
  AutoReplyLineEngine& engine_;
  SlotMap<std::unique_ptr<Connection>> connections_;
  Acceptor acceptor_;
};

class AutoReplyLineEngine::Server::Connection final : public StreamHandler {
 public:
  Connection(Server& server, SlotKey key, FileDescriptor fd)
      : server_(server), key_(key), stream_(server.loop_, std::move(fd), *this, false, kMaxInputBytes) {}

  std::size_t on_bytes(std::string_view bytes) override {
    const auto line_size = bytes.find(kLineEnd);
    if (line_size == std::string_view::npos) return 0;
    const std::string_view line = bytes.substr(0, line_size);
    const std::size_t consumed = line_size + kLineEnd.size();
    if (line.starts_with(kRequestCommand)) return handle_request(line, bytes.substr(consumed));
    if (line.starts_with("HELO ") || line.starts_with("STAT ")) {
      stream_.write(std::string(line.substr(5)) + " well - 0\r\n\r\n");
    }
    return consumed;
  }

  // May be called from on_bytes, so the connection is destroyed after the current loop iteration.
  void on_closed(std::string_view) override {
    auto closed = server_.connections_.take(key_);
    if (!closed) return;
    server_.loop_.defer([connection = std::make_shared<std::unique_ptr<Connection>>(std::move(*closed))] {});
  }

 private:
  // `after_line` contains the bytes after the command's line. Returns the number of bytes that the line and
  // the body took, or 0 if the body is incomplete.
  std::size_t handle_request(std::string_view line, std::string_view after_line) {
    const std::size_t body_size = std::stoul(std::string(line.substr(line.rfind(' ') + 1)));
    if (after_line.size() < body_size + kLineEnd.size()) return 0;
    const std::string_view fields = line.substr(kRequestCommand.size());
    const std::string_view id = fields.substr(0, fields.find(' '));
    server_.engine_.on_statement(after_line.substr(0, body_size));
    stream_.write(std::string(id) + " data parts=1 6\r\na\tb\tc\n\r\n");
    return line.size() + kLineEnd.size() + body_size + kLineEnd.size();
  }

  Server& server_;
  SlotKey key_;
  Stream stream_;
};

void AutoReplyLineEngine::Server::accept(FileDescriptor fd) {
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd));
}

AutoReplyLineEngine::AutoReplyLineEngine() : thread_([this] { run(); }) {
  while (!started_) std::this_thread::yield();
}

AutoReplyLineEngine::~AutoReplyLineEngine() {
  stop_requested_ = true;
  thread_.join();
}

void AutoReplyLineEngine::run() {
  Server server(*this);
  server.run();
}

void AutoReplyLineEngine::on_statement(std::string_view statement) {
  if (records_statements_) {
    const std::lock_guard lock(mutex_);
    ++statement_counts_[std::string(statement)];
    arrival_times_.push_back(std::chrono::steady_clock::now());
  }
  ++response_count_;
}

std::vector<std::chrono::steady_clock::time_point> AutoReplyLineEngine::arrival_times() {
  const std::lock_guard lock(mutex_);
  return arrival_times_;
}

std::uint64_t AutoReplyLineEngine::count_statements_containing(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::uint64_t count = 0;
  for (const auto& [statement, times] : statement_counts_) {
    if (statement.find(text) != std::string::npos) count += times;
  }
  return count;
}

}  // namespace rookproxy::test
