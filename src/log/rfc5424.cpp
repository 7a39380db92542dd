#include "log/rfc5424.h"

#include <array>
#include <ctime>

namespace rookproxy {
namespace {

struct LevelName {
  std::string_view name;
  LogLevel level;
};
constexpr std::array<LevelName, 5> kLevelNames{{{"error", LogLevel::kError},
                                                {"warning", LogLevel::kWarning},
                                                {"notice", LogLevel::kNotice},
                                                {"info", LogLevel::kInfo},
                                                {"debug", LogLevel::kDebug}}};

// The field lengths of RFC 5424, section 6.
constexpr std::size_t kMaxHostLength = 255;
constexpr std::size_t kMaxAppLength = 48;
constexpr std::size_t kMaxProcessLength = 128;
constexpr std::size_t kMaxMessageIdLength = 32;
constexpr std::size_t kMaxFieldNameLength = 32;
// The priority of a message is its facility multiplied by this, plus its severity.
constexpr int kSeveritiesPerFacility = 8;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

bool is_control(char c) { return static_cast<unsigned char>(c) < 32 || c == 127; }

// Header fields and names are printable ASCII without spaces, of limited length; an empty one is '-'.
std::string header_field(std::string_view text, std::size_t max_length, std::string_view excluded = "") {
  std::string field;
  for (const char c : text.substr(0, max_length)) {
    const bool is_allowed = c > 32 && c < 127 && excluded.find(c) == excluded.npos;
    field += is_allowed ? c : '_';
  }
  return field.empty() ? "-" : field;
}

std::string timestamp(Time at) {
  const auto micros = at.time_since_epoch().count();
  const auto seconds = static_cast<std::time_t>(micros / kMicrosecondsPerSecond);
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  char text[40];
  const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
  // The leading 1 preserves the zeros of the fraction and is replaced by the point.
  std::string fraction = std::to_string(kMicrosecondsPerSecond + micros % kMicrosecondsPerSecond);
  fraction[0] = '.';
  return std::string(text, length) + fraction + "Z";
}

// Escapes '"', '\' and ']' (section 6.3.3) and replaces control characters, which would break the line.
std::string field_value(std::string_view text) {
  std::string value;
  for (const char c : text) {
    if (c == '"' || c == '\\' || c == ']') value += '\\';
    value += is_control(c) ? ' ' : c;
  }
  return value;
}

std::string structured_data(std::initializer_list<LogField> fields) {
  if (fields.size() == 0) return "-";
  // 32473 is the enterprise number that RFC 5612 reserves for documentation and private use.
  std::string data = "[rookproxy@32473";
  for (const auto& field : fields) {
    data += " " + header_field(field.name, kMaxFieldNameLength, "=]\"");
    data += "=\"" + field_value(field.value) + "\"";
  }
  return data + "]";
}

}  // namespace

std::optional<LogLevel> parse_log_level(std::string_view name) {
  for (const auto& known : kLevelNames) {
    if (known.name == name) return known.level;
  }
  return std::nullopt;
}

std::string format_rfc5424(LogLevel level, int facility, Time at, std::string_view host, std::string_view app,
                           std::string_view process, std::string_view message_id,
                           std::initializer_list<LogField> fields, std::string_view text) {
  const int priority = facility * kSeveritiesPerFacility + static_cast<int>(level);
  std::string message = "<" + std::to_string(priority) + ">1 " + timestamp(at);
  message += " " + header_field(host, kMaxHostLength);
  message += " " + header_field(app, kMaxAppLength);
  message += " " + header_field(process, kMaxProcessLength);
  message += " " + header_field(message_id, kMaxMessageIdLength);
  message += " " + structured_data(fields) + " ";
  for (const char c : text) message += is_control(c) ? ' ' : c;
  return message;
}

}  // namespace rookproxy
