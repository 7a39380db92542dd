// The exit codes of rookproxyctl, which scripts rely on.
#pragma once

namespace rookproxy::ctl {

// The outcome of a command.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kNoAgent = 3,
  kNotInTime = 4,
  kNotRunning = 5,
  kNotUpgraded = 6
};

}  // namespace rookproxy::ctl
