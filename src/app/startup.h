/// Starts the parts of a process, and waits while the host is short of something for a moment.
#pragma once

#include <functional>

#include "log/log.h"

namespace rookproxy {

/// Calls `start` until it does not throw a std::system_error of a lack that may pass (of descriptors, memory,
/// buffers or ports), with growing pauses. The first lack is logged with its errno. After some seconds, and
/// for any other error, it throws what `start` threw. Blocks, so it is for a process that does not serve yet.
void start_when_resources_allow(Logger& log, const std::function<void()>& start);

}  // namespace rookproxy
