// A seccomp filter with the restrictions under which dispatchers run in deployments.
#pragma once

namespace rookproxy::test {

// Installs a filter that kills this process with SIGSYS when it forks or uses io_uring, splice, tee,
// vmsplice, sendfile, execveat, ptrace or a Unix socket. Threads are allowed, and the filter survives exec.
// Call it in a child process of the test before exec. Returns false if the filter can't be installed.
[[nodiscard]] bool apply_system_call_filter();

}  // namespace rookproxy::test
