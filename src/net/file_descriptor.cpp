#include "net/file_descriptor.h"

#include <unistd.h>

namespace rookproxy {

void FileDescriptor::reset() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

}  // namespace rookproxy
