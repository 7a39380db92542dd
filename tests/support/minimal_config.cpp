#include "support/minimal_config.h"

#include <nlohmann/json.hpp>

namespace rookproxy::test {

nlohmann::json minimal_config(const std::string& patch, bool may_tell) {
  auto document = nlohmann::json::parse(R"({
    "listen": "127.0.0.1:1",
    "nameserver": "127.0.0.1:2",
    "peer_listen": "10.0.0.9:7000",
    "settings": {
      "grades": [{"name": "q", "effect": "pure", "target": 1, "deadline": 5}],
      "permissions": {"max_attempts": 2}
    }
  })");
  document["settings"]["permissions"]["may_tell"] = may_tell;
  document.merge_patch(nlohmann::json::parse(patch));
  return document;
}

}  // namespace rookproxy::test
