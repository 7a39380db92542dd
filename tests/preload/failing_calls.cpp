// A library that a test preloads into a dispatcher, in which system calls fail as the test says.
//
// ROOKPROXY_FAILING_CALLS lists faults, separated by commas: CALL:FIRST:COUNT:ERRNO lets the calls of that
// name from the FIRST on (counted from 1) fail, COUNT of them; CALL:every:N:ERRNO lets each N-th call fail.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct Fault {
  std::string call;
  long first = 0;
  long count = 0;
  long every = 0;
  int error = 0;
};

std::vector<Fault> read_faults() {
  std::vector<Fault> faults;
  const char* text = std::getenv("ROOKPROXY_FAILING_CALLS");
  std::istringstream list(text == nullptr ? "" : text);
  for (std::string entry; std::getline(list, entry, ',');) {
    std::istringstream fields(entry);
    std::string first, number, error;
    Fault fault;
    std::getline(fields, fault.call, ':');
    std::getline(fields, first, ':');
    std::getline(fields, number, ':');
    std::getline(fields, error, ':');
    if (first == "every") {
      fault.every = std::stol(number);
    } else {
      fault.first = std::stol(first);
      fault.count = std::stol(number);
    }
    fault.error = std::stoi(error);
    faults.push_back(fault);
  }
  return faults;
}

// Whether this call, the `number`-th of its name, has to fail; sets errno.
bool fails(const char* call, long number) {
  static const std::vector<Fault> faults = read_faults();
  for (const Fault& fault : faults) {
    if (fault.call != call) continue;
    const bool is_due = fault.every > 0 ? number % fault.every == 0
                                        : number >= fault.first && number < fault.first + fault.count;
    if (!is_due) continue;
    errno = fault.error;
    return true;
  }
  return false;
}

template <class Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  static long calls = 0;
  if (fails("socket", ++calls)) return -1;
  static const auto call = real<int (*)(int, int, int)>("socket");
  return call(domain, type, protocol);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static long calls = 0;
  if (fails("accept4", ++calls)) return -1;
  static const auto call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return call(descriptor, address, size, flags);
}

int listen(int descriptor, int backlog) noexcept {
  static long calls = 0;
  if (fails("listen", ++calls)) return -1;
  static const auto call = real<int (*)(int, int)>("listen");
  return call(descriptor, backlog);
}

int epoll_create1(int flags) noexcept {
  static long calls = 0;
  if (fails("epoll_create1", ++calls)) return -1;
  static const auto call = real<int (*)(int)>("epoll_create1");
  return call(flags);
}

int epoll_ctl(int epoll, int operation, int descriptor, epoll_event* event) noexcept {
  static long calls = 0;
  if (fails("epoll_ctl", ++calls)) return -1;
  static const auto call = real<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  return call(epoll, operation, descriptor, event);
}

int signalfd(int descriptor, const sigset_t* mask, int flags) noexcept {
  static long calls = 0;
  if (fails("signalfd", ++calls)) return -1;
  static const auto call = real<int (*)(int, const sigset_t*, int)>("signalfd");
  return call(descriptor, mask, flags);
}

}  // extern "C"
