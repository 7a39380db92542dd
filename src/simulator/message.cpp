#include "simulator/message.h"

#include <string>

namespace rookproxy::simulator {
namespace {

// Characters of a wrong message name that an error message quotes at most.
constexpr std::size_t kMaxQuotedName = 40;

}  // namespace

std::string_view Message::quoted_name() const { return name().substr(0, kMaxQuotedName); }

std::vector<std::string_view> Message::values_from(std::size_t place) const {
  std::vector<std::string_view> values;
  for (; place < fields_.size(); ++place) values.push_back(fields_[place]);
  return values;
}

void Message::require_values(std::size_t least, std::size_t most) const {
  if (value_count() >= least && value_count() <= most) return;
  throw settings::FormatError(std::string(quoted_name()) + " has " + std::to_string(value_count()) +
                              " values, not " + std::to_string(least));
}

}  // namespace rookproxy::simulator
