#include "upstream/line_protocol.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "base/numbers.h"

namespace rookproxy {
namespace {

constexpr std::size_t kMaxLineLength = 4096;
constexpr std::size_t kMaxBodyLength = 64 * 1024;
constexpr std::string_view kLineEnd = "\r\n";
constexpr int kLowestPriority = 0;
constexpr int kHighestPriority = 3;

// The four words of a response's first line: id, kind, fields, and length of the body.
using Words = std::array<std::string_view, 4>;

template <class Visit>
void for_each_part(std::string_view text, char separator, Visit visit) {
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    visit(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

// Splits a line into exactly four non-empty words separated by single spaces.
std::optional<Words> split_words(std::string_view line) {
  Words words;
  for (std::size_t index = 0; index < words.size(); ++index) {
    const auto space = line.find(' ');
    words[index] = line.substr(0, space);
    const bool is_last = index + 1 == words.size();
    if (words[index].empty() || (space == line.npos) != is_last) return std::nullopt;
    if (!is_last) line.remove_prefix(space + 1);
  }
  return words;
}

std::string priority_text(int priority) {
  return std::to_string(std::clamp(priority, kLowestPriority, kHighestPriority));
}

}  // namespace

LineParseResult parse_line_response(std::string_view bytes) {
  const auto line_end = bytes.find(kLineEnd);
  if (line_end == bytes.npos) {
    return {
        bytes.size() > kMaxLineLength ? LineParseStatus::kMalformed : LineParseStatus::kIncomplete, {}, 0};
  }
  if (line_end > kMaxLineLength) return {LineParseStatus::kMalformed, {}, 0};
  const std::optional<Words> words = split_words(bytes.substr(0, line_end));
  if (!words) return {LineParseStatus::kMalformed, {}, 0};
  const auto& [id, kind, fields, body_length] = *words;
  const auto length = parse_number<std::size_t>(body_length);
  if (!length || *length > kMaxBodyLength) return {LineParseStatus::kMalformed, {}, 0};
  const std::size_t body = line_end + kLineEnd.size();
  const std::size_t body_end = body + *length;
  if (bytes.size() < body_end + kLineEnd.size()) return {LineParseStatus::kIncomplete, {}, 0};
  if (bytes.substr(body_end, kLineEnd.size()) != kLineEnd) return {LineParseStatus::kMalformed, {}, 0};
  const LineResponse response{id, kind, fields, bytes.substr(body, *length)};
  return {LineParseStatus::kComplete, response, body_end + kLineEnd.size()};
}

std::optional<std::string_view> find_line_field(std::string_view fields, std::string_view name) {
  std::optional<std::string_view> found;
  for_each_part(fields, ',', [&](std::string_view part) {
    const auto equals = part.find('=');
    if (equals != part.npos && part.substr(0, equals) == name && !found) found = part.substr(equals + 1);
  });
  return found;
}

std::optional<LoadReport> parse_load_report(std::string_view text) {
  LoadReport report;
  bool has_value = false;
  for_each_part(text, ';', [&](std::string_view part) {
    const auto colon = part.find(':');
    if (colon == part.npos) return;
    const auto name = part.substr(0, colon);
    const auto value = parse_number<double>(part.substr(colon + 1));
    if (!value) return;
    has_value = true;
    // A value may carry either its name on the wire or its name in the settings.
    if (name == "inflight" || name == "outstanding") report.active_queries = value;
    if (name == "queue" || name == "backlog") report.queries_waiting_for_memory = value;
    if (name == "util" || name == "utilization") report.cpu_utilization = value;
    if (name == "x0") report.memory_utilization = value;
    if (name == "x1") report.disk_utilization = value;
  });
  if (!has_value) return std::nullopt;
  return report;
}

std::string make_line_request(const AttemptRequest& request, Time now) {
  const Query& query = *request.query;
  const auto budget = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count();
  std::string fields =
      "queue=" + query.class_name + ",budget=" + std::to_string(std::max<std::int64_t>(1, budget));
  if (request.memory_grant_mb) {
    fields += ",grant=" + std::to_string(std::max<long long>(0, std::llround(*request.memory_grant_mb)));
  }
  fields += ",rank=" + priority_text(request.priority);
  if (!query.idempotency_key.empty()) fields += ",uniq=" + query.idempotency_key;
  std::string bytes =
      "REQ " + query.id + " " + fields + " " + std::to_string(query.statement.size()) + "\r\n";
  bytes += query.statement;
  bytes += kLineEnd;
  return bytes;
}

std::string make_line_priority_change(std::string_view id, int priority) {
  return "NICE " + std::string(id) + " " + priority_text(priority) + "\r\n";
}

}  // namespace rookproxy
