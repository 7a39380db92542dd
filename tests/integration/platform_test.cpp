// The platform's configuration and command, under the system calls that the platform forbids.
#include <fcntl.h>
#include <signal.h>
#include <sys/sendfile.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <thread>

#include "support/scenario.h"
#include "support/system_call_filter.h"

namespace rookproxy::test {
namespace {

int signal_of(const std::function<void()>& body) {
  const pid_t child = ::fork();
  if (child == 0) {
    if (!apply_system_call_filter()) ::_exit(2);
    body();
    ::_exit(0);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFSIGNALED(status) ? WTERMSIG(status) : -WEXITSTATUS(status);
}

TEST_CASE("platform: the system call filter ends a process that breaks it and permits threads") {
  CHECK(signal_of([] { ::fork(); }) == SIGSYS);
  CHECK(signal_of([] { ::socket(AF_UNIX, SOCK_STREAM, 0); }) == SIGSYS);
  CHECK(signal_of([] { ::sendfile(1, 0, nullptr, 1); }) == SIGSYS);
  CHECK(signal_of([] { ::splice(0, nullptr, 1, nullptr, 1, 0); }) == SIGSYS);
  CHECK(signal_of([] { ::syscall(SYS_io_uring_setup, 1, nullptr); }) == SIGSYS);
  CHECK(signal_of([] { std::thread([] {}).join(); }) == 0);
  CHECK(signal_of([] { ::socket(AF_INET, SOCK_DGRAM, 0); }) == 0);
}

TEST_CASE("platform: a dispatcher under the system call filter starts, serves, reloads and drains") {
  run_scenario(R"(
    confine
    engines a
    start
    directory a=up
    client c
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    send a data parts=1 one\n
    expect c served 1 one\n
    configure
    signal HUP
    expect log reread
    send c request 2 load 3000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    send a data parts=1 two\n
    expect c served 2 two\n
    signal TERM
    expect dispatcher exit 0)");
}

TEST_CASE("platform: the run command is one exec of the binary with the platform's configuration only") {
  std::ifstream in(ROOKPROXY_ROOT "/deploy/balancer.toml");
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  // There is no operator's file, hence no second frontend, TLS, access control or file watching, and no
  // remaining shell.
  CHECK(text.find("\nrun = \"exec build/rookproxy\"\n") != std::string::npos);
}

}  // namespace
}  // namespace rookproxy::test
