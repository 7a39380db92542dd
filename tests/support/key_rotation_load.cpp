#include "support/key_rotation_load.h"

#include <chrono>

#include "fakes/test_connection.h"
#include "support/frames_client.h"
#include "support/request_frame.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

constexpr int kRequestsPerClientAndPhase = 20;

}  // namespace

KeyRotationLoad::KeyRotationLoad(std::uint16_t port, int client_count, Tokens tokens)
    : port_(port), client_count_(client_count), tokens_(std::move(tokens)) {
  for (int number = 0; number < client_count; ++number) {
    threads_.emplace_back([this, number] { run_requests(static_cast<std::uint64_t>(number) + 2, false); });
  }
  threads_.emplace_back([this] { run_requests(1, true); });
}

KeyRotationLoad::~KeyRotationLoad() { stop(); }

// The client's number is the upper half of its call ids, so that clients never share a call id.
void KeyRotationLoad::run_requests(std::uint64_t client, bool is_untrusted) {
  FramesClient frames_client(TestConnection::connect(port_));
  const std::string statement =
      std::string("SELECT x FROM ") + (is_untrusted ? "sales_9.stolen" : "sales_17.orders");
  for (std::uint32_t stream_id = 1; !stop_requested_; ++stream_id) {
    const std::string& trusted_token = uses_new_key_ ? tokens_.new_key : tokens_.old_key;
    const frames::Fields fields{{"op", "lookup"},
                                {"ttl", "3000"},
                                {"call", format_call_id((client << 32) + stream_id)},
                                {"token", is_untrusted ? tokens_.untrusted_key : trusted_token}};
    frames_client.send(encode_request_frame(stream_id, fields, statement));
    const auto response = frames_client.next_frame();
    if (!response) {
      ++failed_;
      return;
    }
    const auto code = response->payload[0];
    if (is_untrusted && code == frames::kRejected) ++untrusted_denied_;
    if (!is_untrusted) ++(code == frames::kServed ? served_ : denied_);
  }
}

void KeyRotationLoad::wait_for_progress() const {
  const int target_count = served_ + kRequestsPerClientAndPhase * client_count_;
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (served_ < target_count && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(1ms);
}

void KeyRotationLoad::stop() {
  stop_requested_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace rookproxy::test
