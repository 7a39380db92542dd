/// The system calls that the operators' platform denies a dispatcher.
#pragma once

namespace rookproxy::test {

/// From here on this process, and what it becomes by exec, is killed by SIGSYS when it forks or uses
/// io_uring, splice, sendfile, ptrace or a Unix socket; threads are allowed. For a child of the test, before
/// its exec. False if the filter can't be installed.
[[nodiscard]] bool apply_system_call_filter();

}  // namespace rookproxy::test
