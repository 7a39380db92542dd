// The id of a child process.
#pragma once

#include <optional>

namespace rookproxy::policy {

// Identifies one child process. It can't hold 0 or a negative number, which signals would deliver to a whole
// group of processes.
class ProcessId {
 public:
  // Returns nothing if the number does not identify a single process.
  [[nodiscard]] static std::optional<ProcessId> from(int number) {
    if (number <= 0) return std::nullopt;
    return ProcessId(number);
  }
  [[nodiscard]] int number() const { return number_; }

  auto operator<=>(const ProcessId&) const = default;

 private:
  explicit ProcessId(int number) : number_(number) {}

  int number_;
};

}  // namespace rookproxy::policy
