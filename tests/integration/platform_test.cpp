// The platform's own configuration and command, under what its full-size days refuse.
#include <fcntl.h>
#include <signal.h>
#include <sys/sendfile.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "config/files.h"
#include "support/scenario.h"
#include "support/system_call_filter.h"

namespace rookproxy::test {
namespace {

constexpr int kFilterFailed = 2;

// The signal that ends a process under the filter which runs this; 0 if it ends by itself, and negative if
// the filter could not be applied.
int signal_under_filter(void (*body)()) {
  const pid_t child = ::fork();
  if (child == 0) {
    if (!apply_system_call_filter()) ::_exit(kFilterFailed);
    body();
    ::_exit(0);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFSIGNALED(status) ? WTERMSIG(status) : -WEXITSTATUS(status);
}

void create_process() { ::fork(); }

void create_local_socket() { ::socket(AF_UNIX, SOCK_STREAM, 0); }

void create_udp_socket() { ::socket(AF_INET, SOCK_DGRAM, 0); }

void copy_between_descriptors() { ::sendfile(1, 0, nullptr, 1); }

void move_between_descriptors() { ::splice(0, nullptr, 1, nullptr, 1, 0); }

void set_up_io_uring() { ::syscall(SYS_io_uring_setup, 1, nullptr); }

void create_thread() {
  std::thread([] {}).join();
}

TEST_CASE("platform: the confinement of these tests ends whoever breaks it, and lets threads be") {
  CHECK(signal_under_filter(create_process) == SIGSYS);
  CHECK(signal_under_filter(create_local_socket) == SIGSYS);
  CHECK(signal_under_filter(copy_between_descriptors) == SIGSYS);
  CHECK(signal_under_filter(move_between_descriptors) == SIGSYS);
  CHECK(signal_under_filter(set_up_io_uring) == SIGSYS);
  CHECK(signal_under_filter(create_thread) == 0);
  CHECK(signal_under_filter(create_udp_socket) == 0);
}

TEST_CASE("platform: a confined dispatcher starts, serves, rereads its configuration and drains") {
  run_scenario(R"(
    confine
    engines a
    start
    directory a=up
    client c
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 one\n
    reload
    expect log configuration reloaded
    send c request 2 load 3000 INSERT INTO s_1.t VALUES (1)
    expect a REQ
    answer a c 2 two\n
    signal TERM
    expect dispatcher exit 0)");
}

TEST_CASE("platform: run is one process by exec, on the platform's configuration alone") {
  const std::string text = read_file(ROOKPROXY_ROOT "/deploy/balancer.toml");
  // No operator's file, so no second front, no TLS, no access, no file watching; no shell that stays.
  CHECK(text.find("\nrun = \"exec build/rookproxy\"\n") != std::string::npos);
}

}  // namespace
}  // namespace rookproxy::test
