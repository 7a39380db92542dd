// Until when work may leave for an engine that drains or is gone.
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

// How long after somebody else's word we may take it to have come, and act on it late.
//
// The grace counts from the moment at which an answer of the directory that held the word went out, ours from
// the one we read. If one answer was lost on its way, we read the next, a pause between two questions later.
// And a send that is decided at the last moment leaves a turn of the loop later; what waits for its
// connection needs no room here, as it is taken back at the limit. `longest_pause`: between two questions; 0
// where nobody is asked and the word is the operator's own.
Duration drain_margin(Duration longest_pause);

// The last moment, of a grace that began when we were told. Never before that: a grace shorter than the
// margin means that nothing more is sent.
Time latest_drain_start(Time told, Duration grace, Duration margin);

}  // namespace rookproxy::policy
