#include "simulator/message.h"

#include <string>

namespace rookproxy::simulator {
namespace {

constexpr std::size_t kMaxQuotedName = 40;  // characters

}  // namespace

std::string_view Message::quoted_name() const { return name().substr(0, kMaxQuotedName); }

std::vector<std::string_view> Message::values_from(std::size_t index) const {
  std::vector<std::string_view> values;
  for (; index < fields_.size(); ++index) values.push_back(fields_[index]);
  return values;
}

void Message::require_values(std::size_t min_count, std::size_t max_count) const {
  if (value_count() >= min_count && value_count() <= max_count) return;
  throw settings::FormatError(std::string(quoted_name()) + " has " + std::to_string(value_count()) +
                              " values, not " + std::to_string(min_count));
}

}  // namespace rookproxy::simulator
