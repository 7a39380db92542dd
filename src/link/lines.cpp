#include "link/lines.h"

#include <algorithm>
#include <cmath>

#include "base/numbers.h"

namespace rookproxy {
namespace {

using lemonshift::NoteKind;

constexpr std::size_t kLongestLine = 4096, kLongestBody = 64 * 1024;
constexpr std::size_t kMostPages = 64;

template <class Visit>
void each_part(std::string_view text, char at, Visit visit) {
  while (!text.empty()) {
    const auto cut = std::min(text.find(at), text.size());
    visit(text.substr(0, cut));
    text.remove_prefix(std::min(cut + 1, text.size()));
  }
}

}  // namespace

LineParse parse_line_answer(std::string_view bytes, LineAnswer& answer, std::size_t& used) {
  const auto line_end = bytes.find("\r\n");
  if (line_end == bytes.npos) return bytes.size() > kLongestLine ? LineParse::kBroken : LineParse::kMore;
  if (line_end > kLongestLine) return LineParse::kBroken;
  std::string_view words[4];
  std::size_t count = 0;
  std::string_view rest = bytes.substr(0, line_end);
  for (;;) {
    const auto space = rest.find(' ');
    if (count == 4) return LineParse::kBroken;
    words[count++] = rest.substr(0, space);
    if (words[count - 1].empty()) return LineParse::kBroken;
    if (space == rest.npos) break;
    rest.remove_prefix(space + 1);
  }
  if (count != 4) return LineParse::kBroken;
  const auto length = parse_number<std::size_t>(words[3]);
  if (!length || *length > kLongestBody) return LineParse::kBroken;
  const std::size_t body = line_end + 2;
  if (bytes.size() < body + *length + 2) return LineParse::kMore;
  if (bytes.substr(body + *length, 2) != "\r\n") return LineParse::kBroken;
  answer = {words[0], words[1], words[2], bytes.substr(body, *length)};
  used = body + *length + 2;
  return LineParse::kOne;
}

std::optional<std::string_view> line_field(std::string_view fields, std::string_view name) {
  std::optional<std::string_view> found;
  each_part(fields, ',', [&](std::string_view part) {
    const auto equals = part.find('=');
    if (equals != part.npos && part.substr(0, equals) == name && !found) found = part.substr(equals + 1);
  });
  return found;
}

std::optional<LoadReport> parse_use(std::string_view use) {
  LoadReport report;
  bool any = false;
  each_part(use, ';', [&](std::string_view part) {
    const auto colon = part.find(':');
    if (colon == part.npos) return;
    const auto name = part.substr(0, colon);
    const auto value = parse_number<double>(part.substr(colon + 1));
    if (!value) return;
    any = true;
    // The settings and the sockets may word a value differently; both words are known.
    if (name == "inflight" || name == "outstanding") report.held = value;
    if (name == "queue" || name == "backlog") report.waiting = value;
    if (name == "util" || name == "utilization") report.cpu_busy = value;
    if (name == "x0") report.memory_granted = value;
    if (name == "x1") report.disks_busy = value;
  });
  if (!any) return std::nullopt;
  return report;
}

std::map<std::string, LinesConnection::Open>::iterator LinesConnection::find(AttemptKey attempt) {
  return std::find_if(open_by_id_.begin(), open_by_id_.end(),
                      [&](const auto& one) { return one.second.order.key == attempt; });
}

void LinesConnection::start(const Order& order) {
  open_by_id_[order.query->id].order = order;
  waiting_.push_back(order.query->id);
  begin_waiting();
}

void LinesConnection::on_connected() {
  LinkConnection::on_connected();
  begin_waiting();
}

// Whatever waits waits here and not in the stream: each is looked at once more in the moment in which its
// first byte goes to the kernel, however late that is.
void LinesConnection::begin_waiting() {
  while (!waiting_.empty() && stream_->is_open() && stream_->is_connected() && stream_->queued() == 0) {
    const auto found = open_by_id_.find(waiting_.front());
    Open& open = found->second;
    const Order& order = open.order;
    if (!may_begin(order)) {
      open_by_id_.erase(found);
      waiting_.pop_front();
      attempt_over();
      continue;
    }
    const auto budget =
        std::chrono::duration_cast<std::chrono::milliseconds>(order.until - pool_now()).count();
    std::string fields =
        "queue=" + order.query->class_name + ",budget=" + std::to_string(std::max<std::int64_t>(1, budget));
    if (order.memory_mb) {
      fields += ",grant=" + std::to_string(std::max<long long>(0, std::llround(*order.memory_mb)));
    }
    fields += ",rank=" + std::to_string(std::clamp(order.rank, 0, 3));
    if (!order.query->dedupe.empty()) fields += ",uniq=" + order.query->dedupe;
    std::string bytes = "REQ " + order.query->id + " " + fields + " " +
                        std::to_string(order.query->statement.size()) + "\r\n";
    bytes += order.query->statement;
    bytes += "\r\n";
    const Stream::Ticket ticket = stream_->write(std::move(bytes), attempts_written());
    open.begun = stream_->has_begun(ticket);
    if (!open.begun) {  // the kernel took nothing: it is tried again once it does
      stream_->take_back(ticket);
      return;
    }
    waiting_.pop_front();
  }
}

bool LinesConnection::has_begun(AttemptKey attempt) const {
  return std::any_of(open_by_id_.begin(), open_by_id_.end(),
                     [&](const auto& one) { return one.second.order.key == attempt && one.second.begun; });
}

bool LinesConnection::withdraw(AttemptKey attempt) {
  const auto found = find(attempt);
  if (found == open_by_id_.end()) return false;
  const bool begun = found->second.begun;
  if (begun) {
    // Its work is done once the first page is in; then only the pages are still held for us there.
    stream_->write((found->second.pages.empty() ? "STOP " : "END ") + found->first + "\r\n");
  } else {
    std::erase(waiting_, found->first);
  }
  open_by_id_.erase(found);
  look_for_what_is_due();
  attempt_over();
  return !begun;
}

void LinesConnection::set_rank(AttemptKey attempt, int rank) {
  const auto found = find(attempt);
  if (found == open_by_id_.end()) return;
  found->second.order.rank = rank;
  if (!found->second.begun) return;
  stream_->write("NICE " + found->first + " " + std::to_string(std::clamp(rank, 0, 3)) + "\r\n");
}

void LinesConnection::probe() {
  static std::uint64_t next = 0;
  probe_tag_ = "probe-" + std::to_string(++next);
  stream_->write("STAT " + probe_tag_ + "\r\n");
}

void LinesConnection::drop_unsent() {
  for (auto at = open_by_id_.begin(); at != open_by_id_.end();) {
    const std::string id = at->first;
    const bool begun = (at++)->second.begun;
    if (!begun) end(id, Outcome::kNotSent);
  }
  waiting_.clear();
}

void LinesConnection::lost(std::string_view why) {
  auto all = std::move(open_by_id_);
  open_by_id_.clear();
  open_ = 0;
  for (auto& [id, open] : all) {
    // A byte that was handed to the kernel may have arrived, whatever became of the connection.
    if (!open.begun) {
      unsent(open.order, why);
    } else {
      report(open.order.key, {Outcome::kConnectionLost, std::nullopt, std::string(why)});
    }
  }
}

void LinesConnection::end(const std::string& id, Outcome outcome, std::string body) {
  const auto found = open_by_id_.find(id);
  if (found == open_by_id_.end()) return;
  Open open = std::move(found->second);
  open_by_id_.erase(found);
  report(open.order.key, {outcome, open.report, std::move(body)});
  attempt_over();
}

std::size_t LinesConnection::on_bytes(std::string_view bytes) {
  LineAnswer answer;
  std::size_t used = 0;
  switch (parse_line_answer(bytes, answer, used)) {
    case LineParse::kMore:
      if (answer_due_ == Time::max()) answer_due_ = pool_now() + limits().answer_time;
      look_for_what_is_due();
      return 0;
    case LineParse::kBroken:
      break_off("an answer that can't be read");
      return bytes.size();
    case LineParse::kOne:
      answer_due_ = Time::max();
      heard();
      take(answer);
      if (stream_->is_open()) look_for_what_is_due();
  }
  return used;
}

// Each from its own start: whatever else comes on the connection does not put it off.
void LinesConnection::look_for_what_is_due() {
  Time due = answer_due_;
  for (const auto& [id, open] : open_by_id_) due = std::min(due, open.due);
  due_at(due);
}

void LinesConnection::take(const LineAnswer& answer) {
  const auto use = line_field(answer.fields, "use");
  if (answer.word == "well" || answer.word == "ill") {
    if (answer.id != probe_tag_) return;
    probe_answered(answer.word == "well" ? Outcome::kServed : Outcome::kError,
                   use ? parse_use(*use) : std::nullopt);
    return;
  }
  const std::string id(answer.id);
  const auto found = open_by_id_.find(id);
  // Given up, and its answer crossed our STOP; or it has not begun, and what is answered is another attempt.
  if (found == open_by_id_.end() || !found->second.begun) return;
  Open& open = found->second;
  if (use) open.report = parse_use(*use);
  if (answer.word == "data") {
    if (!open.pages.empty()) return;  // a second copy: the first stands, the surplus is dropped
    const auto parts = line_field(answer.fields, "parts");
    const auto count = parts ? parse_number<std::size_t>(*parts) : std::size_t{1};
    if (!count || *count == 0 || *count > kMostPages) return break_off("a page count that can't be read");
    open.pages.resize(*count);
    open.missing = *count;
    std::string fetches;
    for (std::size_t page = 1; page < *count; ++page)
      fetches += "FETCH " + id + " " + std::to_string(page) + "\r\n";
    if (!fetches.empty()) stream_->write(std::move(fetches));
    take_page(id, open, 0, answer.body);
  } else if (answer.word == "page") {
    const auto part = line_field(answer.fields, "part_no");
    const auto page = part ? parse_number<std::size_t>(*part) : std::nullopt;
    if (!page || *page >= open.pages.size()) return break_off("a page that was not asked for");
    take_page(id, open, *page, answer.body);
  } else if (answer.word == "news") {
    const auto detail = line_field(answer.fields, "detail");
    const auto value = line_field(answer.fields, "value");
    const double amount = value ? parse_number<double>(*value).value_or(0) : 0;
    if (!detail) return;
    if (*detail == "frac") note(open.order.key, NoteKind::kProgress, amount);
    if (*detail == "missing") note(open.order.key, NoteKind::kSpills, amount);
    if (*detail == "parked") {
      const auto kind = amount == 2.0 ? NoteKind::kWaitsForLoad : NoteKind::kWaitsForMemory;
      note(open.order.key, kind, amount);
    }
  } else if (answer.word == "full") {
    end(id, Outcome::kTurnedAway);
  } else if (answer.word == "moot") {
    end(id, Outcome::kNotSent);
  } else if (answer.word == "failed") {
    end(id, Outcome::kError, std::string(answer.body.empty() ? "the engine failed" : answer.body));
  } else {
    break_off("an answer of an unknown kind");  // spoilt: so may be all that follows
  }
}

// The attempt ends when its last page is in. Pages may come in any order; one that comes twice counts once.
void LinesConnection::take_page(const std::string& id, Open& open, std::size_t number,
                                std::string_view body) {
  if (open.pages[number]) return;
  open.pages[number] = std::string(body);
  open.due = pool_now() + limits().page_time;
  if (--open.missing > 0) return;
  std::string whole_body;
  for (const auto& page : open.pages) whole_body += *page;
  if (open.pages.size() > 1) stream_->write("END " + id + "\r\n");
  end(id, Outcome::kServed, std::move(whole_body));
}

}  // namespace rookproxy
