/// Failing a test from code that is not itself a test case.
#pragma once

#include <stdexcept>
#include <string>

namespace rookproxy::test {

/// Ends the test with this reason, by an exception that the test framework reports.
[[noreturn]] inline void fail_test(const std::string& reason) { throw std::runtime_error(reason); }

/// Ends the test with this reason unless the condition holds.
inline void require(bool condition, const std::string& reason) {
  if (!condition) fail_test(reason);
}

}  // namespace rookproxy::test
