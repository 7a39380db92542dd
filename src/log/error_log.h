// Writes exceptions to the log.
#pragma once

#include <exception>
#include <string_view>

#include "log/log.h"

namespace rookproxy {

// Writes an error-level message: `prefix`, then what the exception says. An `Error` adds the fields `code`
// and `action`, which tell its kind and what an operator can do.
void log_error(Logger& log, std::string_view message_id, std::string_view prefix,
               const std::exception& exception);

}  // namespace rookproxy
