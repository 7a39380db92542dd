// Requests, attempts and outcomes. Feeds the decision module and carries out what it says; knows no wire and
// takes no decision of its own, but for mechanical guards that keep the rules whatever the module says.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/figures.h"
#include "core/interfaces.h"
#include "decide/sending.h"
#include "log/log.h"
#include "net/loop.h"

namespace rookproxy {

struct CoreLimits {
  std::size_t held_bytes =
      32u << 20;  // of statements and results, over which new requests are refused at once
  std::size_t max_open = 20'000;
  // Answers go out this long before the client gives up, to be there in time.
  Duration answer_margin = std::chrono::milliseconds(8);
  // Work stops going to an engine this long before the drain's grace ends (decide/drains.h).
  Duration drain_margin = std::chrono::milliseconds(250);
  Duration tick =
      std::chrono::milliseconds(5);  // the simulator's time between two batches, where settings tell it
  // Told with a refusal where the module gives no advice.
  Duration refusal_pause = std::chrono::seconds(1);
  // After a change clients go by the new settings at the latest this much later, with room to spare.
  Duration change_time = std::chrono::milliseconds(2000);
};

class Dispatcher final : public LinkEvents {
 public:
  Dispatcher(Loop& loop, Log& log, Figures& figures, const lemonshift::Settings& settings,
             std::vector<std::string> zones, CoreLimits limits);

  void use(EngineLinks& links) { links_ = &links; }
  // What a refusal for lack of room here tells: no longer than clients are ready to stay away.
  Duration short_pause() const { return std::min<Duration>(std::chrono::seconds(1), limits_.refusal_pause); }
  // The rules of a class; its index is good until the caller returns to the loop, or as long as a request of
  // it is open.
  const lemonshift::ClassSettings& rules(lemonshift::ClassIndex cls) const { return settings_.classes[cls]; }
  std::optional<lemonshift::ClassIndex> class_named(std::string_view name) const;
  // Whether the settings tell tenants apart, and know this one.
  bool has_tenants() const { return !tenant_names_.empty(); }
  std::optional<std::uint32_t> tenant_named(std::string_view name) const;
  // Clients may still go by settings that were in force before the last change.
  bool is_changing() const { return changing_; }
  // Other settings from now on: the stricter of both at once, the new ones alone once clients go by them.
  // What is open keeps the rules under which it came.
  void change(const lemonshift::Settings& fresh, std::vector<std::string> zones, CoreLimits limits);

  // ---- from fronts. Each accepted request gets exactly one on_answer, unless its asker takes it back first.
  RequestKey accept(const Arrival& arrival, Asker& asker, std::uint64_t ticket);
  void asker_gone(RequestKey key);
  // Also those that are answered, or left by their clients, and still run: stopping would cut a load in half.
  std::size_t open_requests() const { return requests_.size(); }
  // A front has answered by itself what never became a request; its class is known.
  void turned_away(lemonshift::ClassIndex cls, Verdict verdict, std::string_view tenant = "");
  Gauges gauges() const;
  // So many processes stand in for this dispatcher now: each has its part of what may be held and of what an
  // engine that has just started may be sent.
  void share(std::size_t parts);

  // ---- from a directory
  // `told`: since when its news may count as told; now, if nothing is said.
  void learn_members(const std::vector<Member>& members, bool remembered,
                     std::optional<Time> told = std::nullopt);

  // ---- from links
  bool may_begin(AttemptKey key) override;
  void attempt_ended(AttemptKey key, AttemptEnd end) override;
  void attempt_noted(AttemptKey key, lemonshift::NoteKind kind, double amount) override;
  void probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) override;

  // Hands the module what has come in and carries out its answer; once a turn.
  void settle();

 private:
  struct Attempt {
    EngineId engine = 0;
    std::string zone;  // the engine's when it was sent: names, as settings may number zones anew
    std::uint32_t cell = 0;
    Time sent;
    bool out = true, may_have_run = true;
    TimerKey timer{};
  };
  struct Request {
    Arrival arrival;
    Asker* asker = nullptr;
    std::uint64_t ticket = 0;
    bool over = false;
    int out = 0;
    int rank = 1;
    std::optional<double> memory_mb;
    std::vector<Attempt> attempts;
    TimerKey guard{};
    std::size_t bytes = 0;
    std::string last_error;
  };
  struct Engine {
    Member told;
    Time closed_at{};  // when we were told that it drains or is gone
    std::optional<Time> probe_sent;
  };

  void bind(const lemonshift::Settings& fresh);
  lemonshift::EngineEntry entry_of(EngineId id) const;
  void close_engine(EngineId id, Time told);
  void watch_drain(EngineId id);
  Time drain_limit(Time told) const;
  void push(lemonshift::Event event);
  void carry_out(const lemonshift::Action& action);
  void send(const lemonshift::Send& send);
  decide::RepeatRule repeat_rule(const Request& request) const;
  decide::Sending sending(const Request& request, EngineId engine, std::size_t number) const;
  std::string_view forbidden(const Request* request, const lemonshift::Send& send) const;
  Time open_until(const Engine& engine) const;
  bool take_back(RequestKey key, std::uint32_t number);
  void end_attempt(RequestKey key, std::uint32_t number, AttemptEnd end);
  void call_off(RequestKey key, std::uint32_t number, Outcome outcome);
  void cancel_attempt(RequestKey key, std::uint32_t number);
  void finish(RequestKey key, Answer answer);
  void release_if_done(RequestKey key);
  void count(lemonshift::ClassIndex cls, Verdict verdict, std::string_view tenant);
  Attempt* attempt(AttemptKey key);

  Loop& loop_;
  Log& log_;
  Figures& figures_;
  lemonshift::Settings binding_;    // as last bound, classes as the operator names them
  lemonshift::Settings settings_;   // the same with the classes by which open requests go on: never moved
  std::vector<std::size_t> users_;  // of each such class, requests
  std::map<std::string, lemonshift::ClassIndex, std::less<>> class_names_;
  std::map<std::string, std::uint32_t, std::less<>> tenant_names_;
  TimerKey change_timer_{};
  bool changing_ = false;
  std::vector<std::string> zones_;
  CoreLimits limits_;
  lemonshift::Router router_;
  EngineLinks* links_ = nullptr;
  SlotTable<Request> requests_;
  std::size_t unanswered_ = 0, held_ = 0, parts_ = 1;
  std::unordered_map<std::string, EngineId> engine_ids_;
  std::vector<Engine> engines_;
  std::vector<lemonshift::Event> events_;
  std::vector<lemonshift::Action> actions_;
};

}  // namespace rookproxy
