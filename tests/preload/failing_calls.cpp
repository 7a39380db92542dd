// A library that a test preloads into a dispatcher to inject failures into system calls.
//
// ROOKPROXY_FAILING_CALLS is a list of faults separated by commas. CALL:FIRST:COUNT:ERRNO makes COUNT calls
// of the function CALL fail, starting with the FIRST one (counted from 1). CALL:every:N:ERRNO makes every
// N-th call fail.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>
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

std::vector<Fault> parse_faults() {
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

constexpr int kNoFault = -1;
constexpr int kOneByte = 0;

// Returns the fault of the `number`-th call of a function: an errno, kOneByte or kNoFault.
int fault_of(const char* call, long number) {
  static const std::vector<Fault> faults = parse_faults();
  for (const Fault& fault : faults) {
    if (fault.call != call) continue;
    const bool is_due = fault.every > 0 ? number % fault.every == 0
                                        : number >= fault.first && number < fault.first + fault.count;
    if (is_due) return fault.error;
  }
  return kNoFault;
}

// Returns whether the call must fail, and sets errno if so.
bool fails(const char* call, long number) {
  const int fault = fault_of(call, number);
  if (fault == kNoFault) return false;
  errno = fault;
  return true;
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

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static long calls = 0;
  if (fails("connect", ++calls)) return -1;
  static const auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  return call(descriptor, address, size);
}

int epoll_wait(int epoll, epoll_event* events, int count, int timeout) {
  static long calls = 0;
  if (fails("epoll_wait", ++calls)) return -1;
  static const auto call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return call(epoll, events, count, timeout);
}

ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
  static long calls = 0;
  const int fault = fault_of("recv", ++calls);
  if (fault > 0) {
    errno = fault;
    return -1;
  }
  static const auto call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
  return call(descriptor, buffer, fault == kOneByte && size > 0 ? 1 : size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static long calls = 0;
  const int fault = fault_of("sendmsg", ++calls);
  if (fault > 0) {
    errno = fault;
    return -1;
  }
  static const auto call = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (fault != kOneByte || message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0) {
    return call(descriptor, message, flags);
  }
  iovec first_byte{message->msg_iov[0].iov_base, 1};
  msghdr part = *message;
  part.msg_iov = &first_byte;
  part.msg_iovlen = 1;
  return call(descriptor, &part, flags);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, time);
  if (clock != CLOCK_REALTIME) return result;
  static long calls = 0;
  const int step = fault_of("clock_gettime", ++calls);
  if (result == 0 && step > 0) time->tv_sec += calls % 2 == 0 ? step : -step;
  return result;
}

}  // extern "C"
