#include "simulator/action_writer.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>

namespace rookproxy::simulator {
namespace {

// Holds the digits and the sign of any 64-bit integer.
constexpr std::size_t kMaxIntegerLength = 24;

constexpr char kAbsent = '-';  // marks an absent value

void append_integer(std::string& text, std::int64_t value) {
  std::array<char, kMaxIntegerLength> digits{};
  text.append(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr);
}

void append_time_or_absent(std::string& text, const std::optional<routing::Time>& time) {
  if (time) {
    append_integer(text, *time);
  } else {
    text += kAbsent;
  }
}

// Writes one line for an action, without the newline.
class ActionVisitor {
 public:
  ActionVisitor(const EngineTable& engines, RequestTable& requests, std::string& reply)
      : engines_(engines), requests_(requests), reply_(reply) {}

  void operator()(const routing::Send& send) {
    begin_line("pass_on", send.request);
    requests_.start_attempt(send.request);
    reply_ += '\t';
    reply_ += engines_.address(send.engine);
    reply_ += '\t';
    append_time_or_absent(reply_, send.timeout);
  }

  void operator()(const routing::SetExecutionOptions& options) {
    begin_line("terms", options.request);
    reply_ += '\t';
    append_integer(reply_, options.memory_mb ? std::llround(*options.memory_mb) : 0);
    reply_ += '\t';
    append_integer(reply_, options.priority);
  }

  void operator()(const routing::Cancel& cancel) {
    begin_line("abort_attempt", cancel.request);
    reply_ += '\t';
    append_integer(reply_, cancel.attempt);
  }

  void operator()(const routing::Reject& rejection) {
    begin_line("push_back", rejection.request);
    complete(rejection.request);
    reply_ += '\t';
    append_time_or_absent(reply_, rejection.retry_after);
  }

  void operator()(const routing::Fail& failure) {
    begin_line("end_failed", failure.request);
    complete(failure.request);
  }

  void operator()(const routing::SetTimer& timer) {
    reply_ += "wake_at\t";
    append_integer(reply_, timer.at);
    reply_ += '\t';
    reply_ += std::to_string(timer.token);
  }

  void operator()(const routing::Probe& probe) {
    reply_ += "sample\t";
    reply_ += engines_.address(probe.engine);
  }

  void operator()(const routing::SubscribeEngineList&) { reply_ += "keep_informed\t1"; }

  void operator()(const routing::Log& log) {
    reply_ += "journal_line\t";
    reply_ += log.text;
  }

  // Releases completed requests. To be called after the last action, because an action that follows the final
  // response may still refer to the request.
  void release_completed() {
    for (const routing::RequestId request : completed_) requests_.release_if_finished(request);
  }

 private:
  void begin_line(const char* message, routing::RequestId request) {
    reply_ += message;
    reply_ += '\t';
    reply_ += requests_.wire_id(request);
  }

  void complete(routing::RequestId request) {
    requests_.complete(request);
    completed_.push_back(request);
  }

  const EngineTable& engines_;
  RequestTable& requests_;
  std::string& reply_;
  std::vector<routing::RequestId> completed_;
};

}  // namespace

void write_actions(const std::vector<routing::Action>& actions, const EngineTable& engines,
                   RequestTable& requests, std::string& reply) {
  ActionVisitor visitor(engines, requests, reply);
  for (const routing::Action& action : actions) {
    std::visit(visitor, action);
    reply += '\n';
  }
  visitor.release_completed();
}

}  // namespace rookproxy::simulator
