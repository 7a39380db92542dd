#include "log/error_log.h"

#include <string>

#include "base/errors.h"

namespace rookproxy {

void log_error(Logger& log, std::string_view message_id, std::string_view prefix,
               const std::exception& exception) {
  const std::string text = std::string(prefix) + exception.what();
  const auto* const error = dynamic_cast<const Error*>(&exception);
  if (error == nullptr) {
    log.write(LogLevel::kError, message_id, text, {});
    return;
  }
  log.write(LogLevel::kError, message_id, text,
            {{"code", std::string(to_string(error->code()))}, {"action", std::string(error->action())}});
}

}  // namespace rookproxy
