#include "auth/strict_json.h"

#include <set>
#include <string>
#include <vector>

namespace rookproxy::auth {

std::optional<nlohmann::json> parse_strict_json(std::string_view text, int max_depth) {
  using Event = nlohmann::json::parse_event_t;
  std::vector<std::set<std::string>> open_objects;  // The member names seen so far.
  bool is_rejected = false;
  const auto on_event = [&](int depth, Event event, nlohmann::json& value) {
    if (depth > max_depth) is_rejected = true;
    if (event == Event::object_start) open_objects.emplace_back();
    if (event == Event::object_end) open_objects.pop_back();
    if (event == Event::key && !open_objects.back().insert(value.get<std::string>()).second) {
      is_rejected = true;
    }
    return !is_rejected;  // False discards the value.
  };
  auto document = nlohmann::json::parse(text, on_event, false);
  if (is_rejected || document.is_discarded()) return std::nullopt;
  return document;
}

}  // namespace rookproxy::auth
