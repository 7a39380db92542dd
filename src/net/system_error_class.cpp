#include "net/system_error_class.h"

#include <cerrno>

namespace rookproxy {

SystemErrorClass classify_system_error(int error) {
  switch (error) {
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
      return SystemErrorClass::kTransient;
    case EAGAIN:
#if EWOULDBLOCK != EAGAIN
    case EWOULDBLOCK:
#endif
      return SystemErrorClass::kWouldBlock;
    case EMFILE:
      return SystemErrorClass::kProcessExhausted;
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
      return SystemErrorClass::kHostExhausted;
    default:
      return SystemErrorClass::kOther;
  }
}

bool is_resource_exhaustion(int error) {
  const SystemErrorClass error_class = classify_system_error(error);
  return error_class == SystemErrorClass::kProcessExhausted ||
         error_class == SystemErrorClass::kHostExhausted;
}

}  // namespace rookproxy
