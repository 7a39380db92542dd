// Every decision of the routing module, by the embed routing of "On Smart Query Routing" (section 3.4.2).
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <numeric>
#include <utility>

#include "rookproxy/routing/router.h"
#include "routing/hash.h"
#include "routing/placement.h"
#include "routing/settings_check.h"
#include "routing/state.h"

namespace rookproxy::routing {
namespace {

using namespace state;
using enum Idempotency;

constexpr double kSmoothing = 0.5;     // the paper's alpha: how much of an engine's mean a send keeps
constexpr double kLoadFactor = 20;     // queries, all gateways', that weigh as much as one unit of distance
constexpr double kOwnPart = 0.4;       // of n gateways, what we saw of a mean counts n to the minus this
constexpr double kAgreedNorm = 0.3;    // squared length of the rest, on which all agree by hash
constexpr double kTilt = 0.4;          // hashed pull beside what we saw: a few gateways agree on homes by it
constexpr double kSample = 4;          // how firmly load is taken to be even until own sends say otherwise
constexpr double kThreadsPerCore = 2;  // send window; engines lose work beyond one or two
constexpr double kWindowUp = 0.01, kWindowDown = 0.03;   // an engine's, for an answer in time, a late one ...
constexpr double kWindowLeast = 0.5, kWindowMost = 1.5;  // ... within these shares of its start
constexpr double kSumUp = 0.014, kSumDown = 0.9;         // the sum of all, added or kept: 14% late in balance
constexpr double kSumLine = 0.95;  // kept of it for a query in an engine's line for memory
constexpr double kSumLeast = 0.1, kSumMost = 1.2, kBurst = 2;  // with room for chance: square roots of it
constexpr double kSumBound = 4;          // ... where it binds, for who carries several times the mean
constexpr double kSumLate = 0.05;        // ... and fewer answers than this are late
constexpr Time kBoundSpan = 1'000'000;   // held back this lately
constexpr double kMemoryPart = 1;        // of an engine's memory that all gateways' grants may take
constexpr double kMemoryOver = 1.2;      // granted by its report, in times of it: it takes nothing now
constexpr double kUsedSpan = 5'000'000;  // of the mean of use that may not pass a sum under one query
constexpr double kSumWide = 2;           // windows of more threads than this bound engines by themselves
constexpr double kHeldBack = 0.6, kSteep = 2;  // of the sum is not for the work that earns least; how sharply
constexpr double kPrice = 10;                  // distance for a point of the goal that crossing rooms costs
// ---- load reports: trust in one just in, halved each time; younger ones are not asked for again ----
constexpr double kReportTrust = 0.9, kReportHalf = 1'000'000;
constexpr double kFaithKept = 0.3, kDoubtHalf = 20'000'000;  // one shown with room was full; halved each time
constexpr double kFaithAsk = 0.5;                            // no probes below
constexpr Time kReportFresh = 300'000, kLookFor = 15'000;    // a query waits so long for probes
constexpr double kLookBelow = 1, kLookPrice = 0.02;  // no probe beyond: own queries at an engine, price
constexpr std::size_t kLookAt = 2, kLookPaging = 3;  // engines asked for a query; where engines page
constexpr double kColdMargin = 0.5;  // of our part of a cold engine's allowance: estimates may be at half
constexpr double kColdShares = 2, kColdMost = 1.2;  // a part of fewer queries is dealt out in turns, ...
constexpr double kColdUntold = 3;       // times its mean that one may take whose work nothing tells
constexpr double kColdTurns = 0.5;      // ... this share of the allowance, at most so much of its capacity
constexpr double kColdPiece = 0.3;      // share of the fleet's allowance in a span that one query may take
constexpr double kCapacityBusy = 0.85;  // an engine's capacity, as busy share of its cores
constexpr Time kTick = 20'000, kLookOver = 200'000;  // requests, the fleet's means are looked at this often
constexpr Time kStalled = 150'000;  // a timer of ours this late: we stood still, not the engines
constexpr Time kDownPause = 400'000, kDownPauseMost = 3'000'000;  // after failed connections, doubling
constexpr Time kAskPause = 300'000;                               // before a refused list call is made again
constexpr double kLearn = 0.05;                      // weight of one answer in a class's running means
constexpr double kMeanOwn = 0.1;                     // weight of one look in the mean of our load per engine
constexpr double kPaceLearn = 0.1, kPaceMost = 0.3;  // weight of one answer in an engine's pace: more ...
constexpr double kPaceSpan = 20'000'000;             // ... where they are rare, the last's age over this
constexpr double kAimOverRun = 3;   // a class's aim over its usual run, before anything is known of it
constexpr double kWorkStep = 0.08;  // step of the running median of latencies, where nothing tells work
constexpr double kShareSpan = 10'000'000;  // of arrivals by which our part of the traffic is told
constexpr double kUneven = 2;              // times the even part: less may be an overload or chance
constexpr double kQuotaSpan = 5;           // seconds of its share that a tenant may save up
constexpr double kBadPlan = 6;             // an attempt this many times slower than its class's is a bad plan
constexpr double kPaceStep = 0.03;         // step of the running median of a class's pace
constexpr Time kBadPlanAfter = 350'000;    // progress before this says too little
constexpr Time kHeldFor = 1'000'000;       // a load seen to hold a group is reckoned with for this long
constexpr double kSilentNotes = 2.5;       // note intervals without a word: the attempt is taken for lost
constexpr double kLostFrom = 0.03;  // share of lost attempts from which overdue ones aren't waited for:
constexpr double kOverdue = 2.5, kOverdueAdd = 50'000;  // times the usual latency, plus this
constexpr double kSlowFrom = 1.8, kSlowScore = 0.5;  // times slower than the median: score for each further
constexpr double kDownScore = 100, kColdScore = 50;  // of one that does not answer; that may not be sent this
constexpr double kBadUp = 0.3, kBadKept = 0.7;       // how an error, an answer move an engine's bad share ...
constexpr double kLostUp = 0.15;                     // ... and a connection that broke
constexpr Time kVouched =
    500'000;                       // one that has served this lately is believed over a request that it fails
constexpr int kMostDoubted = 2;    // engines so believed that may fail a request: then the fault is its own
constexpr double kBadFrom = 0.45;  // ... and the share from which only a trickle is sent
constexpr double kLoadBlocks = 1.5;  // distance added where a load and its group's readers would meet
constexpr double kLateWorth = 0.15;  // late answers that earn less are not worth an engine's time
// ---- memory grants over the estimate, where they are heeded: about one in seven spills ----
constexpr double kGrantStart = 1.25, kGrantUp = 0.05, kGrantDown = 0.008, kGrantLeast = 1, kGrantMost = 4;

constexpr std::uint64_t kTickToken = 1, kAskToken = 2, kFirstRequestToken = 8;

double octaves(double value) { return std::log2(std::max(1e-6, value * 1e6)); }  // worth per second of work

}  // namespace

class Router::Impl {
 public:
  explicit Impl(Settings settings) : s_(validated(std::move(settings))) {
    for (const auto& c : s_.classes) classes_.push_back(untried(c));
    mean_run_ = classes_.front().mean_work / s_.classes.front().threads;
    share_out();
  }

