#include "policy/execution_evidence.h"

namespace rookproxy::policy {

bool proves_never_ran(AttemptProgress progress, RefusalBasis basis) {
  switch (progress) {
    case AttemptProgress::kNotRequested:
      return true;
    case AttemptProgress::kRequested:
      return basis == RefusalBasis::kProtocol;
    case AttemptProgress::kRunning:
      break;
  }
  return false;
}

}  // namespace rookproxy::policy
