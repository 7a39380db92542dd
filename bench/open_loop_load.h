// Load on a dispatcher's frame port.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "latency_samples.h"
#include "net/file_descriptor.h"

namespace rookproxy::bench {

using SteadyClock = std::chrono::steady_clock;

// A request of the class `lookup` on that stream; an empty token is left out.
[[nodiscard]] std::string encode_lookup(std::uint32_t stream_id, std::uint64_t call_id,
                                        const std::string& token);

// Open-loop load: what is due is sent whether or not responses have come, and each request is timed from when
// it was due. The thread spins, so that its own wake-ups are not measured. For one thread.
class OpenLoopLoad {
 public:
  // The requests carry the tokens in turns; none if there are none.
  OpenLoopLoad(std::uint16_t port, double requests_per_second, std::vector<std::string> tokens);
  // Sends for this long, and then waits some seconds for the last responses.
  [[nodiscard]] LoadResult run(SteadyClock::duration length);

 private:
  // A client connection and what it waits for.
  struct Connection {
    FileDescriptor socket;
    std::string received;
    // By stream id, of which 0 is the connection itself.
    std::vector<SteadyClock::time_point> due_at{SteadyClock::time_point()};
  };

  // False if the socket does not take the whole request.
  bool send_request(SteadyClock::time_point due);
  void read_responses(Connection& connection);
  void parse_responses(Connection& connection);

  SteadyClock::duration interval_;
  std::vector<std::string> tokens_;
  std::vector<Connection> connections_;
  std::size_t sent_ = 0;
  std::size_t responses_ = 0;
  LoadResult result_;
};

}  // namespace rookproxy::bench
