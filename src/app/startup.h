// Retries the start of a process while system resources are exhausted.
#pragma once

#include <functional>

#include "log/log.h"

namespace rookproxy {

// Calls `start` again, with exponential backoff, while it throws a std::system_error for exhausted
// descriptors, memory, buffers or ports. The first such error is logged with its errno. Rethrows any other
// error, and the last one once retries have taken too long. Blocks, so it must not be called by a process
// that serves.
void start_with_retries(Logger& log, const std::function<void()>& start);

// Makes the allocator return the memory of large buffers to the system when they are released, so that limits
// on what is held are limits on what the process uses.
void return_large_buffers();

}  // namespace rookproxy
