// A call to a dispatcher's operators' address, from a loop: one line there, the whole answer back.
#pragma once

#include <functional>
#include <string>

#include "net/stream.h"

namespace rookproxy {

class OpsCall final : public StreamUser {
 public:
  // `done` is called once, after this call: with the answer, or with nothing if there is none in time.
  using Done = std::function<void(std::string answer)>;
  OpsCall(Loop& loop, const Endpoint& at, std::string_view call, Duration within, Done done);
  ~OpsCall();

  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(std::string_view why) override;

 private:
  void end(std::string answer);
  Loop& loop_;
  Done done_;
  std::string answer_;
  TimerKey timer_{};
  std::unique_ptr<Stream> stream_;
};

}  // namespace rookproxy
