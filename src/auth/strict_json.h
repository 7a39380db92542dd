// JSON from strangers: nothing twice in one object (RFC 8725, 2.4 and RFC 7519, 4), nothing nested deep.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rookproxy::auth {

inline std::optional<nlohmann::json> parse_strict_json(std::string_view text, int most_depth = 16) {
  using Event = nlohmann::json::parse_event_t;
  std::vector<std::set<std::string>> names;
  bool faulty = false;
  auto document = nlohmann::json::parse(
      text,
      [&](int depth, Event event, nlohmann::json& value) {
        if (depth > most_depth) faulty = true;
        if (event == Event::object_start) names.emplace_back();
        if (event == Event::object_end) names.pop_back();
        if (event == Event::key && !names.back().insert(value.get<std::string>()).second) faulty = true;
        return !faulty;  // what comes after a fault is not kept
      },
      false);
  if (faulty || document.is_discarded()) return std::nullopt;
  return document;
}

}  // namespace rookproxy::auth
