#include "upstream/line_protocol_connection.h"

#include <algorithm>
#include <utility>

#include "base/numbers.h"
#include "policy/execution_evidence.h"

namespace rookproxy {
namespace {

using routing::AttemptUpdateKind;

constexpr std::size_t kMaxPages = 64;
// The value of a "parked" update for an attempt that waits for a load; any other value means that it waits
// for memory.
constexpr double kParkedForLoad = 2.0;

}  // namespace

LineProtocolConnection::LineProtocolConnection(LineProtocolPool& pool, SlotKey key, EngineId engine)
    : EngineConnection(pool, key, engine), line_pool_(pool), partial_response_(pool.make_result_holding()) {}

LineProtocolConnection::OpenAttempts::iterator LineProtocolConnection::find_attempt(AttemptKey key) {
  return std::find_if(attempts_by_id_.begin(), attempts_by_id_.end(),
                      [&](const auto& entry) { return entry.second.request.key == key; });
}

void LineProtocolConnection::start_attempt(const AttemptRequest& request) {
  attempts_by_id_[request.query->id].request = request;
  waiting_ids_.push_back(request.query->id);
  start_waiting_attempts();
}

void LineProtocolConnection::on_connected() {
  EngineConnection::on_connected();
  start_waiting_attempts();
}

// Attempts are queued here instead of in the stream, so that may_start() is checked immediately before the
// first byte of each is passed to the kernel.
void LineProtocolConnection::start_waiting_attempts() {
  while (!waiting_ids_.empty() && stream().is_open() && stream().is_connected() &&
         stream().queued_bytes() == 0) {
    const auto found = attempts_by_id_.find(waiting_ids_.front());
    OpenAttempt& attempt = found->second;
    if (!may_start(attempt.request)) {
      attempts_by_id_.erase(found);
      waiting_ids_.pop_front();
      release_attempt();
      continue;
    }
    log_command("REQ", waiting_ids_.front());
    const Stream::WriteId write =
        stream().write(make_line_request(attempt.request, current_time()), attempts_written_counter());
    attempt.started = stream().has_write_started(write);
    if (!attempt.started) {
      // The kernel accepted no byte; on_flushed() tries again.
      stream().cancel_write(write);
      return;
    }
    waiting_ids_.pop_front();
  }
}

bool LineProtocolConnection::has_attempt_started(AttemptKey attempt) const {
  return std::any_of(attempts_by_id_.begin(), attempts_by_id_.end(), [&](const auto& entry) {
    return entry.second.request.key == attempt && entry.second.started;
  });
}

bool LineProtocolConnection::cancel_attempt(AttemptKey attempt) {
  const auto found = find_attempt(attempt);
  if (found == attempts_by_id_.end()) return false;
  const bool started = found->second.started;
  if (started) {
    // Once the first page has arrived the engine has finished the query and only holds the remaining pages.
    log_command("STOP", found->first);
    stream().write((found->second.pages.empty() ? "STOP " : "END ") + found->first + "\r\n");
  } else {
    std::erase(waiting_ids_, found->first);
  }
  attempts_by_id_.erase(found);
  update_response_deadline();
  release_attempt();
  return !started;
}

void LineProtocolConnection::set_priority(AttemptKey attempt, int priority) {
  const auto found = find_attempt(attempt);
  if (found == attempts_by_id_.end()) return;
  found->second.request.priority = priority;
  if (found->second.started) stream().write(make_line_priority_change(found->first, priority));
}

void LineProtocolConnection::probe() {
  static std::uint64_t last_probe = 0;
  probe_id_ = "probe-" + std::to_string(++last_probe);
  log_command("STAT", probe_id_);
  stream().write("STAT " + probe_id_ + "\r\n");
}

void LineProtocolConnection::end_unsent_attempts() {
  for (auto entry = attempts_by_id_.begin(); entry != attempts_by_id_.end();) {
    const std::string id = entry->first;
    const bool started = entry->second.started;
    ++entry;
    if (!started) end_attempt(id, Outcome::kNotSent);
  }
  waiting_ids_.clear();
}

void LineProtocolConnection::on_connection_lost(std::string_view reason) {
  const OpenAttempts attempts = std::exchange(attempts_by_id_, {});
  for (const auto& [id, attempt] : attempts) {
    // A byte that was passed to the kernel may have reached the engine, even if the connection failed.
    if (!attempt.started) {
      retry_unsent_attempt(attempt.request, reason);
    } else {
      complete_attempt(attempt.request.key, {Outcome::kConnectionLost, std::nullopt, std::string(reason)});
    }
  }
}

void LineProtocolConnection::end_attempt(const std::string& id, Outcome outcome, std::string body) {
  const auto found = attempts_by_id_.find(id);
  if (found == attempts_by_id_.end()) return;
  const OpenAttempt attempt = std::move(found->second);
  attempts_by_id_.erase(found);
  complete_attempt(attempt.request.key, {outcome, attempt.report, std::move(body)});
  release_attempt();
}

std::size_t LineProtocolConnection::on_bytes(std::string_view bytes) {
  const LineParseResult parsed = parse_line_response(bytes);
  switch (parsed.status) {
    case LineParseStatus::kIncomplete:
      return handle_partial_response(bytes.size());
    case LineParseStatus::kMalformed:
      fail_connection("malformed response");
      return bytes.size();
    case LineParseStatus::kComplete:
      break;
  }
  partial_response_deadline_ = Time::max();
  partial_response_.release();
  record_activity();
  handle_response(parsed.response);
  if (stream().is_open()) update_response_deadline();
  return parsed.consumed;
}

// Returns the number of bytes taken: none, unless the connection was closed.
std::size_t LineProtocolConnection::handle_partial_response(std::size_t bytes) {
  if (bytes > partial_response_.bytes() && !partial_response_.try_add(bytes - partial_response_.bytes())) {
    fail_connection("partial response exceeds the limit of buffered bytes");
    return bytes;
  }
  if (partial_response_deadline_ == Time::max()) {
    partial_response_deadline_ = current_time() + limits().response_timeout;
  }
  update_response_deadline();
  return 0;
}

// Other data received on the connection does not extend a deadline.
void LineProtocolConnection::update_response_deadline() {
  Time deadline = partial_response_deadline_;
  for (const auto& [id, attempt] : attempts_by_id_) deadline = std::min(deadline, attempt.page_deadline);
  set_response_deadline(deadline);
}

void LineProtocolConnection::handle_response(const LineResponse& response) {
  if (response.kind == "well" || response.kind == "ill") return handle_probe_response(response);
  const std::string id(response.id);
  const auto found = attempts_by_id_.find(id);
  // Either the attempt was cancelled and its response crossed the STOP command, or the attempt has not
  // started and the response belongs to an earlier attempt of the same request.
  if (found == attempts_by_id_.end() || !found->second.started) return;
  OpenAttempt& attempt = found->second;
  if (const auto use = find_line_field(response.fields, "use")) attempt.report = parse_load_report(*use);
  if (response.kind == "data") {
    handle_data(id, attempt, response);
  } else if (response.kind == "page") {
    handle_page(id, attempt, response);
  } else if (response.kind == "news") {
    handle_update(attempt, response);
  } else if (response.kind == "full") {
    end_attempt(id, outcome_of_refusal(attempt, Outcome::kRejected));
  } else if (response.kind == "moot") {
    end_attempt(id, outcome_of_refusal(attempt, Outcome::kNotSent));
  } else if (response.kind == "failed") {
    end_attempt(id, Outcome::kError,
                std::string(response.body.empty() ? "the engine failed" : response.body));
  } else {
    // All that follows on the connection may be wrong, too.
    fail_connection("response of an unknown kind");
  }
}

void LineProtocolConnection::handle_probe_response(const LineResponse& response) {
  if (response.id != probe_id_) return;
  const auto use = find_line_field(response.fields, "use");
  complete_probe(response.kind == "well" ? Outcome::kServed : Outcome::kError,
                 use ? parse_load_report(*use) : std::nullopt);
}

// Handles the first page and its page count, and requests the remaining pages.
void LineProtocolConnection::handle_data(const std::string& id, OpenAttempt& attempt,
                                         const LineResponse& response) {
  // A duplicate is ignored.
  if (!attempt.pages.empty()) return;
  const auto parts = find_line_field(response.fields, "parts");
  const auto count = parts ? parse_number<std::size_t>(*parts) : std::size_t{1};
  if (!count || *count == 0 || *count > kMaxPages) return fail_connection("invalid page count in a response");
  attempt.running = true;
  attempt.memory = line_pool_.make_result_holding();
  attempt.pages.resize(*count);
  attempt.missing_pages = *count;
  std::string fetches;
  for (std::size_t page = 1; page < *count; ++page) {
    fetches += "FETCH " + id + " " + std::to_string(page) + "\r\n";
  }
  if (!fetches.empty()) {
    log_command("FETCH", id);
    stream().write(std::move(fetches));
  }
  add_page(id, attempt, 0, response.body);
}

void LineProtocolConnection::handle_page(const std::string& id, OpenAttempt& attempt,
                                         const LineResponse& response) {
  const auto part = find_line_field(response.fields, "part_no");
  const auto page = part ? parse_number<std::size_t>(*part) : std::nullopt;
  if (!page || *page >= attempt.pages.size()) return fail_connection("unrequested page in a response");
  add_page(id, attempt, *page, response.body);
}

// Returns `refused` if "full" or "moot" proves that the attempt never ran. After a report of progress or a
// page of the result these responses contradict the engine's earlier ones.
Outcome LineProtocolConnection::outcome_of_refusal(const OpenAttempt& attempt, Outcome refused) {
  const auto progress =
      attempt.running ? policy::AttemptProgress::kRunning : policy::AttemptProgress::kRequested;
  const bool never_ran = policy::proves_never_ran(progress, policy::RefusalBasis::kProtocol);
  return never_ran || attempt.request.query->is_idempotent ? refused : Outcome::kError;
}

void LineProtocolConnection::handle_update(OpenAttempt& attempt, const LineResponse& response) {
  const auto detail = find_line_field(response.fields, "detail");
  if (!detail) return;
  const auto value = find_line_field(response.fields, "value");
  const double amount = value ? parse_number<double>(*value).value_or(0) : 0;
  const AttemptKey key = attempt.request.key;
  // An attempt that waits for memory or a load has not started to run.
  if ((*detail == "frac" && amount > 0) || *detail == "missing") attempt.running = true;
  if (*detail == "frac") report_update(key, AttemptUpdateKind::kProgress, amount);
  if (*detail == "missing") report_update(key, AttemptUpdateKind::kSpilling, amount);
  if (*detail == "parked") {
    const bool for_load = amount == kParkedForLoad;
    report_update(key, for_load ? AttemptUpdateKind::kWaitingForLoad : AttemptUpdateKind::kWaitingForMemory,
                  amount);
  }
}

// Stores a page and completes the attempt after its last one. Pages may arrive in any order; duplicates are
// ignored.
void LineProtocolConnection::add_page(const std::string& id, OpenAttempt& attempt, std::size_t number,
                                      std::string_view body) {
  if (attempt.pages[number]) return;
  if (!attempt.memory.try_add(body.size())) return refuse_result(id);
  attempt.pages[number] = std::string(body);
  attempt.page_deadline = current_time() + limits().page_timeout;
  if (--attempt.missing_pages > 0) return;
  std::string result;
  result.reserve(attempt.memory.bytes());
  for (const auto& page : attempt.pages) result += *page;
  if (attempt.pages.size() > 1) stream().write("END " + id + "\r\n");
  end_attempt(id, Outcome::kServed, std::move(result));
}

// The engine has finished the query and only holds the remaining pages.
void LineProtocolConnection::refuse_result(const std::string& id) {
  log_command("END", id);
  stream().write("END " + id + "\r\n");
  end_attempt(id, Outcome::kError, "the results exceed the limit of buffered bytes");
}

}  // namespace rookproxy
