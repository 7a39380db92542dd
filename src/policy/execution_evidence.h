// Decides whether an engine's response proves that an attempt never ran.
//
// Only such a proof allows a request with side effects to be sent again, or to be answered as rejected.
#pragma once

namespace rookproxy::policy {

// How far an attempt has come, as far as the engine's responses and the bytes sent show.
enum class AttemptProgress {
  kNotRequested,  // The command that runs the attempt was not sent.
  kRequested,     // The engine may have received that command.
  kRunning        // The engine has reported progress or sent a part of the result.
};

// What makes a response say that the attempt did not run.
enum class RefusalBasis {
  kProtocol,  // The protocol reserves the response for attempts that never ran.
  kErrorCode  // Engines use the error code both before a statement runs and for a failure while it runs, for
              // example of a statement within a procedure.
};

// Returns whether a response that refuses an attempt proves that the attempt never ran.
[[nodiscard]] bool proves_never_ran(AttemptProgress progress, RefusalBasis basis);

}  // namespace rookproxy::policy
