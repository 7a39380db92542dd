#include "open_loop_load.h"

#include <sys/socket.h>

#include <array>
#include <thread>
#include <utility>

#include "fakes/sockets.h"
#include "frontend/frame_codec.h"
#include "support/request_frame.h"

namespace rookproxy::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kConnections = 16;
constexpr auto kConnectTime = 50ms;
// How long run() waits for responses after the last request.
constexpr auto kResponseGracePeriod = 5s;
constexpr std::size_t kReadSize = 8192;

constexpr const char* kStatement =
    "SELECT p.name, m.mark FROM sales_17.pupils AS p JOIN sales_17.marks AS m ON m.pupil = p.id";

}  // namespace

std::string encode_lookup(std::uint32_t stream_id, std::uint64_t call_id, const std::string& token) {
  frames::Fields fields{{"call", test::format_call_id(call_id)}, {"op", "lookup"}, {"ttl", "3000"}};
  if (!token.empty()) fields.emplace("token", token);
  return test::encode_request_frame(stream_id, fields, kStatement);
}

OpenLoopLoad::OpenLoopLoad(std::uint16_t port, double requests_per_second, std::vector<std::string> tokens)
    : interval_(std::chrono::duration_cast<SteadyClock::duration>(
          std::chrono::duration<double>(1 / requests_per_second))),
      tokens_(std::move(tokens)),
      connections_(kConnections) {
  for (auto& connection : connections_) connection.socket = connect_tcp({test::kLoopbackAddress, port});
  std::this_thread::sleep_for(kConnectTime);
}

LoadResult OpenLoopLoad::run(SteadyClock::duration length) {
  const auto begin = SteadyClock::now();
  const auto end = begin + length;
  auto due = begin;
  while (responses_ < sent_ || due < end) {
    const auto now = SteadyClock::now();
    if (now > end + kResponseGracePeriod) break;
    if (due < end && now >= due) {
      if (!send_request(due)) break;
      due += interval_;
    }
    for (auto& connection : connections_) read_responses(connection);
  }
  return result_;
}

bool OpenLoopLoad::send_request(SteadyClock::time_point due) {
  // Never the same id twice in a process: the dispatcher takes that for a retry.
  static std::uint64_t last_call_id = 0;
  Connection& connection = connections_[sent_ % connections_.size()];
  const auto stream_id = static_cast<std::uint32_t>(connection.due_at.size());
  connection.due_at.push_back(due);
  const std::string token = tokens_.empty() ? "" : tokens_[sent_ % tokens_.size()];
  const std::string frame = encode_lookup(stream_id, ++last_call_id, token);
  const ssize_t taken = ::send(connection.socket.get(), frame.data(), frame.size(), MSG_NOSIGNAL);
  if (taken != static_cast<ssize_t>(frame.size())) return false;
  ++sent_;
  return true;
}

void OpenLoopLoad::read_responses(Connection& connection) {
  std::array<char, kReadSize> bytes;
  const ssize_t size = ::recv(connection.socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (size <= 0) return;
  connection.received.append(bytes.data(), static_cast<std::size_t>(size));
  parse_responses(connection);
}

void OpenLoopLoad::parse_responses(Connection& connection) {
  frames::ParsedFrame parsed = frames::parse_frame(connection.received);
  while (parsed.status == frames::ParseStatus::kComplete) {
    const frames::Frame& frame = parsed.frame;
    const bool is_response =
        frame.type == frames::kResponse && frame.stream_id > 0 && frame.stream_id < connection.due_at.size();
    if (is_response) {
      const auto latency = SteadyClock::now() - connection.due_at[frame.stream_id];
      ++responses_;
      result_.latencies_us.push_back(std::chrono::duration<double, std::micro>(latency).count());
      ++(frame.payload[0] == frames::kServed ? result_.served : result_.not_served);
    }
    connection.received.erase(0, parsed.frame_size);
    parsed = frames::parse_frame(connection.received);
  }
}

}  // namespace rookproxy::bench
