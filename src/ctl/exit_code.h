// Exit codes of rookproxyctl; scripts rely on them.
#pragma once

namespace rookproxy::ctl {

// How a command ended.
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
