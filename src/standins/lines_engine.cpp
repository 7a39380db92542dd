#include "standins/lines_engine.h"

#include <memory>

#include "net/slots.h"
#include "net/stream.h"

namespace rookproxy::test {

class LinesEngineLoop {
 public:
  explicit LinesEngineLoop(LinesEngine& engine)
      : engine_(engine),
        acceptor_(loop_, listen_tcp({0x7f000001, 0}), [this](Fd fd) { accept(std::move(fd)); }) {
    engine_.port_ = acceptor_.port();
    engine_.started_ = true;
    look_for_end();
  }
  void run() { loop_.run(); }

 private:
  class Link final : public StreamUser {
   public:
    Link(LinesEngineLoop& owner, SlotKey key, Fd fd)
        : owner_(owner), key_(key), stream_(owner.loop_, std::move(fd), *this, false, 1u << 20) {}
    std::size_t on_bytes(std::string_view bytes) override {
      const auto end = bytes.find("\r\n");
      if (end == bytes.npos) return 0;
      const std::string_view line = bytes.substr(0, end);
      if (line.starts_with("REQ ")) return request(bytes, line, end + 2);
      if (line.starts_with("HELO ") || line.starts_with("STAT ")) {
        stream_.write(std::string(line.substr(5)) + " well - 0\r\n\r\n");
      }
      return end + 2;
    }
    void on_closed(std::string_view) override {
      if (auto gone = owner_.links_.take(key_)) {
        owner_.loop_.defer([kept = std::make_shared<std::unique_ptr<Link>>(std::move(*gone))] {});
      }
    }

   private:
    std::size_t request(std::string_view bytes, std::string_view line, std::size_t body_at) {
      const std::size_t body = std::stoul(std::string(line.substr(line.rfind(' ') + 1)));
      if (bytes.size() < body_at + body + 2) return 0;
      const std::string_view id = line.substr(4, line.find(' ', 4) - 4);
      if (owner_.engine_.keep_) {
        const std::lock_guard lock(owner_.engine_.mutex_);
        ++owner_.engine_.statements_[std::string(bytes.substr(body_at, body))];
        owner_.engine_.arrivals_.push_back(std::chrono::steady_clock::now());
      }
      ++owner_.engine_.answered_;
      stream_.write(std::string(id) + " data parts=1 6\r\na\tb\tc\n\r\n");
      return body_at + body + 2;
    }
    LinesEngineLoop& owner_;
    SlotKey key_;
    Stream stream_;
  };
  void accept(Fd fd) {
    const SlotKey key = links_.insert(nullptr);
    *links_.find(key) = std::make_unique<Link>(*this, key, std::move(fd));
  }
  void look_for_end() {
    if (engine_.stop_) return loop_.stop();
    loop_.at(loop_.now() + std::chrono::milliseconds(20), [this] { look_for_end(); });
  }
  Loop loop_;
  LinesEngine& engine_;
  SlotTable<std::unique_ptr<Link>> links_;
  Acceptor acceptor_;
};

LinesEngine::LinesEngine() : thread_([this] { run(); }) {
  while (!started_) std::this_thread::yield();
}

LinesEngine::~LinesEngine() {
  stop_ = true;
  thread_.join();
}

void LinesEngine::run() {
  LinesEngineLoop loop(*this);
  loop.run();
}

std::vector<std::chrono::steady_clock::time_point> LinesEngine::arrivals() {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

std::uint64_t LinesEngine::seen(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::uint64_t sum = 0;
  for (const auto& [statement, times] : statements_) {
    if (statement.find(text) != statement.npos) sum += times;
  }
  return sum;
}

}  // namespace rookproxy::test
