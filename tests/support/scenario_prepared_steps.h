/// Prepared steps of the scenario language: one line that stands for several, the same in many scenarios.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace rookproxy::test {

/// The lines that a prepared step stands for, in their order; nothing if the line is no prepared step.
[[nodiscard]] std::optional<std::vector<std::string>> expand_prepared_step(const std::string& line);

}  // namespace rookproxy::test
