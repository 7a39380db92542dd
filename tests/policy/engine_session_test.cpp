// Tests of the decisions on a session with an engine: all orders of events, against a model of the engine.
#include "policy/engine_session.h"

#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rookproxy::policy {
namespace {

using Command = SessionCommand;
using Kind = SessionAttempt::Kind;

constexpr int kNobody = 0;

// A command that the engine has received and not answered yet.
struct ReceivedCommand {
  Command command = Command::kPing;
  // The number of the attempt that had the session when the command was sent.
  int attempt = kNobody;
  std::string schema;
};

// One event. `kAssign` has an attempt; the others have none.
struct Event {
  enum class Type { kAssign, kCancel, kSucceed, kFail, kProbe, kRetire, kKill };
  Type type = Type::kSucceed;
  SessionAttempt attempt;
};

// A session and its engine, which can be copied to try several events.
struct World {
  EngineSession session;
  std::optional<ReceivedCommand> received;
  std::string engine_schema;
  // The schemas in which the engine has prepared the one prepared statement.
  std::set<std::string> prepared_in;
  std::optional<SessionAttempt> attempt;
  int attempt_number = kNobody;
  bool was_executed = false;
  bool was_abandoned = false;
  bool is_killing = false;
  bool is_kill_target_found = false;
  std::string broken_rule;

  void check(bool holds, const std::string& rule) {
    if (!holds && broken_rule.empty()) broken_rule = rule;
  }
  [[nodiscard]] bool sends_for_attempt() const {
    return received && received->command != Command::kPing && received->command != Command::kFindKillTarget &&
           received->command != Command::kKill;
  }

  void end_attempt() {
    attempt.reset();
    was_executed = false;
    session.end_attempt();
  }

  void send_commands() {
    while (const auto command = session.next_command(prepared_in.contains(session.schema()))) {
      check(!received, "one command at a time");
      if (received) return;
      received =
          ReceivedCommand{*command, attempt ? attempt_number : kNobody, attempt ? attempt->schema : ""};
      session.on_command_sent(*command);
      check(*command != Command::kKill || is_kill_target_found, "only a session that was found is killed");
      if (!sends_for_attempt()) continue;
      check(attempt.has_value(), "no command without an attempt");
      if (!attempt) continue;
      const bool runs_statement = *command == Command::kPrepare || *command == Command::kExecute;
      if (runs_statement && attempt->kind != Kind::kUseSchema) {
        check(engine_schema == attempt->schema, "a statement runs in its own schema");
      }
      if (*command != Command::kExecute) continue;
      check(!was_executed, "an attempt runs once");
      check(attempt->kind != Kind::kPrepare, "a statement that is only prepared doesn't run");
      if (attempt->kind == Kind::kExecutePrepared) {
        check(prepared_in.contains(engine_schema), "only what is prepared in its schema is executed");
      }
      was_executed = true;
    }
  }

  // The engine carries out the received command and responds.
  void respond(bool failed) {
    const ReceivedCommand answered = *received;
    const bool belongs = sends_for_attempt() && attempt && answered.attempt == attempt_number;
    const bool selects =
        answered.command == Command::kSelectSchema ||
        (answered.command == Command::kExecute && attempt_kind_of_received == Kind::kUseSchema);
    if (!failed && selects) engine_schema = answered.schema;
    received.reset();
    const SessionResponse response = session.on_response(failed);
    check(response.command == answered.command, "the response is that to the command that was sent");
    check(response.belongs_to_attempt == belongs, "a response belongs to the attempt that sent the command");
    if (answered.command == Command::kFindKillTarget) {
      is_kill_target_found = !failed;
      session.on_kill_target_searched(!failed);
    }
    // A statement whose preparation nobody waits for is closed by the caller.
    if (!failed && belongs && answered.command == Command::kPrepare) prepared_in.insert(engine_schema);
    const bool completes =
        failed || answered.command == Command::kExecute ||
        (answered.command == Command::kPrepare && attempt && attempt->kind == Kind::kPrepare);
    if (belongs && completes) end_attempt();
  }

  void play(const Event& event) {
    switch (event.type) {
      case Event::Type::kAssign:
        attempt = event.attempt;
        ++attempt_number;
        session.assign(event.attempt);
        break;
      case Event::Type::kCancel:
        was_abandoned |= received && received->command == Command::kExecute;
        end_attempt();
        break;
      case Event::Type::kSucceed:
      case Event::Type::kFail:
        respond(event.type == Event::Type::kFail);
        break;
      case Event::Type::kProbe:
        session.request_ping();
        break;
      case Event::Type::kRetire:
        session.retire();
        was_abandoned = true;
        break;
      case Event::Type::kKill:
        session.dedicate_to_kill();
        is_killing = true;
        break;
    }
    if (event.type == Event::Type::kAssign) attempt_kind_of_received = event.attempt.kind;
    send_commands();
  }

