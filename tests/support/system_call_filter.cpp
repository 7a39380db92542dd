#include "support/system_call_filter.h"

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

using Rules = std::vector<sock_filter>;

constexpr std::size_t kCallNumberOffset = offsetof(seccomp_data, nr);
constexpr std::size_t kFirstArgumentOffset = offsetof(seccomp_data, args);

constexpr long kDeniedCalls[] = {
    SYS_execveat, SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register, SYS_splice,
    SYS_tee,      SYS_vmsplice,       SYS_sendfile,
#ifdef SYS_fork
    SYS_fork,     SYS_vfork,
#endif
    SYS_ptrace};

sock_filter load(std::size_t offset) {
  return BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(offset));
}

// Skips `rules` rules unless the loaded value equals `value`.
sock_filter skip_unless_equal(long value, std::uint8_t rules) {
  return BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, static_cast<std::uint32_t>(value), 0, rules);
}

sock_filter return_action(std::uint32_t action) { return BPF_STMT(BPF_RET | BPF_K, action); }

void deny_call(Rules& rules, long call) {
  rules.push_back(skip_unless_equal(call, 1));
  rules.push_back(return_action(SECCOMP_RET_KILL_PROCESS));
}

// A filter can't read the flags of clone3, which are in memory. The call fails with ENOSYS, so that the C
// library falls back to clone.
void force_fallback_to_clone(Rules& rules) {
  rules.push_back(skip_unless_equal(SYS_clone3, 1));
  rules.push_back(return_action(SECCOMP_RET_ERRNO | ENOSYS));
}

void deny_clone_except_threads(Rules& rules) {
  rules.push_back(skip_unless_equal(SYS_clone, 4));
  rules.push_back(load(kFirstArgumentOffset));
  rules.push_back(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, CLONE_THREAD, 1, 0));
  rules.push_back(return_action(SECCOMP_RET_KILL_PROCESS));
  rules.push_back(load(kCallNumberOffset));
}

void deny_unix_sockets(Rules& rules, long call) {
  rules.push_back(skip_unless_equal(call, 4));
  rules.push_back(load(kFirstArgumentOffset));
  rules.push_back(skip_unless_equal(AF_UNIX, 1));
  rules.push_back(return_action(SECCOMP_RET_KILL_PROCESS));
  rules.push_back(load(kCallNumberOffset));
}

}  // namespace

bool apply_system_call_filter() {
  Rules rules = {load(kCallNumberOffset)};
  for (const long call : kDeniedCalls) deny_call(rules, call);
  force_fallback_to_clone(rules);
  deny_clone_except_threads(rules);
  for (const long call : {SYS_socket, SYS_socketpair}) deny_unix_sockets(rules, call);
  rules.push_back(return_action(SECCOMP_RET_ALLOW));
  const sock_fprog program{static_cast<unsigned short>(rules.size()), rules.data()};
  return ::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         ::prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}

}  // namespace rookproxy::test
