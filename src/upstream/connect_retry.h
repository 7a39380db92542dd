// Whether an attempt whose connection ended before a byte of it had left is tried on another connection.
#pragma once

namespace rookproxy {

// How a connection ended under an attempt that was never sent.
struct NeverSentAttempt {
  // Connections that ended under this attempt so far, this one included.
  int failed_connections = 0;
  // The connection was set up, and not draining.
  bool connection_was_usable = false;
  // Other connections to the same engine have lately received something.
  bool other_connections_respond = false;
};

// A connection that is reset while it is new or idle says nothing against its engine, nor does one more that
// the engine refuses while others to it work. Only what fails repeatedly, or is refused with nothing else
// working there, is reported.
[[nodiscard]] constexpr bool should_retry_connection(const NeverSentAttempt& attempt) {
  constexpr int kMaxFailedConnections = 3;
  if (attempt.failed_connections >= kMaxFailedConnections) return false;
  return attempt.connection_was_usable || attempt.other_connections_respond;
}

}  // namespace rookproxy
