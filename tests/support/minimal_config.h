/// The smallest configuration that is read without an error, for tests of its parts.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace rookproxy::test {

/// A configuration with one class, an address for peers but none of them, and the merge patch applied.
/// `may_tell`: whether the platform permits dispatchers to talk to each other.
[[nodiscard]] nlohmann::json minimal_config(const std::string& patch, bool may_tell = true);

}  // namespace rookproxy::test
