#include "dispatcher/request_log.h"

#include <string>

#include "log/log_fields.h"

namespace rookproxy {
namespace {

constexpr std::string_view kLogId = "dispatcher";

std::string_view to_text(routing::Outcome outcome) {
  switch (outcome) {
    case routing::Outcome::kServed:
      return "served";
    case routing::Outcome::kError:
      return "engine_error";
    case routing::Outcome::kRejected:
      return "rejected_by_engine";
    case routing::Outcome::kNoResponse:
      return "no_response";
    case routing::Outcome::kConnectFailed:
      return "connect_failed";
    case routing::Outcome::kConnectionLost:
      return "connection_lost";
    case routing::Outcome::kCancelled:
      return "cancelled";
    case routing::Outcome::kNotSent:
      return "not_sent";
  }
  return "";
}

std::string_view to_text(ResponseCause cause) {
  switch (cause) {
    case ResponseCause::kNone:
      return "none";
    case ResponseCause::kDecision:
      return "decision";
    case ResponseCause::kDeadline:
      return "deadline";
    case ResponseCause::kEngineError:
      return "engine_error";
    case ResponseCause::kOverloaded:
      return "overloaded";
    case ResponseCause::kShuttingDown:
      return "shutting_down";
    case ResponseCause::kRepeated:
      return "repeated";
  }
  return "";
}

}  // namespace

bool RequestLog::reserve_line(Time now) {
  if (!log_.is_enabled(LogLevel::kInfo) || !rate_limiter_.allow(now)) return false;
  const std::uint64_t suppressed = rate_limiter_.take_suppressed();
  if (suppressed > 0) {
    log_.write(LogLevel::kInfo, kLogId, "request log lines suppressed",
               {{"count", std::to_string(suppressed)}});
  }
  return true;
}

void RequestLog::attempt_starts_at_draining_engine(const Request& request, std::uint32_t number,
                                                   std::string_view engine, Duration remaining, Time now) {
  if (!reserve_line(now)) return;
  log_.write(LogLevel::kInfo, kLogId, "attempt starts on a draining engine",
             {{"request", request.incoming.query->id},
              {"attempt", std::to_string(number)},
              {"engine", std::string(engine)},
              {"waited_ms", milliseconds_field(now - request.attempts[number].sent_at)},
              {"remaining_ms", milliseconds_field(remaining)}});
}

void RequestLog::attempt_blocked(const Request& request, std::string_view engine, policy::BlockReason reason,
                                 Time now) {
  if (!reserve_line(now)) return;
  log_.write(LogLevel::kInfo, kLogId, "attempt not started: " + std::string(policy::to_text(reason)),
             {{"request", request.incoming.query->id}, {"engine", std::string(engine)}});
}

void RequestLog::attempt_ended(const Request& request, std::uint32_t number, std::string_view engine,
                               routing::Outcome outcome, Time now) {
  if (outcome == routing::Outcome::kServed || !reserve_line(now)) return;
  log_.write(LogLevel::kInfo, kLogId, "attempt not served",
             {{"request", request.incoming.query->id},
              {"attempt", std::to_string(number)},
              {"engine", std::string(engine)},
              {"outcome", std::string(to_text(outcome))},
              {"ms", milliseconds_field(now - request.attempts[number].sent_at)}});
}

void RequestLog::request_cancelled(const Request& request, Time now) {
  if (!reserve_line(now)) return;
  log_.write(LogLevel::kInfo, kLogId, "request cancelled by its client",
             {{"request", request.incoming.query->id},
              {"attempts", std::to_string(request.attempts.size())},
              {"in_flight", std::to_string(request.attempts_in_flight)},
              {"remaining_ms", milliseconds_field(request.incoming.deadline - now)}});
}

void RequestLog::request_completed(const Request& request, std::string_view class_name,
                                   const Response& response, Time now) {
  if (response.status == ResponseStatus::kServed || !reserve_line(now)) return;
  const bool is_rejected = response.status == ResponseStatus::kRejected;
  log_.write(LogLevel::kInfo, kLogId, is_rejected ? "request rejected" : "request failed",
             {{"request", request.incoming.query->id},
              {"class", std::string(class_name)},
              {"cause", std::string(to_text(response.cause))},
              {"attempts", std::to_string(request.attempts.size())},
              {"remaining_ms", milliseconds_field(request.incoming.deadline - now)}});
}

}  // namespace rookproxy
