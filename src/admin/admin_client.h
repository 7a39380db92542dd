// Sends one command to a dispatcher's admin address from an event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "net/stream.h"

namespace rookproxy {

// One command and its response, over a separate connection. Used only on the event loop's thread.
class AdminClient final : public StreamHandler {
 public:
  // Called once, but not from the constructor, with the whole response; empty if none was received in time.
  using Callback = std::function<void(std::string response)>;

  AdminClient(EventLoop& loop, const SocketAddress& address, std::string_view command, Duration timeout,
              Callback callback);
  ~AdminClient();

  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(std::string_view reason) override;

 private:
  void finish(std::string response);

  EventLoop& loop_;
  Callback callback_;
  std::string response_;
  TimerId timer_{};
  std::unique_ptr<Stream> stream_;
};

}  // namespace rookproxy
