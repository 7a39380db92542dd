#include "support/confine.h"

#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace rookproxy::test {
namespace {
sock_filter load(std::size_t offset) {
  return BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(offset));
}
sock_filter skip_unless(std::uint32_t value, std::uint8_t steps) {
  return BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, value, 0, steps);
}
sock_filter end(std::uint32_t verdict) { return BPF_STMT(BPF_RET | BPF_K, verdict); }
}  // namespace

bool apply_system_call_filter() {
  constexpr std::size_t kNumber = offsetof(seccomp_data, nr), kFirst = offsetof(seccomp_data, args);
  std::vector<sock_filter> rules = {load(kNumber)};
  for (const long call : {SYS_execveat, SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register,
                          SYS_splice, SYS_tee, SYS_vmsplice, SYS_sendfile,
#ifdef SYS_fork
                          SYS_fork, SYS_vfork,
#endif
                          SYS_ptrace}) {
    rules.push_back(skip_unless(static_cast<std::uint32_t>(call), 1));
    rules.push_back(end(SECCOMP_RET_KILL_PROCESS));
  }
  // Its flags lie in memory, which a filter can't read: the C library falls back to clone.
  rules.push_back(skip_unless(SYS_clone3, 1));
  rules.push_back(end(SECCOMP_RET_ERRNO | ENOSYS));
  rules.push_back(skip_unless(SYS_clone, 4));
  rules.push_back(load(kFirst));
  rules.push_back(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, CLONE_THREAD, 1, 0));
  rules.push_back(end(SECCOMP_RET_KILL_PROCESS));
  rules.push_back(load(kNumber));
  for (const long call : {SYS_socket, SYS_socketpair}) {
    rules.push_back(skip_unless(static_cast<std::uint32_t>(call), 4));
    rules.push_back(load(kFirst));
    rules.push_back(skip_unless(AF_UNIX, 1));
    rules.push_back(end(SECCOMP_RET_KILL_PROCESS));
    rules.push_back(load(kNumber));
  }
  rules.push_back(end(SECCOMP_RET_ALLOW));
  const sock_fprog program{static_cast<unsigned short>(rules.size()), rules.data()};
  return ::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         ::prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}

}  // namespace rookproxy::test
