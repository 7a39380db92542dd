// A call to a dispatcher's operators' address, from a loop: one line there, the whole answer back.
#pragma once

#include <functional>
#include <string>

#include "net/sockets.h"
#include "net/stream.h"

namespace rookproxy {

class AdminClient final : public StreamHandler {
 public:
  // `done` is called once, after this call: with the answer, or with nothing if there is none in time.
  using Callback = std::function<void(std::string answer)>;
  AdminClient(EventLoop& loop, const SocketAddress& at, std::string_view call, Duration within,
              Callback done);
  ~AdminClient();

  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(std::string_view why) override;

 private:
  void finish(std::string answer);
  EventLoop& loop_;
  Callback callback_;
  std::string response_;
  TimerId timer_{};
  std::unique_ptr<Stream> stream_;
};

}  // namespace rookproxy
