#include "simulator/action_writer.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>

namespace rookproxy::simulator {
namespace {

// Enough for the digits and the sign of any 64-bit integer.
constexpr std::size_t kMaxIntegerLength = 24;

// Stands in a line for a value that is left out.
constexpr char kAbsent = '-';

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

// Writes one line, without its end, for the action it is called with.
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

  void operator()(const routing::SetExecutionOptions& terms) {
    begin_line("terms", terms.request);
    reply_ += '\t';
    append_integer(reply_, terms.memory_mb ? std::llround(*terms.memory_mb) : 0);
    reply_ += '\t';
    append_integer(reply_, terms.priority);
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

  void operator()(const routing::SetTimer& wake) {
    reply_ += "wake_at\t";
    append_integer(reply_, wake.at);
    reply_ += '\t';
    reply_ += std::to_string(wake.token);
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

  // Forgets completed requests. Called after the last action, since one after the final answer may name its
  // request.
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
