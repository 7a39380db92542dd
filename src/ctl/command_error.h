// The error of a command that can't be carried out.
#pragma once

#include <string>

#include "base/errors.h"

namespace rookproxy::ctl {

// A command can't be carried out. The message says what is wrong with which file or option.
class CommandError : public Error {
 public:
  explicit CommandError(const std::string& message) : Error(ErrorCode::kInvalidCommand, message) {}
};

}  // namespace rookproxy::ctl
