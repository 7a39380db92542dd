#include "settings/setting_values.h"

namespace rookproxy::settings {
namespace {

// Bounds the memory that a wrong count can allocate.
constexpr std::uint32_t kMaxArrayEntries = 10000;

}  // namespace

SettingValues::SettingValues(const std::vector<std::string_view>& pairs) {
  for (const std::string_view pair : pairs) {
    if (is_absent(pair)) continue;
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) throw_format_error("setting without '='", pair);
    values_[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
  }
}

std::optional<std::string_view> SettingValues::text(const std::string& path) const {
  const auto found = values_.find(path);
  if (found == values_.end() || is_absent(found->second)) return std::nullopt;
  return found->second;
}

double SettingValues::number_or(const std::string& path, double fallback) const {
  const auto value = text(path);
  return value ? read_number(*value, path) : fallback;
}

std::optional<routing::Time> SettingValues::time(const std::string& path) const {
  const auto value = text(path);
  if (!value) return std::nullopt;
  return read_time(*value, path);
}

bool SettingValues::is_set(const std::string& path) const {
  const auto value = text(path);
  return value && read_flag(*value, path);
}

std::vector<std::string_view> SettingValues::list(const std::string& path) const {
  const auto value = text(path);
  if (!value) return {};
  return split(*value, ',');
}

std::uint32_t SettingValues::count(const std::string& path) const {
  const auto value = text(path + ".count");
  if (!value) return 0;
  const auto entries = read_integer<std::uint32_t>(*value, path);
  if (entries > kMaxArrayEntries) throw_format_error(path + ".count is out of range", *value);
  return entries;
}

}  // namespace rookproxy::settings
