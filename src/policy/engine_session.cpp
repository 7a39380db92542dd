#include "policy/engine_session.h"

#include <utility>

namespace rookproxy::policy {

bool EngineSession::is_awaited_by_attempt() const {
  return awaited_ && *awaited_ != SessionCommand::kPing && *awaited_ != SessionCommand::kFindKillTarget &&
         *awaited_ != SessionCommand::kKill;
}

// A statement without a schema must not run in a session that has one, because its unqualified table names
// would resolve.
bool EngineSession::can_accept(std::string_view required_schema) const {
  if (attempt_ || retired_ || kills() || is_awaited_by_attempt()) return false;
  return schema_.empty() || !required_schema.empty();
}

bool EngineSession::can_probe() const {
  return !attempt_ && !retired_ && !kills() && !is_awaited_by_attempt();
}

void EngineSession::assign(SessionAttempt attempt) { attempt_ = std::move(attempt); }

void EngineSession::end_attempt() {
  attempt_.reset();
  // What an execution does to the session that nobody waits for is not known.
  if (awaited_ == SessionCommand::kExecute) retired_ = true;
}

std::optional<SessionCommand> EngineSession::next_command(bool is_prepared) const {
  using Kind = SessionAttempt::Kind;
  if (awaited_) return std::nullopt;
  switch (kill_state_) {
    case KillState::kNone:
      break;
    case KillState::kSearching:
      return SessionCommand::kFindKillTarget;
    case KillState::kFound:
      return SessionCommand::kKill;
    case KillState::kGone:
      return std::nullopt;
  }
  if (ping_requested_) return SessionCommand::kPing;
  if (!attempt_) return std::nullopt;
  if (attempt_->kind == Kind::kUseSchema) return SessionCommand::kExecute;
  if (attempt_->schema != schema_) return SessionCommand::kSelectSchema;
  if (attempt_->kind == Kind::kPrepare) return SessionCommand::kPrepare;
  const bool prepares = attempt_->kind == Kind::kExecutePrepared && !is_prepared;
  return prepares ? SessionCommand::kPrepare : SessionCommand::kExecute;
}

void EngineSession::on_command_sent(SessionCommand command) {
  awaited_ = command;
  awaited_schema_ = schema_;
  if (command == SessionCommand::kPing) ping_requested_ = false;
  if (!attempt_) return;
  const bool uses_schema =
      command == SessionCommand::kExecute && attempt_->kind == SessionAttempt::Kind::kUseSchema;
  if (uses_schema || command == SessionCommand::kSelectSchema) awaited_schema_ = attempt_->schema;
}

SessionResponse EngineSession::on_response(bool failed) {
  const SessionResponse response{awaited_.value_or(SessionCommand::kPing),
                                 is_awaited_by_attempt() && attempt_.has_value()};
  if (awaited_ && !failed) schema_ = awaited_schema_;
  awaited_.reset();
  return response;
}

}  // namespace rookproxy::policy
