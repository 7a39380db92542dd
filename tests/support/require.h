// Functions that fail a test from code outside of a test case.
#pragma once

#include <stdexcept>
#include <string>

namespace rookproxy::test {

// Fails the test with this reason: throws an exception, which the test framework reports.
[[noreturn]] inline void fail_test(const std::string& reason) { throw std::runtime_error(reason); }

// Fails the test with this reason unless the condition holds.
inline void require(bool condition, const std::string& reason) {
  if (!condition) fail_test(reason);
}

}  // namespace rookproxy::test