  // What is open goes on under its class's entry, which stays; what is known of a class goes on under its
  // name.
  void change(Settings settings) {
    const auto old = std::exchange(s_, validated(std::move(settings)));
    const auto known = std::exchange(classes_, {});
    for (std::size_t i = 0; i < s_.classes.size(); ++i) {
      const auto& c = s_.classes[i];
      const bool same = i < old.classes.size() && old.classes[i] == c;
      const auto named =
          std::find_if(old.classes.begin(), old.classes.end(), [&](auto& o) { return o.name == c.name; });
      if (same)
        classes_.push_back(known[i]);
      else if (named != old.classes.end())
        classes_.push_back(known[static_cast<std::size_t>(named - old.classes.begin())]);
      else
        classes_.push_back(untried(c));
    }
    tenants_.clear();
    share_out();
  }

  static ClassState untried(const ClassSettings& c) {
    return {.mean_work = std::max(1000.0, static_cast<double>(c.latency_objective)) / kAimOverRun * c.threads,
            .grant = kGrantStart,
            .took = static_cast<double>(c.latency_objective) * c.threads};
  }
  void share_out() {
    gateways_ = s_.instance_count, tenant_share_ = 1 / gateways_;
    own_part_ = std::pow(s_.instance_count, -kOwnPart);
  }

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    if (begun_at_ == kNever) {
      begun_at_ = now;
      if (s_.engine_list_mode == EngineListMode::kSubscribed) actions.push_back(SubscribeEngineList{});
    }
    // After a gap of our own nothing is learnt from what came meanwhile: its delay is ours.
    stalled_ = ticking_ && now - tick_due_ > kStalled;
    if (stalled_) stalled_at_ = now;
    const double gone = -std::expm1(-static_cast<double>(now - std::exchange(used_at_, now)) / kUsedSpan);
    for (int i = 0; i < 4; ++i) used_[i] += gone * (threads_[i] - used_[i]);
    for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
    pump_all();
    for (const auto id : done_) {
      if (Request* const r = request(id); r && r->over && r->out == 0) requests_.erase(id);
    }
    done_.clear();
    if (!ticking_ && !requests_.empty()) {
      ticking_ = true;
      tick_due_ = now + kTick;
      actions.push_back(SetTimer{tick_due_, kTickToken});
    }
  }

