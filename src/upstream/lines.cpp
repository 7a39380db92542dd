#include "upstream/lines.h"

#include <algorithm>
#include <cmath>

#include "base/numbers.h"

namespace rookproxy {
namespace {

using routing::AttemptUpdateKind;

constexpr std::size_t kMaxLineLength = 4096, kMaxBodyLength = 64 * 1024;
constexpr std::size_t kMaxPages = 64;

template <class Visit>
void for_each_part(std::string_view text, char at, Visit visit) {
  while (!text.empty()) {
    const auto cut = std::min(text.find(at), text.size());
    visit(text.substr(0, cut));
    text.remove_prefix(std::min(cut + 1, text.size()));
  }
}

}  // namespace

LineParseStatus parse_line_response(std::string_view bytes, LineResponse& answer, std::size_t& used) {
  const auto line_end = bytes.find("\r\n");
  if (line_end == bytes.npos)
    return bytes.size() > kMaxLineLength ? LineParseStatus::kMalformed : LineParseStatus::kIncomplete;
  if (line_end > kMaxLineLength) return LineParseStatus::kMalformed;
  std::string_view words[4];
  std::size_t count = 0;
  std::string_view rest = bytes.substr(0, line_end);
  for (;;) {
    const auto space = rest.find(' ');
    if (count == 4) return LineParseStatus::kMalformed;
    words[count++] = rest.substr(0, space);
    if (words[count - 1].empty()) return LineParseStatus::kMalformed;
    if (space == rest.npos) break;
    rest.remove_prefix(space + 1);
  }
  if (count != 4) return LineParseStatus::kMalformed;
  const auto length = parse_number<std::size_t>(words[3]);
  if (!length || *length > kMaxBodyLength) return LineParseStatus::kMalformed;
  const std::size_t body = line_end + 2;
  if (bytes.size() < body + *length + 2) return LineParseStatus::kIncomplete;
  if (bytes.substr(body + *length, 2) != "\r\n") return LineParseStatus::kMalformed;
  answer = {words[0], words[1], words[2], bytes.substr(body, *length)};
  used = body + *length + 2;
  return LineParseStatus::kComplete;
}

std::optional<std::string_view> find_line_field(std::string_view fields, std::string_view name) {
  std::optional<std::string_view> found;
  for_each_part(fields, ',', [&](std::string_view part) {
    const auto equals = part.find('=');
    if (equals != part.npos && part.substr(0, equals) == name && !found) found = part.substr(equals + 1);
  });
  return found;
}

std::optional<LoadReport> parse_load_report(std::string_view use) {
  LoadReport report;
  bool any = false;
  for_each_part(use, ';', [&](std::string_view part) {
    const auto colon = part.find(':');
    if (colon == part.npos) return;
    const auto name = part.substr(0, colon);
    const auto value = parse_number<double>(part.substr(colon + 1));
    if (!value) return;
    any = true;
    // The settings and the sockets may word a value differently; both words are known.
    if (name == "inflight" || name == "outstanding") report.active_queries = value;
    if (name == "queue" || name == "backlog") report.queries_waiting_for_memory = value;
    if (name == "util" || name == "utilization") report.cpu_utilization = value;
    if (name == "x0") report.memory_utilization = value;
    if (name == "x1") report.disk_utilization = value;
  });
  if (!any) return std::nullopt;
  return report;
}

std::map<std::string, LineProtocolConnection::OpenAttempt>::iterator LineProtocolConnection::find_attempt(
    AttemptKey attempt) {
  return std::find_if(attempts_by_id_.begin(), attempts_by_id_.end(),
                      [&](const auto& one) { return one.second.request.key == attempt; });
}

void LineProtocolConnection::start_attempt(const AttemptRequest& order) {
  attempts_by_id_[order.query->id].request = order;
  waiting_ids_.push_back(order.query->id);
  start_waiting_attempts();
}

void LineProtocolConnection::on_connected() {
  EngineConnection::on_connected();
  start_waiting_attempts();
}

// Whatever waits waits here and not in the stream: each is looked at once more in the moment in which its
// first byte goes to the kernel, however late that is.
void LineProtocolConnection::start_waiting_attempts() {
  while (!waiting_ids_.empty() && stream_->is_open() && stream_->is_connected() &&
         stream_->queued_bytes() == 0) {
    const auto found = attempts_by_id_.find(waiting_ids_.front());
    OpenAttempt& open = found->second;
    const AttemptRequest& order = open.request;
    if (!may_start(order)) {
      attempts_by_id_.erase(found);
      waiting_ids_.pop_front();
      release_attempt();
      continue;
    }
    const auto budget =
        std::chrono::duration_cast<std::chrono::milliseconds>(order.deadline - current_time()).count();
    std::string fields =
        "queue=" + order.query->class_name + ",budget=" + std::to_string(std::max<std::int64_t>(1, budget));
    if (order.memory_grant_mb) {
      fields += ",grant=" + std::to_string(std::max<long long>(0, std::llround(*order.memory_grant_mb)));
    }
    fields += ",rank=" + std::to_string(std::clamp(order.priority, 0, 3));
    if (!order.query->idempotency_key.empty()) fields += ",uniq=" + order.query->idempotency_key;
    std::string bytes = "REQ " + order.query->id + " " + fields + " " +
                        std::to_string(order.query->statement.size()) + "\r\n";
    bytes += order.query->statement;
    bytes += "\r\n";
    const Stream::WriteId ticket = stream_->write(std::move(bytes), attempts_written_counter());
    open.started = stream_->has_write_started(ticket);
    if (!open.started) {  // the kernel took nothing: it is tried again once it does
      stream_->cancel_write(ticket);
      return;
    }
    waiting_ids_.pop_front();
  }
}

bool LineProtocolConnection::has_attempt_started(AttemptKey attempt) const {
  return std::any_of(attempts_by_id_.begin(), attempts_by_id_.end(), [&](const auto& one) {
    return one.second.request.key == attempt && one.second.started;
  });
}

bool LineProtocolConnection::cancel_attempt(AttemptKey attempt) {
  const auto found = find_attempt(attempt);
  if (found == attempts_by_id_.end()) return false;
  const bool begun = found->second.started;
  if (begun) {
    // Its work is done once the first page is in; then only the pages are still held for us there.
    stream_->write((found->second.pages.empty() ? "STOP " : "END ") + found->first + "\r\n");
  } else {
    std::erase(waiting_ids_, found->first);
  }
  attempts_by_id_.erase(found);
  update_response_deadline();
  release_attempt();
  return !begun;
}

void LineProtocolConnection::set_priority(AttemptKey attempt, int rank) {
  const auto found = find_attempt(attempt);
  if (found == attempts_by_id_.end()) return;
  found->second.request.priority = rank;
  if (!found->second.started) return;
  stream_->write("NICE " + found->first + " " + std::to_string(std::clamp(rank, 0, 3)) + "\r\n");
}

void LineProtocolConnection::probe() {
  static std::uint64_t next = 0;
  probe_id_ = "probe-" + std::to_string(++next);
  stream_->write("STAT " + probe_id_ + "\r\n");
}

void LineProtocolConnection::end_never_sent() {
  for (auto at = attempts_by_id_.begin(); at != attempts_by_id_.end();) {
    const std::string id = at->first;
    const bool begun = (at++)->second.started;
    if (!begun) end_attempt(id, Outcome::kNotSent);
  }
  waiting_ids_.clear();
}

void LineProtocolConnection::on_connection_lost(std::string_view why) {
  auto all = std::move(attempts_by_id_);
  attempts_by_id_.clear();
  open_attempts_ = 0;
  for (auto& [id, open] : all) {
    // A byte that was handed to the kernel may have arrived, whatever became of the connection.
    if (!open.started) {
      on_never_sent(open.request, why);
    } else {
      report_attempt_end(open.request.key, {Outcome::kConnectionLost, std::nullopt, std::string(why)});
    }
  }
}

void LineProtocolConnection::end_attempt(const std::string& id, Outcome outcome, std::string body) {
  const auto found = attempts_by_id_.find(id);
  if (found == attempts_by_id_.end()) return;
  OpenAttempt open = std::move(found->second);
  attempts_by_id_.erase(found);
  report_attempt_end(open.request.key, {outcome, open.report, std::move(body)});
  release_attempt();
}

std::size_t LineProtocolConnection::on_bytes(std::string_view bytes) {
  LineResponse answer;
  std::size_t used = 0;
  switch (parse_line_response(bytes, answer, used)) {
    case LineParseStatus::kIncomplete:
      if (partial_response_deadline_ == Time::max())
        partial_response_deadline_ = current_time() + limits().response_timeout;
      update_response_deadline();
      return 0;
    case LineParseStatus::kMalformed:
      fail_connection("an answer that can't be read");
      return bytes.size();
    case LineParseStatus::kComplete:
      partial_response_deadline_ = Time::max();
      record_activity();
      handle_response(answer);
      if (stream_->is_open()) update_response_deadline();
  }
  return used;
}

// Each from its own start: whatever else comes on the connection does not put it off.
void LineProtocolConnection::update_response_deadline() {
  Time due = partial_response_deadline_;
  for (const auto& [id, open] : attempts_by_id_) due = std::min(due, open.page_deadline);
  set_response_deadline(due);
}

void LineProtocolConnection::handle_response(const LineResponse& answer) {
  const auto use = find_line_field(answer.fields, "use");
  if (answer.kind == "well" || answer.kind == "ill") {
    if (answer.id != probe_id_) return;
    complete_probe(answer.kind == "well" ? Outcome::kServed : Outcome::kError,
                   use ? parse_load_report(*use) : std::nullopt);
    return;
  }
  const std::string id(answer.id);
  const auto found = attempts_by_id_.find(id);
  // Given up, and its answer crossed our STOP; or it has not begun, and what is answered is another attempt.
  if (found == attempts_by_id_.end() || !found->second.started) return;
  OpenAttempt& open = found->second;
  if (use) open.report = parse_load_report(*use);
  if (answer.kind == "data") {
    if (!open.pages.empty()) return;  // a second copy: the first stands, the surplus is dropped
    const auto parts = find_line_field(answer.fields, "parts");
    const auto count = parts ? parse_number<std::size_t>(*parts) : std::size_t{1};
    if (!count || *count == 0 || *count > kMaxPages)
      return fail_connection("a page count that can't be read");
    open.pages.resize(*count);
    open.missing_pages = *count;
    std::string fetches;
    for (std::size_t page = 1; page < *count; ++page)
      fetches += "FETCH " + id + " " + std::to_string(page) + "\r\n";
    if (!fetches.empty()) stream_->write(std::move(fetches));
    add_page(id, open, 0, answer.body);
  } else if (answer.kind == "page") {
    const auto part = find_line_field(answer.fields, "part_no");
    const auto page = part ? parse_number<std::size_t>(*part) : std::nullopt;
    if (!page || *page >= open.pages.size()) return fail_connection("a page that was not asked for");
    add_page(id, open, *page, answer.body);
  } else if (answer.kind == "news") {
    const auto detail = find_line_field(answer.fields, "detail");
    const auto value = find_line_field(answer.fields, "value");
    const double amount = value ? parse_number<double>(*value).value_or(0) : 0;
    if (!detail) return;
    if (*detail == "frac") report_progress(open.request.key, AttemptUpdateKind::kProgress, amount);
    if (*detail == "missing") report_progress(open.request.key, AttemptUpdateKind::kSpilling, amount);
    if (*detail == "parked") {
      const auto kind =
          amount == 2.0 ? AttemptUpdateKind::kWaitingForLoad : AttemptUpdateKind::kWaitingForMemory;
      report_progress(open.request.key, kind, amount);
    }
  } else if (answer.kind == "full") {
    end_attempt(id, Outcome::kRejected);
  } else if (answer.kind == "moot") {
    end_attempt(id, Outcome::kNotSent);
  } else if (answer.kind == "failed") {
    end_attempt(id, Outcome::kError, std::string(answer.body.empty() ? "the engine failed" : answer.body));
  } else {
    fail_connection("an answer of an unknown kind");  // spoilt: so may be all that follows
  }
}

// The attempt ends when its last page is in. Pages may come in any order; one that comes twice counts once.
void LineProtocolConnection::add_page(const std::string& id, OpenAttempt& open, std::size_t number,
                                      std::string_view body) {
  if (open.pages[number]) return;
  open.pages[number] = std::string(body);
  open.page_deadline = current_time() + limits().page_timeout;
  if (--open.missing_pages > 0) return;
  std::string whole_body;
  for (const auto& page : open.pages) whole_body += *page;
  if (open.pages.size() > 1) stream_->write("END " + id + "\r\n");
  end_attempt(id, Outcome::kServed, std::move(whole_body));
}

}  // namespace rookproxy
