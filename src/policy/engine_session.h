// Decides what a session with an engine that runs one command at a time does next: which command is sent,
// whom a response belongs to, and whether the session may take another attempt.
//
//   awaited response            its attempt      another attempt
//   none, ping                  -                accepted if the session's schema allows it
//   select schema, prepare      waits            not accepted
//                               was cancelled    accepted after the response, which belongs to nobody
//   execute                     waits            not accepted
//                               was cancelled    never accepted: the session is retired
//   find kill target, kill      -                never accepted: the session is dedicated to the kill
//
// A kill is sent only once its session has found the query's session: another process may have come up at the
// engine's address, with a session of the same number.
//
// So an awaited response always belongs to the attempt that sent the command, or to nobody.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rookproxy::policy {

// The commands of a session.
enum class SessionCommand { kSelectSchema, kPrepare, kExecute, kPing, kFindKillTarget, kKill };

// What an attempt does in its session.
struct SessionAttempt {
  // kUseSchema: only selects a schema; kPrepare: only prepares a statement.
  enum class Kind { kStatement, kUseSchema, kPrepare, kExecutePrepared };
  Kind kind = Kind::kStatement;
  // The schema that the statement runs in, or that kUseSchema selects. Empty: it runs without a schema.
  std::string schema;
};

// A complete response.
struct SessionResponse {
  SessionCommand command = SessionCommand::kPing;
  // False if the attempt that sent the command has ended or was cancelled, or if no attempt did.
  bool belongs_to_attempt = false;
};

// The state of one session after its login.
class EngineSession {
 public:
  // Returns whether an attempt whose statement runs in this schema (empty: without one) may be assigned.
  [[nodiscard]] bool can_accept(std::string_view required_schema) const;
  // Returns whether a ping may be requested.
  [[nodiscard]] bool can_probe() const;

  // Assigns an attempt, which can_accept() allows.
  void assign(SessionAttempt attempt);
  // The attempt has its outcome or was cancelled.
  void end_attempt();
  // Sends a ping once no response is awaited.
  void request_ping() { ping_requested_ = true; }
  // Uses the session only for a kill. It takes no attempts.
  void dedicate_to_kill() { kill_state_ = KillState::kSearching; }
  // Must be called after the response to kFindKillTarget. Without a target nothing is killed.
  void on_kill_target_searched(bool found) { kill_state_ = found ? KillState::kFound : KillState::kGone; }
  // The session takes no further attempts.
  void retire() { retired_ = true; }

  // Returns the command to send now, if any. `is_prepared` tells whether the statement that the attempt
  // executes is prepared in the session's schema.
  [[nodiscard]] std::optional<SessionCommand> next_command(bool is_prepared) const;
  void on_command_sent(SessionCommand command);
  // Handles the awaited response. `failed` tells whether it is an error.
  SessionResponse on_response(bool failed);

  [[nodiscard]] bool is_awaiting_response() const { return awaited_.has_value(); }
  [[nodiscard]] bool is_awaiting(SessionCommand command) const { return awaited_ == command; }
  // The selected schema; empty if none is.
  [[nodiscard]] const std::string& schema() const { return schema_; }

 private:
  // kNone: the session is not dedicated to a kill.
  enum class KillState { kNone, kSearching, kFound, kGone };

  [[nodiscard]] bool is_awaited_by_attempt() const;
  [[nodiscard]] bool kills() const { return kill_state_ != KillState::kNone; }

  std::optional<SessionAttempt> attempt_;
  std::optional<SessionCommand> awaited_;
  // The schema that is selected if the awaited response is no error.
  std::string awaited_schema_;
  // A session's schema can be changed but not unset.
  std::string schema_;
  bool ping_requested_ = false;
  KillState kill_state_ = KillState::kNone;
  bool retired_ = false;
};

}  // namespace rookproxy::policy