  std::size_t avoided(Time now) const {
    return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [&](const auto& one) {
      const Engine& e = one.second;
      return e.told.state != EngineState::kRemoved && (!serves(e) || down(e) || now < e.shut_until);
    }));
  }

 private:
  Request* request(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  const ClassSettings& cls(const Request& r) const { return s_.classes[r.cls]; }
  std::uint32_t most_attempts(const Request& r) const {
    return cls(r).max_attempts.value_or(s_.max_attempts);
  }
  static bool serves(const Engine& e) { return e.known && e.told.state == EngineState::kServing; }

  // The mean is over all gateways' sends, of which we see a few. The unseen part is a guess that all agree
  // on: the homes planned for the group, of which a query draws one, as if the group were cut in parts that
  // have one home each. A load keeps off its readers' homes, and draws an engine by itself, or all gateways'
  // loads of a group would meet where the hash has it last.
  double distance(const Engine& e, const Request& r, double own_mean) const {
    const double agreed = e.told.id == r.home ? 1 : placement_.planned_share(e.told.id, r.group) / 2;
    const double mean = own_part_ * own_mean + (1 - own_part_) * agreed;
    const double norm2 = own_part_ * e.norm2 + (1 - own_part_) * kAgreedNorm;
    return std::sqrt(std::max(0.0, norm2 - 2 * mean + 1));
  }

  void move_mean(Engine& e, Group& to) {
    // The first sends are averaged evenly: an engine's first group is its whole mean, not a sliver of it.
    const double keep = std::min(kSmoothing, e.sends / (e.sends + 1.0));
    ++e.sends;
    e.norm2 = e.norm2 * keep * keep + (1 - keep) * (2 * keep * to.mean + 1 - keep);
    for (auto& g : e.groups) g.mean *= keep;
    to.mean += 1 - keep;
    std::erase_if(e.groups, [this](const Group& g) {
      return g.mean < 1e-3 && g.readers == 0 && g.loads == 0 && g.held_until <= now_;
    });
  }

  // What all gateways have at an engine, in queries on one of the usual size. Our part is known, that of the
  // others guessed from it: few sends tell little, so the guess starts from an even spread. A report, while
  // it is fresh, is better. Could harm where reports are wrong for long: then trust them less. What waits in
  // our own queue is no sample of others' and counts once: with 147 gateways, one query queued at its home
  // weighed like 17 there and sent the next of its group off to a cold engine.
  double load(const Engine& e) const {
    const double own = e.running, queued = static_cast<double>(e.queue.size());
    const double others = (gateways_ - 1) * (kSample + own) / (kSample / std::max(mean_own_, 0.01) + 1);
    const double guess = own + queued + others;
    const double trust = report_trust(e);
    return (trust * (e.reported + e.sent_since) + (1 - trust) * guess) * mean_cores_ / e.cores;
  }

  double report_trust(const Engine& e) const {
    if (e.reported_at == kNever) return 0;
    return faith() * kReportTrust *
           std::exp2(-static_cast<double>(now_ - e.reported_at) / (kReportHalf * e.over));
  }

  // An engine that rejects a query as full although a fresh report shows room proves that reports are stale:
  // every instance is drawn to the engine that looked idle seconds ago. All reports are trusted less for a
  // while. Engines that cap their sessions far below their capacity are then balanced without reports.
  double faith() const {
    if (doubt_ == 0) return 1;  // asked for each engine of each query
    return 1 - doubt_ * std::exp2(-static_cast<double>(now_ - doubted_at_) / kDoubtHalf);
  }
  void doubt_reports(const Engine& e) {
    if (e.reported_at == kNever || static_cast<double>(now_ - e.reported_at) > 2 * kReportHalf) return;
    if (e.reported * mean_threads_ >= kThreadsPerCore * e.cores) return;
    doubt_ = 1 - kFaithKept * faith();
    doubted_at_ = now_;
  }

  void take_report(Engine& e, const std::optional<LoadReport>& report) {
    if (!report || s_.instance_count == 1) return;
    double held = report->active_queries.value_or(-1);
    if (held < 0) {
      double share = -1;  // says little of a queue until it nears 1: the threads that would keep it so busy
      for (const auto& one : {report->cpu_utilization, report->memory_utilization, report->disk_utilization})
        share = std::max(share, one.value_or(-1));
      if (share < 0) return;
      const double most = std::min(1.0, share);  // beyond 1: so many times the memory there is
      held = e.cores * std::max(most + 0.1 * most / (1.05 - most), 3 * share * (share > 1)) / mean_threads_;
    }
    const bool pages = s_.memory_pressure == MemoryPressure::kPage;
    e.over = pages ? std::max(1.0, report->memory_utilization.value_or(1)) : 1;
    if (e.over > 1 && !stalled_) move_sum(open_ * kSumLine);
    e.reported = held + std::max(0.0, report->queries_waiting_for_memory.value_or(0));
    e.reported_at = now_;
    e.sent_since = 0;
  }

  double score(const Engine& e, const Request& r) const {
    const auto& c = cls(r);
    const Group g = seen(e, r.group);
    const double near = distance(e, r, g.mean);
    // A load goes where its group's readers are not, so its distance counts the other way round; of the many
    // that are none's home each draws another, or all gateways' loads of a group would meet at one.
    const double drawn = unit(mix(e.hash ^ r.id));
    const double agreed = unit(mix(e.hash ^ mix(r.group + 1)));
    double sum = load(e) / kLoadFactor + kTilt * own_part_ * agreed * (c.is_load ? -1 : 1);
    sum += c.is_load ? (1 - own_part_) * drawn - near : near;
    if (e.told.zone != s_.zone) sum += kPrice * s_.cross_zone_cost;
    if (down(e)) {
      // Shut engines are tried with one safe query at a time, or they would never be known to be well again.
      sum += has_room(e, 0) && e.queue.empty() && c.idempotency == kIdempotent ? -kDownScore : kDownScore;
    }
    const double slow = slowness(e);
    if (slow > kSlowFrom) sum += kSlowScore * (slow - 1);
    // Readers stand still, keeping memory, behind a load of their group; a load behind its own kind.
    if (c.waits_for_loads || c.is_load) sum += kLoadBlocks * g.loads;
    if (c.waits_for_loads && now_ < g.held_until) sum += kLoadBlocks;
    if (c.is_load) sum += kLoadBlocks * std::min(1, g.readers);
    const bool again = !r.attempts.empty() && r.attempts.back().engine == e.told.id;
    return sum + again;  // a further attempt rather goes elsewhere
  }

  void place(Request& r) {
    auto& best = scratch_;  // the least score first
    best.clear();
    for (auto& [id, e] : engines_) {
      if (!allowed(e, r)) continue;
      const double sum = score(e, r) + (cold_allows(e, r) ? 0 : kColdScore);
      best.emplace_back(sum, &e);
    }
    const auto most = s_.memory_pressure == MemoryPressure::kPage ? kLookPaging : kLookAt;
    const auto middle = best.begin() + static_cast<std::ptrdiff_t>(std::min(most, best.size()));
    std::partial_sort(best.begin(), middle, best.end(), [](auto& a, auto& b) { return a.first < b.first; });
    best.erase(middle, best.end());
    r.queue = nullptr;
    if (best.empty() || look_first(r, best)) {
      unplaced_.push_back(r.id);
    } else {
      r.queue = best.front().second;
      r.queue->queue.push_back(&r);
    }
  }

  // Where our own sends say little, the best few engines are asked before the query goes out.
  bool look_first(Request& r, const std::vector<std::pair<double, Engine*>>& best) {
    if (!s_.may_probe || faith() < kFaithAsk || r.look_until > 0 || mean_own_ > kLookBelow ||
        s_.probe_cost > kLookPrice || !s_.reports_load ||
        (open_ >= kSumMost && (answers_report_ || s_.memory_pressure != MemoryPressure::kPage)))
      return false;
    for (const auto& [value, e] : best) {
      if (down(*e) || now_ - e->asked_at < kReportFresh) continue;
      e->asked_at = now_;
      actions_->push_back(Probe{e->told.id});
      ++probes_out_;
      r.look_until = now_ + kLookFor;
    }
    return r.look_until > 0;
  }

  bool allowed(const Engine& e, const Request& r) const {  // drain, placement, effect
    if (!serves(e)) return false;
    const auto& c = cls(r);
    const auto among = [](const auto& list, std::uint32_t item) {
      return !list || std::find(list->begin(), list->end(), item) != list->end();
    };
    if (!among(c.allowed_zones, e.told.zone) || !among(c.allowed_machine_types, e.told.machine_type))
      return false;
    if (c.idempotency == kIdempotent) return true;
    const auto scope = c.idempotency_scope.value_or(IdempotencyScope::kCell);
    return std::none_of(r.attempts.begin(), r.attempts.end(), [&](const Attempt& a) {
      if (!a.may_have_run) return false;
      if (c.idempotency == kNonIdempotent || !c.idempotency_window || now_ - a.sent >= *c.idempotency_window)
        return true;
      return (scope == IdempotencyScope::kZone && a.zone != e.told.zone) ||
             (scope == IdempotencyScope::kCell && a.cell != e.told.cell);
    });
  }

  bool attempt_allowed(const Request& r, int out) const {  // attempts, copies, budget
    if (r.over || now_ >= r.give_up_at || r.attempts.size() >= most_attempts(r)) return false;
    if (out > 0 && (!s_.hedging || out > 1)) return false;
    return r.attempts.empty() || budget_left();
  }

  bool budget_left() const {
    if (!s_.retry_budget) return true;
    const auto& b = *s_.retry_budget;
    const auto recent = [&](const std::deque<Time>& times, Time from) {
      return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), from));
    };
    return recent(extra_sent_, now_ - b.window) + 1 <=
           std::floor(b.min_retries + b.retry_ratio * recent(taken_, now_ - b.window + 1));
  }

  bool key_free(const Request& r) const {
    if (!cls(r).ordered || r.key == 0) return true;
    const auto found = keys_.find(r.key);
    if (found == keys_.end() || found->second.line.empty() || found->second.line.front() != &r) return false;
    return !r.attempts.empty() || now_ >= found->second.rest_until;
  }

  void send(Request& r, Engine& e) {
    const auto& c = cls(r);
    const int priority = level(r);
    SetExecutionOptions terms{r.id, std::nullopt, s_.priorities_supported ? priority : 1};
    if (s_.memory_grants_supported && r.memory_mb) terms.memory_mb = grant(r);
    if (s_.priorities_supported || s_.memory_grants_supported) actions_->push_back(terms);
    actions_->push_back(Send{r.id, e.told.id, std::nullopt});
    if (!r.attempts.empty()) extra_sent_.push_back(now_);
    r.attempts.push_back({&e, e.told.id, e.told.zone, e.told.cell, now_, now_, priority, grant(r)});
    r.attempts.back().cold = is_cold(e);
    ++r.out;
    ++e.out;
    ++e.sent_since;
    count(e, r, r.attempts.back(), 1);
    auto& g = group(e, r.group);
    ++(c.is_load ? g.loads : g.readers);
    if (is_cold(e)) e.cold_sent.emplace_back(now_, std::max(classes_[r.cls].at_most(), r.work));
    if (!c.is_load) move_mean(e, g);  // a load's engine is no home for its readers
  }

  double grant(const Request& r) const { return r.memory_mb ? *r.memory_mb * classes_[r.cls].grant : 0; }

  void count(Engine& e, const Request& r, const Attempt& a, int by) {  // in the windows
    e.running += by;
    e.granted = std::max(0.0, e.granted + by * a.memory);
    e.threads[a.level] += by * cls(r).threads;
    if (!a.cold) threads_[a.level] += by * cls(r).threads;
  }

  // Priority: short work of a high weight first, as it finishes before heavy work is slowed. While responses
  // are late, weight per unit of work against the present mix decides instead: by class alone, many light
  // queries took every engine from the reports. It misjudges where estimates say nothing of the work.
  int level(const Request& r) const {
    if (!s_.priorities_supported) return 0;
    if (open_ >= 1) return cls(r).is_load ? 2 : cls(r).threads == 1 ? 3 : 1;
    return r.earns > earns_ + earns_spread_ ? 3 : r.earns > earns_ ? 2 : 1;
  }

  static bool has_run(const Request& r) {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.may_have_run; });
  }

  // One place gives final answers.
  void finish(Request& r, bool refused) {
    if (r.over) return;
    const auto& c = cls(r);
    const bool harmless = c.idempotency == kIdempotent || !has_run(r) ||
                          (c.idempotency == kKeyed && c.idempotency_scope == IdempotencyScope::kAll);
    actions_->push_back(refused && harmless ? Action(Reject{r.id, s_.max_retry_after}) : Action(Fail{r.id}));
    close(r);
  }

  void close(Request& r) {
    if (r.over) return;
    r.over = true;
    // Nobody waits for what is still out, also when the client left by itself: it only slows others. An
    // unsafe one is let run to its end, since half an effect may be worse than a whole one.
    for (std::size_t i = 0; i < r.attempts.size(); ++i) {
      if (r.attempts[i].out && cls(r).idempotency != kNonIdempotent) cancel(r, static_cast<std::uint32_t>(i));
    }
    unqueue(r);
    settle_key(r);
    done_.push_back(r.id);
  }

  void cancel(Request& r, std::uint32_t attempt) {
    if (r.attempts[attempt].cancelled || !s_.may_cancel) return;
    r.attempts[attempt].cancelled = true;
    actions_->push_back(Cancel{r.id, attempt});
  }

  void settle_key(Request& r) {
    if (!cls(r).ordered || r.key == 0 || !r.over || r.out > 0) return;
    auto& k = keys_[r.key];
    k.line.erase(std::remove(k.line.begin(), k.line.end(), &r), k.line.end());
  }

  bool is_cold(const Engine& e) const {
    return s_.slow_start && e.cold_since > 0 && now_ - e.cold_since < s_.slow_start->warm_up_period;
  }
  double capacity_share(const Engine& e) const {  // a lower bound: slow at first, then faster
    if (!is_cold(e)) return 1;
    const Time gone = std::max<Time>(0, now_ - e.cold_since);  // their clock may be ahead of ours
    const double age = static_cast<double>(gone) / static_cast<double>(s_.slow_start->warm_up_period);
    return s_.slow_start->initial_share + (1 - s_.slow_start->initial_share) * age * age;
  }
  double cold_budget(const Engine& e) const {  // our part of what it may be sent in a span
    return kColdMargin * s_.slow_start->overload_factor * capacity_share(e) * kCapacityBusy * e.cores *
           static_cast<double>(s_.slow_start->overload_window) / s_.instance_count;
  }

  // Few gateways split the allowance. Where a part is too small for a query, they take turns: what may be
  // sent since the start, which the list tells all, is dealt out by class and ordinal. A turn is for one
  // query, lasts a span and is lost if not used, so nobody catches up after a stall or a restart.
  bool cold_allows(Engine& e, const Request& r) const {
    if (!is_cold(e)) return true;
    while (!e.cold_sent.empty() && e.cold_sent.front().first <= now_ - s_.slow_start->overload_window)
      e.cold_sent.pop_front();
    const double mean = classes_[r.cls].at_most(), work = std::max(mean, r.work) * (r.told ? 1 : kColdUntold);
    if (cold_budget(e) >= kColdShares * mean) {
      double sum = work;
      for (const auto& [at, weight] : e.cold_sent) sum += weight;
      return sum <= cold_budget(e);
    }
    const double span = static_cast<double>(s_.slow_start->overload_window);
    const double factor = s_.slow_start->overload_factor, initial = s_.slow_start->initial_share;
    const double capacity = kCapacityBusy * e.cores;
    const double most = factor * initial * capacity * span;  // may stay as it began
    if (!e.cold_sent.empty() || work > kColdPiece * most) return false;
    const double use = std::min(kColdTurns * factor, kColdMost) * capacity / classes_.size();
    const double age = static_cast<double>(now_ - e.cold_since);  // over it, the mean of the share so far:
    const double dealt = use * age * (2 * initial + capacity_share(e)) / 3;
    const double all_turns = mean * s_.instance_count;  // work dealt until each has had one
    const double ours = (s_.instance_index + 0.5) / s_.instance_count + unit(mix(e.hash ^ r.cls));
    const double turn = dealt / all_turns - (ours - std::floor(ours));
    return turn >= 0 && (turn - std::floor(turn)) * all_turns <= use * capacity_share(e) * span;
  }

  double run_time(const Request& r) const { return r.work / cls(r).threads; }

  Time latest_start(const Request& r) const { return r.aim_at - static_cast<Time>(run_time(r) * 1.2); }

  // What a report counted has ended since as the usual run tells, and nobody has sent to an engine that all
  // were shown full. Taken as it was for a second, 10 engines' reports held back 137 queries of three
  // gateways while some of these engines stood empty. Could harm where queries stay far longer than they run.
  double held(const Engine& e) const {
    const double age = static_cast<double>(now_ - e.reported_at);
    return e.reported * std::exp(-age / std::max(1000.0, mean_run_)) + e.sent_since;
  }

  // An engine's window. What runs at a lower priority gives way there, so it takes no room from what ranks
  // above it. A fresh report that it is full shuts it as well: one query of each gateway may be too many.
  bool has_room(const Engine& e, int priority) const {
    if (now_ < e.shut_until) return false;
    if (report_trust(e) > kReportTrust / 2 &&
        (e.over > kMemoryOver || held(e) * mean_threads_ >= kThreadsPerCore * e.cores * capacity_share(e))) {
      return false;
    }
    if (e.running == 0) return true;
    if (down(e)) return false;  // a trickle until it answers again
    const double threads = std::accumulate(e.threads + priority, e.threads + 4, 0.0);
    return threads < e.open * std::max(1.0, kThreadsPerCore * e.cores / gateways_) * capacity_share(e) /
                         std::max(1.0, slowness(e));
  }

  // The windows' sum, which bounds many gateways where a window holds less than a query. Work that earns
  // little for what it takes waits at a fuller sum: by so much of the present work that earns more.
  // The room for chance is there only while the mean over some seconds is within the sum: what lasts is no
  // chance, and all gateways have it at once. 100 that each kept it filled held 8 threads a core. So it is
  // where the sum is under one query, too. Else a query fits if half of it does, or sums of two threads held
  // four. Could harm a lone heavy query, which then waits.
  bool sum_has_room(int priority, double part, int threads) {
    const double total = std::accumulate(threads_ + priority, threads_ + 4, 0.0);
    const double mean = part * open_ * window_, most = mean + part * open_ * kBurst * std::sqrt(2 * window_);
    const bool chance = std::accumulate(used_ + priority, used_ + 4, 0.0) < mean;
    const bool room = chance ? total < most : total > 0 && total + threads / 2.0 < mean;
    if (!room) bound_at_ = now_;
    return room;
  }

  // Where engines let in more than their memory holds, all on them slow down together. Reports of it come too
  // late: each gateway, told of room, fills its window, and then all wait until the report is old. So each
  // keeps its grants within its own part of an engine's memory.
  bool memory_room(const Engine& e, const Request& r) const {
    if (s_.memory_pressure != MemoryPressure::kPage || e.memory <= 0 || e.granted <= 0) return true;
    return e.granted + grant(r) <= kMemoryPart * e.memory / gateways_;
  }

  bool may_start(Engine& e, const Request& r) {  // the gate as a whole: no send but through here
    const double steep = kSteep / std::max(0.1, earns_spread_);
    const double part = 1 - kHeldBack / (1 + std::exp2(steep * (octaves(value(r)) - earns_)));
    const int priority = level(r);
    return has_room(e, priority) && memory_room(e, r) &&
           (is_cold(e) || sum_has_room(priority, part, cls(r).threads)) && attempt_allowed(r, r.out) &&
           allowed(e, r) && key_free(r) && cold_allows(e, r);
  }

  // What an answer still earns: work past its aim takes no room from work that can meet it, whatever made it
  // late. Could harm where late answers are wanted after all: their late worth says how much.
  double value(const Request& r) const {
    return r.worth * (now_ <= latest_start(r) ? 1 : cls(r).late_weight) / std::max(1000.0, r.work);
  }

  double rank(const Request& r) const {  // worth per unit of work, aged by the share of the slack gone
    const double slack = static_cast<double>(std::max<Time>(1, latest_start(r) - r.arrived));
    return value(r) * (1 + 3 * std::min(1.0, static_cast<double>(now_ - r.arrived) / slack));
  }

  // The best over all queues, wherever an engine has room: where the sum is what binds, engine by engine
  // would give its room to the engine with the lowest id.
  bool pump() {
    Request* best = nullptr;
    double most = 0;
    for (auto& [id, e] : engines_) {
      if (e.queue.empty() || !has_room(e, 3)) continue;
      for (auto* r : e.queue) {
        const double one = rank(*r);
        if ((!best || one > most) && may_start(e, *r)) best = r, most = one;
      }
    }
    if (!best) return false;
    Engine& e = *best->queue;
    unqueue(*best);
    send(*best, e);
    return true;
  }

  // The oldest query of the longest queue that engines with room and no queue may take goes to the one of
  // these with the least score.
  bool steal() {
    Engine* longest = nullptr;
    for (auto& [id, e] : engines_) {
      if (!e.queue.empty() && (!longest || e.queue.size() > longest->queue.size())) longest = &e;
    }
    std::vector<Engine*> thieves;
    if (!longest) return false;
    for (auto& [id, e] : engines_) {
      if (serves(e) && e.queue.empty() && has_room(e, 3)) thieves.push_back(&e);
    }
    const auto less = [](const auto& a, const auto& b) { return a.first < b.first; };
    auto queue = thieves.empty() ? std::vector<Request*>() : longest->queue;
    std::sort(queue.begin(), queue.end(), [](auto* a, auto* b) { return a->id < b->id; });
    for (auto* r : queue) {
      std::pair<double, Engine*> best{std::numeric_limits<double>::max(), nullptr};
      for (auto* e : thieves) {
        if (may_start(*e, *r)) best = std::min(best, {score(*e, *r), e}, less);
      }
      if (!best.second) continue;
      unqueue(*r);
      send(*r, *best.second);
      return true;
    }
    return false;
  }

  void pump_all() {
    auto waiting = std::move(unplaced_);
    unplaced_.clear();
    for (const auto id : waiting) {
      Request* const r = request(id);
      if (!r || r->over || r->queue) continue;
      const bool looking = probes_out_ > 0 && now_ < r->look_until;
      looking ? unplaced_.push_back(id) : place(*r);
    }
    while (pump()) continue;  // own queues first; what still waits is there to steal
    while (steal()) continue;
  }

  void unqueue(Request& r) {
    if (!r.queue) return;
    auto& queue = r.queue->queue;
    queue.erase(std::find(queue.begin(), queue.end(), &r));
    r.queue = nullptr;
  }

  void empty_queue(Engine& e) {
    for (auto* r : std::exchange(e.queue, {})) place(*r);
  }

  // A queued request that can no longer make its aim is answered at once: late work only crowds out other.
  void shed(Request& r) {
    if (r.over || r.out > 0) return;
    if ((now_ > latest_start(r) && cls(r).late_weight < kLateWorth) || !time_left(r)) finish(r, true);
  }
  bool time_left(const Request& r) const {  // for what its class takes of late
    return now_ + static_cast<Time>(std::max(1.0, classes_[r.cls].stretch) * run_time(r)) <= r.give_up_at;
  }

  // Answers with an error are as good as none: an engine that fails at once would else look idle and draw
  // all. Where most look sick the fault is ours or everyone's: shutting them all would only add to it.
  bool down(const Engine& e) const { return e.failures > 0 || (e.bad > kBadFrom && !most_bad_); }

  double slowness(const Engine& e) const { return e.pace / std::max(0.2, median_pace_); }

  // Few gateways each stay with one home, and their own load tells when another is due; of many, nobody's
  // load tells, so their queries are dealt out over all homes.
  double draw(const Request& r) const {
    const double stays = unit(mix(mix(s_.instance_index) ^ r.group)),
                 dealt = unit(mix(mix(s_.instance_index) ^ mix(r.id)));
    const double sum = stays + (1 - own_part_) * dealt;
    return sum - std::floor(sum);
  }

  void plan_placement() {
    std::vector<Placement::EngineCapacity> rooms;
    for (const auto& [id, e] : engines_) {
      if (serves(e)) rooms.push_back({id, e.hash, e.cores * capacity_share(e)});
    }
    placement_.plan(rooms, now_);
  }

  void look_over_fleet() {
    if (placement_.plan_expired(now_)) plan_placement();
    std::vector<double> paces;
    double cores = 0, warm = 0, own = 0;
    std::size_t bad = 0;
    for (const auto& [id, e] : engines_) {
      if (!serves(e)) continue;
      paces.push_back(e.pace);
      bad += e.bad > kBadFrom;
      cores += e.cores;
      if (!is_cold(e)) warm += e.cores;
      own += e.running;
    }
    looked_at_ = now_;
    if (paces.empty()) return;
    most_bad_ = 2 * bad > paces.size();
    serving_ = static_cast<double>(paces.size());
    mean_cores_ = cores / serving_;
    share_traffic();
    window_ = kThreadsPerCore * warm / gateways_;
    mean_own_ += kMeanOwn * (own / serving_ - mean_own_);
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    median_pace_ = *middle;
  }

  // A connection that broke says little of its engine: peers spoil one answer and all that is open there
  // ends. Whether the engine is gone shows at the next connection. Taken for 'unreachable', 11 attempts on
  // one connection shut an engine for 3 s and held it for just started for 15 more.
  void failed(Engine& e, Outcome o) {
    const bool no_answer = o == Outcome::kConnectFailed || o == Outcome::kConnectionLost;
    if (no_answer && std::exchange(e.lost_at, now_) == now_) return;  // one event, many attempts
    if (o == Outcome::kConnectFailed) {
      ++e.failures;
      e.cold_since = std::max(e.cold_since, now_);  // when it answers again it may have just started
    } else {
      e.bad += (o == Outcome::kConnectionLost ? kLostUp : kBadUp) * (1 - e.bad);
      if (!down(e)) return;
    }
    e.shut_until = now_ + std::min(kDownPauseMost, kDownPause << std::clamp(e.failures - 1, 0, 4));
    empty_queue(e);
  }

  // Engines answer 'error' also to what they can't use, from whoever sends it. One that has just served
  // others is blamed only once the request is served elsewhere; where two such fail it, it is not tried on.
  // Could harm where an engine fails some requests only, and those fail everywhere: then it is not found out.
  void erred(Attempt& a, Engine& e) {
    a.doubted = e.served_at >= 0 && now_ - e.served_at < kVouched;
    if (!a.doubted) failed(e, Outcome::kError);
  }
  static bool at_fault(const Request& r) {
    return std::count_if(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.doubted; }) >=
           kMostDoubted;
  }
  void blame(Request& r) {  // it was served: who failed it before was at fault
    for (auto& a : r.attempts) {
      const auto found = engines_.find(a.engine);
      if (std::exchange(a.doubted, false) && found != engines_.end()) failed(found->second, Outcome::kError);
    }
  }

  void on(const EngineList& list) {
    if (list.kind == EngineListKind::kRejected)
      return actions_->push_back(SetTimer{now_ + kAskPause, kAskToken});
    ++lists_;
    for (const auto& entry : list.entries) {
      auto& e = engines_[entry.id];
      e.list = lists_;
      if (!e.known) e.hash = hash_text(entry.name);
      if (entry.machine_type < s_.machine_types.size()) {
        e.cores = s_.machine_types[entry.machine_type].cores.value_or(1);
        e.memory = s_.machine_types[entry.machine_type].memory_mb.value_or(0);
      }
      if (entry.started_at > 0 && (!e.known || entry.started_at != e.told.started_at))
        restarted(e, entry.started_at);
      e.known = true;
      e.told = entry;
    }
    for (auto& [id, e] : engines_) {
      if (list.kind != EngineListKind::kDelta && e.list != lists_) e.told.state = EngineState::kRemoved;
      if (!serves(e)) empty_queue(e);
    }
    std::erase_if(engines_, [this](auto& one) {  // a cold one's budget is remembered
      return one.second.told.state == EngineState::kRemoved && one.second.out == 0 && !is_cold(one.second);
    });
    plan_placement();
    look_over_fleet();
  }

  void restarted(Engine& e, Time started) {
    e.cold_since = started;
    e.groups.clear();
    e.norm2 = e.sends = e.failures = 0;
    e.shut_until = 0;
    e.pace = median_pace_;
    e.reported_at = kNever;
    // What our predecessor sent in the span before is unknown, whenever we are told: take it as spent.
    if (is_cold(e) && started < begun_at_) e.cold_sent.emplace_back(begun_at_, cold_budget(e));
  }

  void on(const RequestArrived& a) {
    if (a.class_index >= s_.classes.size() || requests_.count(a.id) != 0) return;
    const auto& c = s_.classes[a.class_index];
    auto& k = classes_[a.class_index];
    Request& r = requests_[a.id];
    r.id = a.id, r.cls = a.class_index, r.key = a.key, r.group = a.group;
    r.memory_mb = a.memory_mb, r.give_up_at = a.deadline;
    // What came while we stood still has waited already: as long as its client's patience tells.
    if (!stalled_) k.patience = std::max(k.patience, a.deadline - now_);
    r.arrived = stalled_ ? std::min(now_, a.deadline - k.patience) : now_;
    r.told = a.work.has_value();
    r.work = a.work ? *a.work * k.bias : k.mean_work;
    if (a.work) k.mean_work += kLearn * (std::min(r.work, 20 * k.mean_work) - k.mean_work), k.took = 0;
    r.aim_at = std::min(r.give_up_at, r.arrived + c.latency_objective +
                                          static_cast<Time>(c.latency_objective_per_work * run_time(r)));
    r.worth = c.priority_weight * (within_share(a.tenant) ? 1 : s_.over_quota_weight);
    know_mix(r);
    if (s_.retry_budget) {
      taken_.push_back(now_);
      for (auto* times : {&taken_, &extra_sent_}) {
        while (!times->empty() && times->front() < now_ - s_.retry_budget->window) times->pop_front();
      }
    }
    if (c.ordered && r.key != 0) keys_[r.key].line.push_back(&r);
    actions_->push_back(SetTimer{r.give_up_at, kFirstRequestToken + r.id});
    placement_.record_demand(r.group, classes_[r.cls].mean_work, now_);
    if (placement_.needs_plan(r.group, now_)) plan_placement();
    r.home = c.is_load ? kNoPreferredEngine : placement_.select_engine(r.group, draw(r));
    shed(r);  // a client's late further try may have no time left
    if (!r.over) place(r);
  }

  void know_mix(Request& r) {
    mean_run_ += kLearn * (run_time(r) - mean_run_);
    // Weighed by time: so it is on an engine at any moment.
    const double weight = std::min(4.0, run_time(r) / std::max(1.0, mean_run_));
    mean_threads_ += kLearn * weight * (cls(r).threads - mean_threads_);
    r.earns = octaves(r.worth / std::max(1000.0, r.work));
    earns_ += kLearn * weight / 4 * (r.earns - earns_);
    earns_spread_ += kLearn * weight / 4 * (std::abs(r.earns - earns_) - earns_spread_);
  }

  // A tenant may use our part of its share, and save up a few seconds of it; beyond that it ranks low.
  bool within_share(const std::optional<std::uint32_t>& tenant) {
    if (!tenant || *tenant >= s_.tenants.size() || s_.tenants[*tenant].quota_per_second <= 0) return true;
    const double rate = s_.tenants[*tenant].quota_per_second * tenant_share_;
    auto& [saved, at, seen] = tenant_state(*tenant);
    const double gone = static_cast<double>(now_ - std::exchange(at, now_));
    seen = seen * std::exp(-gone / kShareSpan) + 1;
    saved = std::min(saved + rate * gone / 1e6, kQuotaSpan * std::max(1.0, rate));
    if (saved < 1) return false;
    saved -= 1;
    return true;
  }

  Tenant& tenant_state(std::uint32_t tenant) {
    const double rate = s_.tenants[tenant].quota_per_second / s_.instance_count;
    return tenants_
        .try_emplace(tenant, Tenant{kQuotaSpan * std::max(1.0, rate), now_, rate * kShareSpan / 1e6})
        .first->second;
  }

  // Where some gateways carry far more than others, ours is told by the quotas, which are all gateways'. The
  // windows go by all that comes; a tenant's quota by the tenant that sends least of its own, so that one
  // tenant's burst does not raise its own part.
  void share_traffic() {
    double rates = 0, quotas = 0, least = 1;
    for (std::uint32_t i = 0; i < s_.tenants.size(); ++i) {
      const double quota = s_.tenants[i].quota_per_second;
      if (quota <= 0) continue;
      const auto& t = tenant_state(i);
      const double rate =
          t.seen * std::exp(-static_cast<double>(now_ - t.at) / kShareSpan) * 1e6 / kShareSpan;
      rates += rate, quotas += quota;
      least = std::min(least, rate / quota);
    }
    const double even = 1.0 / s_.instance_count;
    tenant_share_ = std::max(even, quotas > 0 ? least : 0);
    gateways_ = rates > kUneven * even * quotas ? std::max(1.0, quotas / rates) : s_.instance_count;
  }

  void on(const AttemptEnded& ended) {
    Request* const known = request(ended.request);
    if (!known || ended.attempt >= known->attempts.size() || !known->attempts[ended.attempt].out) return;
    auto& r = *known;
    auto& a = r.attempts[ended.attempt];
    auto& e = *a.at;
    const auto& c = cls(r);
    a.out = false;
    --r.out;
    --e.out;
    if (!a.silent) count(e, r, a, -1);
    auto& g = group(e, r.group);
    if (int& n = c.is_load ? g.loads : g.readers; n > 0) --n;
    const auto o = ended.outcome;
    a.may_have_run = o != Outcome::kRejected && o != Outcome::kConnectFailed && o != Outcome::kNotSent;
    if (o == Outcome::kNoResponse || o == Outcome::kConnectionLost || o == Outcome::kCancelled) {
      if (c.ordered && r.key != 0 && s_.ordered_key_cooldown)
        keys_[r.key].rest_until = now_ + *s_.ordered_key_cooldown;
    }
    if (o == Outcome::kRejected) doubt_reports(e);
    take_report(e, ended.report);
    answers_report_ |= ended.report.has_value();
    if (o == Outcome::kNoResponse && a.heard == a.sent) lost_ += kLearn * (1 - lost_);
    if ((o == Outcome::kNoResponse || (o == Outcome::kCancelled && (a.silent || a.heard > a.sent))) &&
        !stalled_)
      learn_pace(r, e, now_ - a.sent);
    // Never answered, or turned away: worse than late. Should catch whatever makes engines give no answers at
    // all; could harm where a few are out of reach, until answers in time open the sum again.
    if ((o == Outcome::kNoResponse || o == Outcome::kRejected) && !stalled_) move_sum(open_ * kSumDown);
    if (o == Outcome::kServed) {
      lost_ -= kLearn * lost_;
      e.failures = 0;
      e.served_at = last_word_ = now_;
      e.bad *= kBadKept;
      blame(r);
      if (!down(e)) e.shut_until = 0;
      if (!stalled_) learn(r, e, ended);
    } else if (o == Outcome::kError) {
      erred(a, e);
    } else if (o != Outcome::kNoResponse && o != Outcome::kCancelled && o != Outcome::kNotSent) {
      failed(e, o);
    }
    if (ended.completed || o == Outcome::kServed) close(r);
    if (r.over) {
      settle_key(r);
      done_.push_back(r.id);
    } else if (r.out == 0) {
      if (can_go_on(r)) return place(r);
      finish(r, now_ < r.give_up_at && !at_fault(r));
    }
  }

  bool can_go_on(const Request& r) const {  // a spent budget only holds it back for a while
    if (r.attempts.size() >= most_attempts(r) || !time_left(r) || at_fault(r)) return false;
    return cls(r).idempotency == kIdempotent || !has_run(r) ||
           std::any_of(engines_.begin(), engines_.end(), [&](auto& one) { return allowed(one.second, r); });
  }

  double learn_pace(const Request& r, Engine& e, Time took) {
    const double ratio = std::clamp(static_cast<double>(took) / std::max(1000.0, run_time(r)), 0.05, 50.0);
    const double weight =
        std::clamp(static_cast<double>(now_ - e.paced_at) / kPaceSpan, kPaceLearn, kPaceMost);
    e.pace += weight * (std::min(ratio / classes_[r.cls].stretch, 8.0) - e.pace);
    e.paced_at = now_;
    return ratio;
  }

  void learn(const Request& r, Engine& e, const AttemptEnded& ended) {
    auto& k = classes_[r.cls];
    const double ratio = learn_pace(r, e, ended.latency);
    if (!r.attempts[ended.attempt].spilled) k.grant = std::max(kGrantLeast, k.grant * (1 - kGrantDown));
    k.stretch += kLearn * (std::min(ratio, 4 * k.stretch) - k.stretch);
    // Where nothing tells a class's work, the median of its latencies stands for the mean of its work: work
    // is skewed, its median under its mean by about as much as sharing an engine takes.
    if (!ended.work && !r.told) {
      const double took = static_cast<double>(ended.latency) * cls(r).threads;
      k.took += (took - k.took) * std::max(kLearn, 1 / ++k.timed);
      const double step = open_ >= 1 ? kWorkStep : kWorkStep / 5;  // late answers tell of engines, not work
      k.mean_work *= took > k.mean_work ? 1 + step : 1 - step;
    }
    if (ended.work && r.work > 0) {
      const double off = std::clamp(*ended.work / r.work, 0.2, 2.0);
      k.bias = std::clamp(k.bias * (1 + kLearn * (off - 1)), 0.1, 10.0);
    }
    // What was sent too late for its aim tells of our own queue. Narrowing for it kept the queue long, the
    // next late as well, and the sum at a third for good while a third of the cores stood idle.
    const bool in_time = now_ <= r.aim_at;
    if (!in_time && r.attempts[ended.attempt].sent > latest_start(r)) return;
    e.open = std::clamp(e.open + (in_time ? kWindowUp : -kWindowDown), kWindowLeast, kWindowMost);
    move_sum(in_time ? open_ + kSumUp : open_ * kSumDown);
  }

  void move_sum(double to) {
    const double least = std::max(kSumLeast, kWindowMost * window_ / (window_ + kSumWide * serving_));
    // A gateway that carries several times the others' traffic has a part too small. It grows on while it is
    // what holds queries back and nearly all answers come in time all the same.
    late_ += kLearn * ((to < open_) - late_);
    const double most =
        now_ - bound_at_ < kBoundSpan && late_ < kSumLate ? kSumBound : std::max(kSumMost, open_);
    open_ = std::clamp(to, least, std::max(most, least));
  }

  void on(const AttemptUpdate& note) {
    Request* const known = request(note.request);
    if (!known || known->over || note.attempt >= known->attempts.size()) return;
    Request& r = *known;
    auto& a = r.attempts[note.attempt];
    a.heard = last_note_ = last_word_ = now_;
    a.waits = note.kind == AttemptUpdateKind::kWaitingForMemory;
    // A line for memory is heard of at once, a late answer seconds later: too much runs. Should also catch a
    // fleet that has lost engines. Could harm where a few engines alone are short. Where grants are ours they
    // are what helps.
    if (a.waits && !s_.memory_grants_supported) move_sum(open_ * kSumLine);
    if (!a.out || a.cancelled) return;
    auto& k = classes_[r.cls];
    if (note.kind == AttemptUpdateKind::kSpilling && !a.spilled) {
      a.spilled = true;
      if (s_.memory_pressure == MemoryPressure::kShrink) move_sum(open_ * kSumLine);
      k.grant = std::min(kGrantMost, k.grant * (1 + kGrantUp));
    }
    if (note.kind == AttemptUpdateKind::kWaitingForLoad) {
      // It has done nothing yet and keeps memory: better read elsewhere, if an engine is without the load.
      group(*a.at, r.group).held_until = now_ + kHeldFor;
      for (const auto& [id, e] : engines_) {
        const Group g = seen(e, r.group);
        if (!allowed(e, r) || down(e) || now_ < g.held_until || g.loads > 0) continue;
        return cancel_for_another(r, note.attempt);
      }
    }
    const Time elapsed = now_ - a.sent;
    if (note.kind != AttemptUpdateKind::kProgress || elapsed < kBadPlanAfter || stalled_) return;
    const double done = std::clamp(note.amount, 0.001, 1.0);
    const double pace = done * run_time(r) / static_cast<double>(elapsed);
    const double left = static_cast<double>(elapsed) * (1 - done) / done;
    // The median of all notes: where a whole class runs slowly, slow is no bad plan.
    const double median = k.note_pace;
    k.note_pace = std::clamp(median * (pace > median ? 1 + kPaceStep : 1 - kPaceStep), 0.02, 5.0);
    if (pace * kBadPlan < median && left > 2 * run_time(r) / std::max(0.05, median)) {
      cancel_for_another(r, note.attempt);
    }
  }

  void on(const ResponseStarted& begun) {
    Request* const r = request(begun.request);
    if (!r || begun.attempt >= r->attempts.size()) return;
    r->attempts[begun.attempt].cancelled = true;  // a stream is not to be cancelled
    close(*r);
  }

  void on(const ClientDisconnected& dropped) {
    if (Request* const r = request(dropped.request)) close(*r);
  }

  void on(const TimerFired& timer) {
    if (timer.token == kTickToken) return tick();
    if (timer.token == kAskToken && s_.engine_list_mode == EngineListMode::kSubscribed)
      actions_->push_back(SubscribeEngineList{});
    if (timer.token < kFirstRequestToken) return;
    Request* const r = request(timer.token - kFirstRequestToken);
    if (r && now_ >= r->give_up_at) finish(*r, false);
  }

  void tick() {
    ticking_ = false;
    if (now_ - looked_at_ >= kLookOver) look_over_fleet();
    for (auto& [id, r] : requests_) {
      shed(r);
      look_for_silence(r);
    }
    std::erase_if(keys_,
                  [this](auto& one) { return one.second.line.empty() && one.second.rest_until <= now_; });
  }

  // Attempts that nothing is heard of: lost on the way, or on an engine that hangs. Where notes flow from
  // others, one without any for some intervals is taken for lost: it no longer fills the window, and goes
  // anew where it may. What stands in an engine's line has said so, once. While many are lost, short work is
  // not given the time for a note. Could harm where notes are late for some engines only: then work is
  // cancelled that still ran.
  void look_for_silence(Request& r) {
    if (!s_.progress_interval || r.over || r.out == 0) return;
    auto& a = r.attempts.back();
    if (!a.out || a.silent || a.cancelled || a.waits) return;
    const bool notes_flow = last_note_ > 0 && now_ - last_word_ < 2 * *s_.progress_interval;
    const bool unheard =
        notes_flow && now_ - std::max(a.heard, stalled_at_) > kSilentNotes * *s_.progress_interval;
    const double usual = classes_[r.cls].stretch * run_time(r);
    const bool overdue = a.sent > stalled_at_ && lost_ > kLostFrom && a.heard == a.sent &&
                         static_cast<double>(now_ - a.sent) > kOverdue * usual + kOverdueAdd;
    if (unheard) {
      a.silent = true;
      count(*a.at, r, a, -1);
      lost_ += kLearn * (1 - lost_);
    }
    if (unheard || overdue) cancel_for_another(r, static_cast<std::uint32_t>(r.attempts.size() - 1));
  }

  void cancel_for_another(Request& r, std::uint32_t attempt) {
    if (cls(r).idempotency == kIdempotent && attempt_allowed(r, 0) && time_left(r)) cancel(r, attempt);
  }

  void on(const ProbeEnded& probe) {
    probes_out_ = std::max(0, probes_out_ - 1);
    const auto found = engines_.find(probe.engine);
    if (found != engines_.end()) take_report(found->second, probe.report);
  }

  Settings s_;
  Time now_ = 0, begun_at_ = kNever, tick_due_ = 0, looked_at_ = 0, stalled_at_ = -1, last_note_ = 0,
       last_word_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::map<EngineId, Engine> engines_;
  std::map<RequestId, Request> requests_;
  Placement placement_;
  std::vector<ClassState> classes_;
  std::map<std::uint32_t, Tenant> tenants_;
  double gateways_ = 1, tenant_share_ = 1;  // like us that would carry all; our part of a tenant's quota
  std::map<std::uint64_t, KeyLine> keys_;
  std::vector<RequestId> unplaced_, done_;
  std::vector<std::pair<double, Engine*>> scratch_;
  std::deque<Time> taken_, extra_sent_;
  std::uint64_t lists_ = 0;
  double doubt_ = 0;  // of reports, at doubted_at_
  Time doubted_at_ = 0;
  double lost_ = 0;  // share of late attempts that went silent
  double median_pace_ = 1;
  double own_part_ = 1;
  double threads_[4] = {0, 0, 0, 0};  // of own attempts out, by priority
  double window_ = 1, open_ = 1;      // for the sum of them; its present share of the start
  double used_[4] = {0, 0, 0, 0};     // threads of own attempts out, recent mean
  double late_ = 0;                   // share of answers that were
  Time used_at_ = 0, bound_at_ = -kBoundSpan;
  double mean_own_ = 0.1;  // own queries at an engine, on average
  double serving_ = 1;     // engines
  double mean_cores_ = 1, mean_threads_ = 1, mean_run_ = 0;
  double earns_ = 0, earns_spread_ = 1;  // of present work: worth per second of it, in octaves
  int probes_out_ = 0;
  bool answers_report_ = false, most_bad_ = false, ticking_ = false, stalled_ = false;
};

Router::Router(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->handle(now, events, actions);
}

void Router::update_settings(Settings settings) { impl_->change(std::move(settings)); }

std::size_t Router::avoided_engines(Time now) const { return impl_->avoided(now); }

}  // namespace rookproxy::routing
