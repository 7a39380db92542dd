#include "admin/admin_server.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "admin/admin_response.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

namespace rookproxy {
namespace {

// A command line may end in a carriage return and a line feed.
constexpr std::size_t kMaxLineEndBytes = 2;

}  // namespace

// One connection, which reads a single command.
class AdminServer::Client final : public StreamHandler {
 public:
  Client(AdminServer& server, SlotKey key, FileDescriptor fd)
      : server_(server),
        key_(key),
        stream_(server.loop_, std::move(fd), *this, false,
                server.limits_.max_command_bytes + kMaxLineEndBytes) {
    timer_ = server_.loop_.run_at(server_.loop_.now() + server_.limits_.timeout,
                                  [this] { server_.close_client(key_); });
  }
  ~Client() { server_.loop_.cancel(timer_); }

  std::size_t on_bytes(std::string_view bytes) override {
    if (has_responded_) return bytes.size();  // Input after the command is discarded.
    const auto line_end = bytes.find('\n');
    std::string_view command = bytes.substr(0, line_end);
    const bool is_too_long = command.size() > server_.limits_.max_command_bytes;
    if (line_end == bytes.npos && !is_too_long) return 0;
    if (command.ends_with('\r')) command.remove_suffix(1);
    respond(is_too_long ? "-ERR the line is too long" : admin_response(command, server_.source_));
    return bytes.size();
  }
  void on_closed(std::string_view) override { server_.close_client(key_); }

 private:
  // Closes the connection once the response was sent. All input is read, as unread input would reset it.
  void respond(std::string response) {
    has_responded_ = true;
    stream_.write(std::move(response) + "\n");
    stream_.shutdown_write();
  }

  AdminServer& server_;
  SlotKey key_;
  bool has_responded_ = false;
  TimerId timer_{};
  Stream stream_;
};

AdminServer::AdminServer(EventLoop& loop, FileDescriptor listener, const AdminSource& source, Limits limits)
    : loop_(loop),
      source_(source),
      limits_(limits),
      acceptor_(loop, std::move(listener), [this](FileDescriptor fd) { accept(std::move(fd)); }) {}

AdminServer::~AdminServer() = default;

void AdminServer::accept(FileDescriptor fd) {
  if (clients_.size() >= limits_.max_clients) {
    const auto keys = clients_.keys();
    const SlotKey oldest = *std::min_element(keys.begin(), keys.end());  // Keys are ordered by age.
    close_client(oldest);
  }
  const SlotKey key = clients_.insert(nullptr);
  *clients_.find(key) = std::make_unique<Client>(*this, key, std::move(fd));
}

void AdminServer::close_client(SlotKey key) {
  auto client = clients_.take(key);
  if (!client) return;
  // The client may be the caller, so it is destroyed at the end of the loop iteration.
  loop_.defer([closing = std::make_shared<std::unique_ptr<Client>>(std::move(*client))] {});
}

}  // namespace rookproxy
