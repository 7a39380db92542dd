/// Decides which listed engines may get work while responses of service discovery contradict each other.
///
/// A version orders the lists of one count. It says nothing where a response belongs to another count:
/// service discovery counts anew for each start of a dispatcher, and servers behind one address may count
/// apart. So versions are not enough to believe a list. Instead
///
/// - a list that forbids (an engine drains, or is gone) takes effect at once;
/// - a list that allows a new engine takes effect once a second response confirms it, and one that lets the
/// same
///   process of an engine serve again after a drain once five in a row do, since processes hardly ever do
///   that;
/// - what two responses in a row withhold is withheld, though their versions are older than the newest
/// list's.
///
/// A mistake costs an engine some polls of work; the opposite would send work to an engine that must get
/// none.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

/// What a list says of one engine: which process of it is meant, and whether it takes work.
struct ListedEngine {
  std::string id;
  std::optional<Time> started_at;
  bool serving = false;
  bool operator==(const ListedEngine&) const = default;
};

/// The engines of one list, in the order of their ids.
using EngineListing = std::vector<ListedEngine>;

/// Follows the responses of one service discovery and keeps the engines that may get work.
class EndpointConfirmation {
 public:
  /// `initial` is the list that the process was started with; empty: the first list is taken as it is.
  EndpointConfirmation(const EngineListing& initial, Time now);

  /// A response with the newest version, once for each poll.
  void on_newest_list(const EngineListing& list, Time now);
  /// A response that was polled for after the newest list had been seen, and has an older version or another
  /// content under the same version. Once for each poll.
  void on_contradicting_list(const EngineListing& list, Time now);

  /// The newest list came once, and other responses outweigh it. What it withheld stays withheld for as long
  /// as servers may lag: it may have been the first to announce a drain.
  void on_newest_refuted(Time now);

  /// Whether that process of the engine may get new work.
  [[nodiscard]] bool may_serve(const std::string& id, std::optional<Time> started_at) const;
  /// Whether another response that says the same as the last one, the newest list, would change nothing.
  [[nodiscard]] bool is_settled() const {
    return contradictions_ == 0 && candidates_.empty() && withheld_until_.empty();
  }
  /// Whether responses contradict the newest list, and it is not followed alone.
  [[nodiscard]] bool is_contradicted() const { return contradictions_ >= kContradictionsToBelieve; }

 private:
  // One response may be an old one; two in a row are a second opinion.
  static constexpr int kContradictionsToBelieve = 2;

  // Responses in a row that have to allow a new engine, and a process that was closed.
  static constexpr int kResponsesForNewEngine = 2;
  static constexpr int kResponsesForClosedEngine = 5;

  // A process of an engine that responses allow, and how many of them in a row.
  struct Candidate {
    std::optional<Time> started_at;
    int responses = 0;
  };
  // A process of an engine that was drained or removed.
  struct ClosedEngine {
    std::optional<Time> started_at;
    Time closed_at;
  };
  // Engines by id, each with the start of the process that is meant.
  using Starts = std::map<std::string, std::optional<Time>>;

  static Starts serving_engines(const EngineListing& list);
  // A list that has an engine as draining is right about that process for good, however old the list is.
  void withhold_drained(const EngineListing& list, Time now);
  void close(const std::string& id, std::optional<Time> started_at, Time now);
  [[nodiscard]] bool is_confirmed(const std::string& id, const Candidate& candidate) const;

  Starts allowed_;
  std::map<std::string, Candidate> candidates_;
  std::map<std::string, ClosedEngine> closed_;
  Starts withheld_by_newest_;                   // that were allowed until the newest version came
  std::map<std::string, Time> withheld_until_;  // by refuted lists
  bool is_first_list_;
  int contradictions_ = 0;  // responses in a row that contradict the newest list
};

}  // namespace rookproxy::policy