  // The kind of the attempt that sent the received command: another one is assigned only afterwards.
  Kind attempt_kind_of_received = Kind::kStatement;
};

std::vector<Event> possible_events(const World& world) {
  std::vector<Event> events;
  for (const Kind kind : {Kind::kStatement, Kind::kUseSchema, Kind::kPrepare, Kind::kExecutePrepared}) {
    for (const std::string schema : {"", "a", "b"}) {
      if (kind == Kind::kUseSchema && schema.empty()) continue;
      if (world.session.can_accept(schema)) events.push_back({Event::Type::kAssign, {kind, schema}});
    }
  }
  if (world.attempt) events.push_back({Event::Type::kCancel, {}});
  if (world.received) {
    events.push_back({Event::Type::kSucceed, {}});
    events.push_back({Event::Type::kFail, {}});
  }
  if (world.session.can_probe()) events.push_back({Event::Type::kProbe, {}});
  events.push_back({Event::Type::kRetire, {}});
  if (!world.attempt && !world.received) events.push_back({Event::Type::kKill, {}});
  return events;
}

// Rules that hold in every state.
std::string broken_rule_of(const World& world) {
  if (!world.broken_rule.empty()) return world.broken_rule;
  const bool accepts_any = world.session.can_accept("a");
  if (accepts_any && world.sends_for_attempt()) return "no attempt is assigned while a response is due";
  if (accepts_any && world.attempt) return "one attempt at a time";
  if (accepts_any && (world.was_abandoned || world.is_killing)) return "a retired session takes no attempt";
  if (world.session.can_accept("") && !world.engine_schema.empty()) {
    return "a statement without a schema runs in a session without one";
  }
  if (world.attempt && !world.received && !world.is_killing) return "an attempt goes on";
  if (!world.received && world.session.schema() != world.engine_schema)
    return "the session's schema is known";
  const bool is_free = !world.attempt && !world.received && !world.was_abandoned && !world.is_killing;
  if (is_free && !accepts_any) return "a free session takes attempts";
  return "";
}

std::string key_of(const World& world) {
  std::string key = world.engine_schema + "/" + world.session.schema() + "/";
  for (const std::string& schema : world.prepared_in) key += schema + ",";
  if (world.attempt)
    key += "A" + std::to_string(static_cast<int>(world.attempt->kind)) + world.attempt->schema;
  if (world.received) {
    key += "R" + std::to_string(static_cast<int>(world.received->command)) + world.received->schema;
    key += world.received->attempt == world.attempt_number ? "own" : "other";
    key += std::to_string(static_cast<int>(world.attempt_kind_of_received));
  }
  key += world.was_executed ? "x" : "-";
  key += world.was_abandoned ? "r" : "-";
  key += world.is_killing ? "k" : "-";
  key += world.is_kill_target_found ? "f" : "-";
  key += world.session.can_accept("") ? "e" : "-";
  key += world.session.can_accept("a") ? "a" : "-";
  key += world.session.can_probe() ? "p" : "-";
  return key;
}

}  // namespace

TEST_CASE("engine session: in every order of events a response belongs to the attempt that asked for it") {
  // Guards against an attempt that gets the response to a cancelled one, runs in its schema, or crashes on
  // it.
  constexpr int kMaxDepth = 60;
  std::set<std::string> seen;
  std::vector<World> worlds{World{}};
  for (int depth = 0; depth < kMaxDepth && !worlds.empty(); ++depth) {
    std::vector<World> next;
    for (const World& world : worlds) {
      for (const Event& event : possible_events(world)) {
        World after = world;
        after.play(event);
        const std::string rule = broken_rule_of(after);
        if (!rule.empty()) {
          CAPTURE(key_of(world), key_of(after), depth, static_cast<int>(event.type));
          FAIL("broken: " << rule);
        }
        if (seen.insert(key_of(after)).second) next.push_back(std::move(after));
      }
    }
    worlds = std::move(next);
  }
  INFO(seen.size() << " states");
  CHECK(worlds.empty());
  CHECK(seen.size() > 100);
}

TEST_CASE("engine session: a session whose preparation is cancelled is usable again after the response") {
  // Guards against a session that is lost, or used too early, after its client has left.
  EngineSession session;
  session.assign({Kind::kExecutePrepared, "a"});
  REQUIRE(session.next_command(false) == Command::kSelectSchema);
  session.on_command_sent(Command::kSelectSchema);
  session.end_attempt();
  CHECK_FALSE(session.can_accept("a"));
  CHECK_FALSE(session.can_probe());
  CHECK_FALSE(session.on_response(false).belongs_to_attempt);
  CHECK(session.schema() == "a");
  CHECK(session.can_accept("b"));
  CHECK_FALSE(session.can_accept(""));
}

}  // namespace rookproxy::policy
