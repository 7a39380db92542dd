// Decides whether an attempt is retried on another connection after its connection closed before any byte of
// it was sent.
#pragma once

namespace rookproxy {

// Describes how a connection closed while it carried an attempt that was not sent.
struct UnsentAttempt {
  // The number of connections that closed under this attempt so far, including this one.
  int failed_connections = 0;
  // True if the connection was established and not draining.
  bool connection_was_usable = false;
  // True if other connections to the same engine received data recently.
  bool other_connections_respond = false;
};

// A reset of a new or idle connection does not indicate a failing engine, and neither does one refused
// connection while others to the same engine work. A failure is reported only if it repeats, or if a
// connection is refused and no other connection to the engine responds.
[[nodiscard]] constexpr bool should_retry_connection(const UnsentAttempt& attempt) {
  constexpr int kMaxFailedConnections = 3;
  if (attempt.failed_connections >= kMaxFailedConnections) return false;
  return attempt.connection_was_usable || attempt.other_connections_respond;
}

}  // namespace rookproxy
