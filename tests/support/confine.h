// What the operators' platform refuses a dispatcher on its full-size days, as a filter of system calls.
#pragma once

namespace rookproxy::test {

// From here on this process and what it becomes by exec are ended (SIGSYS) when they fork, use io_uring,
// splice, sendfile or a Unix socket. Threads are allowed. For a child of the test, before its exec. False: no
// such filter here.
bool apply_system_call_filter();

}  // namespace rookproxy::test
