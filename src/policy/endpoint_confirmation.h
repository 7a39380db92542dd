// Decides which listed engines may get attempts while responses of service discovery contradict each other.
//
// Versions order lists only within one sequence of versions. Service discovery starts a new sequence for each
// start of a dispatcher, and servers behind one address may have separate sequences, so a higher version
// alone does not make a list valid. Therefore
//
// - a drain or removal of an engine takes effect with the first list that has it;
// - a new engine may get attempts once a second consecutive response lists it; a process of an engine that
//   was draining or removed may get attempts again only after five consecutive responses list it as serving;
// - engines that two consecutive responses do not list as serving get no attempts, even if the versions of
//   these responses are older than that of the newest list.
//
// A wrong decision delays attempts on an engine by a few polls. The opposite rules could send attempts to an
// engine that must not get any.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// One engine of a list. The start time identifies the process of the engine.
struct ListedEngine {
  std::string id;
  std::optional<Time> started_at;
  bool serving = false;
  bool operator==(const ListedEngine&) const = default;
};

// The engines of one list.
using EngineListing = std::vector<ListedEngine>;

// Tracks the responses of service discovery and keeps the engines that may get attempts.
class EndpointConfirmation {
 public:
  // `initial` is the list that the process was started with. If it is empty, the first list is accepted
  // without confirmation.
  EndpointConfirmation(const EngineListing& initial, Time now);

  // To be called for a response that has the newest version, once for each poll.
  void on_newest_list(const EngineListing& list, Time now);
  // To be called, once for each poll, for a response to a poll that was sent after the newest list had been
  // received, if it has an older version, or the same version with different content.
  void on_contradicting_list(const EngineListing& list, Time now);

  // To be called when the newest list was received once and has been discarded because later responses
  // contradict it. Engines that it did not list as serving stay blocked for as long as servers may lag, since
  // it may have been the first to announce a drain.
  void on_newest_discarded(Time now);

  // Whether that process of the engine may get new attempts.
  [[nodiscard]] bool may_serve(const std::string& id, std::optional<Time> started_at) const;
  // Whether another response with the newest list would change nothing.
  [[nodiscard]] bool is_stable() const {
    return contradictions_ == 0 && candidates_.empty() && blocked_until_.empty();
  }
  // Whether enough consecutive responses contradict the newest list that they are applied as well.
  [[nodiscard]] bool is_contradicted() const { return contradictions_ >= kContradictionsToApply; }

 private:
  // The number of consecutive contradicting responses from which on they are applied. A single one may be out
  // of date.
  static constexpr int kContradictionsToApply = 2;

  // The number of consecutive responses that must list a process as serving: for a new engine, and for a
  // process that was draining or removed.
  static constexpr int kResponsesForNewEngine = 2;
  static constexpr int kResponsesForClosedEngine = 5;

  // A process of an engine that is not allowed yet, and the number of consecutive responses that list it as
  // serving.
  struct Candidate {
    std::optional<Time> started_at;
    int responses = 0;
  };
  // A process of an engine that was drained or removed.
  struct ClosedEngine {
    std::optional<Time> started_at;
    Time closed_at;
  };
  // Processes of engines: the start time by engine id.
  using StartTimes = std::map<std::string, std::optional<Time>>;

  static StartTimes serving_engines(const EngineListing& list);
  // Removes draining engines from the allowed ones. A process that is listed as draining does not serve
  // again, so this applies however old the list is.
  void close_draining(const EngineListing& list, Time now);
  void close(const std::string& id, std::optional<Time> started_at, Time now);
  [[nodiscard]] bool is_confirmed(const std::string& id, const Candidate& candidate) const;

  StartTimes allowed_;
  std::map<std::string, Candidate> candidates_;
  std::map<std::string, ClosedEngine> closed_;
  // The processes that were allowed until the newest list arrived.
  StartTimes blocked_by_newest_;
  // The engines that discarded lists did not list as serving, and when their block ends.
  std::map<std::string, Time> blocked_until_;
  bool is_first_list_;
  // The number of consecutive responses that contradict the newest list.
  int contradictions_ = 0;
};

}  // namespace rookproxy::policy
