#include "simulator/engine_lists.h"

#include <cstdint>

#include "settings/text_values.h"

namespace rookproxy::simulator {

std::size_t read_engine_list_number(std::string_view text) {
  const auto number = settings::read_integer<std::uint32_t>(text, "roster_id");
  if (number >= kEngineListCount) settings::throw_format_error("roster_id is out of range", text);
  return number;
}

}  // namespace rookproxy::simulator
