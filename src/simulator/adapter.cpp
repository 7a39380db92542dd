#include "simulator/adapter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <istream>
#include <optional>
#include <ostream>

namespace rookproxy::simulator {
namespace {

// How the wire packs an answer's bill: milliseconds of work times this, plus memory in units of 4 MB.
constexpr std::int64_t kBillUnit = 4096;
constexpr double kBillMemoryMb = 4;

[[noreturn]] void bad(std::string_view what, std::string_view text) {
  throw FormatError(std::string(what) + ": '" + std::string(text.substr(0, 80)) + "'");
}

void split(std::string_view text, char at, std::vector<std::string_view>& parts) {
  parts.clear();
  for (std::size_t from = 0;;) {
    const auto to = text.find(at, from);
    parts.push_back(text.substr(from, to == text.npos ? to : to - from));
    if (to == text.npos) return;
    from = to + 1;
  }
}

bool absent(std::string_view text) { return text.empty() || text == "-"; }

template <class T>
T whole(std::string_view text, std::string_view name) {
  T value{};
  const auto end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, value);
  if (fault == std::errc::result_out_of_range) bad(std::string(name) + " is out of range", text);
  if (fault != std::errc() || stop != end) bad(std::string(name) + " is not a whole number", text);
  return value;
}

double number(std::string_view text, std::string_view name) {
  double value = 0;
  const auto end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, value);
  if (fault != std::errc() || stop != end || !std::isfinite(value)) {
    bad(std::string(name) + " is not a number", text);
  }
  return value;
}

Time time_of(std::string_view text, std::string_view name) {
  const auto value = whole<Time>(text, name);
  if (value < 0) bad(std::string(name) + " is out of range", text);
  return value;
}

bool flag(std::string_view text, std::string_view name) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  bad(std::string(name) + " is not a bool", text);
}

template <class T>
struct Word {
  std::string_view word;
  T value;
};

template <class T, std::size_t N>
T word_of(const Word<T> (&words)[N], std::string_view text, std::string_view name) {
  for (const auto& word : words) {
    if (word.word == text) return word.value;
  }
  bad("unknown " + std::string(name), text);
}

constexpr Word<Outcome> kOutcomes[] = {
    {"served", Outcome::kServed},
    {"server_error", Outcome::kError},
    {"turned_away", Outcome::kRejected},
    {"no_answer", Outcome::kNoResponse},
    {"no_connection", Outcome::kConnectFailed},
    {"connection_lost", Outcome::kConnectionLost},
    {"called_off", Outcome::kCancelled},
    {"not_sent", Outcome::kNotSent},
};
constexpr Word<EngineState> kStates[] = {{"SERVING", EngineState::kServing},
                                         {"DRAINING", EngineState::kDraining},
                                         {"DELETED", EngineState::kRemoved}};
constexpr Word<EngineListKind> kLists[] = {{"changes", EngineListKind::kDelta},
                                           {"all", EngineListKind::kSnapshot},
                                           {"remembered", EngineListKind::kCached},
                                           {"refused", EngineListKind::kRejected}};
constexpr Word<Idempotency> kEffects[] = {{"pure", Idempotency::kIdempotent},
                                          {"token", Idempotency::kKeyed},
                                          {"side_effect", Idempotency::kNonIdempotent}};
constexpr Word<IdempotencyScope> kScopes[] = {
    {"all", IdempotencyScope::kAll}, {"zone", IdempotencyScope::kZone}, {"cell", IdempotencyScope::kCell}};
constexpr Word<EngineListMode> kModes[] = {{"automatic", EngineListMode::kPushed},
                                           {"subscribe", EngineListMode::kSubscribed}};
constexpr Word<MemoryPressure> kShort[] = {
    {"wait", MemoryPressure::kWait}, {"shrink", MemoryPressure::kShrink}, {"page", MemoryPressure::kPage}};

std::optional<LoadReport> parse_report(std::string_view text) {
  if (absent(text)) return std::nullopt;
  LoadReport report;
  std::vector<std::string_view> pairs;
  split(text, ',', pairs);
  for (const auto pair : pairs) {
    const auto colon = pair.find(':');
    if (colon == pair.npos) bad("load report without a colon", pair);
    const auto name = pair.substr(0, colon);
    const double value = number(pair.substr(colon + 1), "load report");
    if (name == "outstanding") report.active_queries = value;
    if (name == "backlog") report.queries_waiting_for_memory = value;
    if (name == "utilization") report.cpu_utilization = value;
    if (name == "x0") report.memory_utilization = value;
    if (name == "x1") report.disk_utilization = value;
  }
  return report;
}

// The pairs of `enlist`, looked up by path.
class Config {
 public:
  explicit Config(const std::vector<std::string_view>& pairs) {
    for (const auto pair : pairs) {
      if (absent(pair)) continue;
      const auto equals = pair.find('=');
      if (equals == pair.npos) bad("setting without '='", pair);
      values_[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
    }
  }
  std::optional<std::string_view> get(const std::string& path) const {
    const auto found = values_.find(path);
    if (found == values_.end() || absent(found->second)) return std::nullopt;
    return found->second;
  }
  double number_or(const std::string& path, double fallback) const {
    const auto text = get(path);
    return text ? number(*text, path) : fallback;
  }
  std::optional<Time> time(const std::string& path) const {
    const auto text = get(path);
    if (!text) return std::nullopt;
    return time_of(*text, path);
  }
  bool is_set(const std::string& path) const {
    const auto text = get(path);
    return text && flag(*text, path);
  }
  std::vector<std::string_view> list(const std::string& path) const {
    std::vector<std::string_view> parts;
    const auto text = get(path);
    if (text) split(*text, ',', parts);
    return parts;
  }
  std::uint32_t count(const std::string& path) const {
    const auto text = get(path + ".count");
    const auto value = text ? whole<std::uint32_t>(*text, path) : 0;
    if (value > 10000) bad(path + ".count is out of range", *text);
    return value;
  }

 private:
  std::unordered_map<std::string, std::string_view> values_;
};

template <class Names>
std::optional<std::uint32_t> index_in(const Names& names, std::string_view name) {
  for (std::uint32_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return i;
  }
  return std::nullopt;
}

// Names outside the list stay as an index that no engine has, so that a binding to them is still a binding.
std::optional<std::vector<std::uint32_t>> bound_to(const Config& config, const std::string& path,
                                                   const std::vector<std::string_view>& names) {
  if (!config.get(path)) return std::nullopt;
  std::vector<std::uint32_t> bound;
  for (const auto name : config.list(path)) {
    bound.push_back(index_in(names, name).value_or(UINT32_MAX));
  }
  return bound;
}

ClassSettings parse_class(const Config& config, std::uint32_t i, const std::vector<std::string_view>& zones,
                          const std::vector<std::string_view>& kinds) {
  const std::string at = "grades." + std::to_string(i) + ".";
  ClassSettings cls;
  cls.name = config.get(at + "name").value_or("");
  cls.priority_weight = config.number_or(at + "value", 1);
  cls.latency_objective = config.time(at + "target").value_or(0);
  cls.latency_objective_per_work = config.number_or(at + "aim_stretch", 0);
  cls.timeout = config.time(at + "deadline").value_or(0);
  cls.late_weight = config.number_or(at + "late_worth", 0);
  cls.idempotency = word_of(kEffects, config.get(at + "effect").value_or(""), at + "effect");
  if (cls.idempotency == Idempotency::kKeyed) {
    if (const auto scope = config.get(at + "group"))
      cls.idempotency_scope = word_of(kScopes, *scope, at + "group");
    cls.idempotency_window = config.time(at + "window");
  }
  cls.ordered = config.is_set(at + "keep_order");
  cls.allowed_zones = bound_to(config, at + "allowed_in", zones);
  cls.allowed_machine_types = bound_to(config, at + "models_allowed", kinds);
  const auto threads = config.list("domain.threads_by_class");
  if (i < threads.size()) cls.threads = whole<int>(threads[i], "domain.threads_by_class");
  const auto loads = config.list("domain.is_load");
  if (i < loads.size()) cls.is_load = flag(loads[i], "domain.is_load");
  const auto waits = config.list("domain.yields_to_loads");
  if (i < waits.size()) cls.waits_for_loads = flag(waits[i], "domain.yields_to_loads");
  return cls;
}

void append(std::string& out, std::int64_t value) {
  char digits[24];
  out.append(digits, std::to_chars(digits, digits + sizeof digits, value).ptr);
}

}  // namespace

Settings parse_settings(std::uint64_t seed, const std::vector<std::string_view>& pairs) {
  const Config config(pairs);
  Settings s;
  s.seed = seed;
  if (const auto text = config.get("fleet_size"))
    s.instance_count = whole<std::uint32_t>(*text, "fleet_size");
  if (const auto text = config.get("ordinal")) s.instance_index = whole<std::uint32_t>(*text, "ordinal");
  const auto zones = config.list("localities");
  const auto kinds = config.list("models");
  s.zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, zones.size()));
  if (const auto text = config.get("zone")) s.zone = index_in(zones, *text).value_or(0);
  for (std::uint32_t i = 0; i < config.count("grades"); ++i) {
    s.classes.push_back(parse_class(config, i, zones, kinds));
  }
  for (std::uint32_t i = 0; i < config.count("parties"); ++i) {
    const std::string at = "parties." + std::to_string(i) + ".";
    s.tenants.push_back({std::string(config.get(at + "name").value_or("")),
                         config.number_or(at + "quota_rps", 0), config.number_or(at + "fraction", 0)});
  }
  const auto cores = config.list("domain.cpu_of_kind");
  const auto memory = config.list("domain.ram_of_kind_mb");
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    MachineTypeSettings kind;
    kind.name = kinds[i];
    if (i < cores.size()) kind.cores = number(cores[i], "domain.cpu_of_kind");
    if (i < memory.size()) kind.memory_mb = number(memory[i], "domain.ram_of_kind_mb");
    s.machine_types.push_back(std::move(kind));
  }
  if (const auto text = config.get("membership_mode"))
    s.engine_list_mode = word_of(kModes, *text, "membership_mode");
  s.may_cancel = config.is_set("permissions.cancel");
  s.may_probe = config.is_set("permissions.probes");
  s.reports_load = config.get("report.source").value_or("") != "off";
  s.hedging = config.is_set("permissions.second_copies");
  if (const auto text = config.get("permissions.max_attempts")) {
    s.max_attempts = whole<std::uint32_t>(*text, "permissions.max_attempts");
  }
  if (config.is_set("permissions.retry_after")) {
    s.max_retry_after = config.time("permissions.max_retry_after").value_or(0);
  }
  s.response_grace_period = config.time("safety.grace_to_answer").value_or(0);
  s.drain_grace_period = config.time("safety.drain_grace").value_or(0);
  if (config.get("safety.fall_multiple")) {
    SlowStart cold;
    cold.initial_share = config.number_or("safety.cold_from", 1);
    cold.warm_up_period = config.time("safety.cold").value_or(0);
    cold.overload_factor = config.number_or("safety.fall_multiple", 1);
    cold.overload_window = config.time("safety.overload_for").value_or(0);
    s.slow_start = cold;
  }
  s.ordered_key_cooldown = config.time("safety.turn_gap");
  if (config.get("safety.counted_over")) {
    s.retry_budget =
        RetryBudget{config.number_or("safety.min_extra", 0), config.number_or("safety.repeat_ratio", 0),
                    config.time("safety.counted_over").value_or(0)};
  }
  s.memory_grants_supported = config.is_set("domain.takes_grants");
  s.priorities_supported = config.is_set("domain.priorities");
  if (config.get("domain.largest_share"))
    s.max_memory_grant_share = config.number_or("domain.largest_share", 1);
  if (const auto text = config.get("domain.out_of_memory")) {
    s.memory_pressure = word_of(kShort, *text, "domain.out_of_memory");
  }
  const auto notes = config.time("domain.tells_every");
  if (notes && *notes > 0) s.progress_interval = notes;
  s.reports_cost = config.is_set("domain.tells_cost");
  s.over_quota_weight = config.number_or("over_share_worth", 1);
  s.cross_zone_cost = config.number_or("prices.cross_zone", 0);
  s.probe_cost = config.number_or("prices.probe", 0);
  return s;
}

struct SimulatorSession::EngineRow {
  EngineEntry entry;
  std::string zone;
  std::string kind;
};

struct SimulatorSession::Instance {
  struct Known {
    std::string id;
    int out = 0;
    bool ended = false;
  };
  std::string name;
  bool alive = false;
  bool touched = false;
  std::unique_ptr<Router> router;
  std::string broken;  // what construction threw
  std::vector<std::string> class_names, tenant_names, zone_names, kind_names;
  std::vector<Event> events;
  std::vector<Action> actions;
  std::unordered_map<std::string, RequestId> request_ids;
  std::unordered_map<RequestId, Known> requests;
  std::unordered_map<std::string, EngineId> engine_ids;
  std::unordered_map<std::string, std::uint64_t> keys;
  std::vector<std::string> engines;
  RequestId next_request = 0;

  void forget() {
    alive = false;
    router.reset();
    broken.clear();
    events.clear();
    request_ids.clear();
    requests.clear();
    engine_ids.clear();
    engines.clear();
    keys.clear();
  }
  void release_if_done(RequestId id) {
    const auto found = requests.find(id);
    if (found == requests.end() || !found->second.ended || found->second.out > 0) return;
    request_ids.erase(found->second.id);
    requests.erase(found);
  }
  void end(RequestId id) {
    const auto found = requests.find(id);
    if (found != requests.end()) found->second.ended = true;
  }
  std::optional<RequestId> known(std::string_view id) const {
    const auto found = request_ids.find(std::string(id));
    if (found == request_ids.end()) return std::nullopt;
    return found->second;
  }
  EngineId engine(std::string_view address) const {
    const auto found = engine_ids.find(std::string(address));
    if (found == engine_ids.end()) bad("unknown engine", address);
    return found->second;
  }
  EngineId intern_engine(const std::string& address) {
    const auto [at, fresh] = engine_ids.try_emplace(address, static_cast<EngineId>(engines.size()));
    if (fresh) engines.push_back(address);
    return at->second;
  }
};

SimulatorSession::SimulatorSession() = default;
SimulatorSession::~SimulatorSession() = default;

bool SimulatorSession::is_inside_batch() const { return in_batch_; }

SimulatorSession::Instance& SimulatorSession::current() {
  if (current_name_.empty()) throw FormatError("event before any target_instance");
  auto& slot = instances_[current_name_];
  if (!slot) {
    slot = std::make_unique<Instance>();
    slot->name = current_name_;
  }
  if (!slot->touched) {
    slot->touched = true;
    touched_.push_back(slot.get());
  }
  return *slot;
}

bool SimulatorSession::handle_line(std::string_view line, std::string& reply) {
  split(line, '\t', fields_);
  const auto& what = fields_[0];
  const auto need = [&](std::size_t low, std::size_t high) {
    if (fields_.size() - 1 < low || fields_.size() - 1 > high) {
      throw FormatError(std::string(what.substr(0, 40)) + " has " + std::to_string(fields_.size() - 1) +
                        " values, not " + std::to_string(low));
    }
  };
  if (!in_batch_) {
    if (what != "clock") bad("a batch starts with clock, not", what);
    need(1, 1);
    const auto now = time_of(fields_[1], "clock");
    if (now < now_) bad("the clock went backward", fields_[1]);
    now_ = now;
    in_batch_ = true;
    current_name_.clear();
    return false;
  }
  if (rows_expected_ > 0) {
    if (what != "row") bad("a row of the directory is missing before", what);
    need(7, 7);
    EngineRow row;
    row.entry.name = fields_[1];
    if (absent(fields_[1])) throw FormatError("row without an engine");
    row.entry.started_at = absent(fields_[2]) ? 0 : time_of(fields_[2], "launched");
    row.entry.state = word_of(kStates, fields_[3], "status");
    row.zone = fields_[4];
    row.entry.cell = absent(fields_[5]) ? 0 : whole<std::uint32_t>(fields_[5], "unit_group");
    row.entry.weight = absent(fields_[6]) ? 1 : number(fields_[6], "weight");
    row.kind = fields_[7];
    engine_lists_[receiving_list_].push_back(std::move(row));
    --rows_expected_;
    return false;
  }
  if (what == "commit") {
    need(0, 0);
    in_batch_ = false;
    write_reply(reply);
    return true;
  }
  if (what == "target_instance") {
    need(1, 1);
    current_name_ = fields_[1];
    if (absent(fields_[1])) throw FormatError("target_instance without a name");
    return false;
  }
  if (what == "directory") {
    need(2, 2);
    receiving_list_ = whole<std::uint32_t>(fields_[1], "roster_id");
    if (receiving_list_ >= engine_lists_.size()) bad("roster_id is out of range", fields_[1]);
    rows_expected_ = whole<std::uint32_t>(fields_[2], "entries");
    engine_lists_[receiving_list_].clear();
    return false;
  }
  if (what == "enlist") {
    need(1, SIZE_MAX);
    auto& instance = current();
    if (instance.alive) bad("enlisted twice", instance.name);
    const auto seed = whole<std::uint64_t>(fields_[1], "nonce64");
    const std::vector<std::string_view> pairs(fields_.begin() + 2, fields_.end());
    auto settings = parse_settings(seed, pairs);
    const Config config(pairs);
    instance.forget();
    instance.alive = true;
    const auto names = [](const auto& from) {
      std::vector<std::string> out;
      for (const auto& item : from) out.push_back(item.name);
      return out;
    };
    instance.class_names = names(settings.classes);
    instance.tenant_names = names(settings.tenants);
    instance.kind_names = names(settings.machine_types);
    instance.zone_names.clear();
    for (const auto zone : config.list("localities")) instance.zone_names.emplace_back(zone);
    try {
      instance.router = std::make_unique<Router>(std::move(settings));
    } catch (const std::exception& fault) {
      instance.broken = fault.what();
    }
    return false;
  }
  auto& instance = current();
  if (!instance.alive) {
    throw FormatError(std::string(what.substr(0, 40)) + " for an instance never enlisted: " + instance.name);
  }
  if (what == "destroy") {
    need(0, 0);
    instance.forget();
  } else if (what == "members") {
    need(2, 3);
    EngineList list;
    list.kind = word_of(kLists, fields_[2], "mode");
    if (list.kind != EngineListKind::kRejected) {
      need(3, 3);
      const auto number_of_list = whole<std::uint32_t>(fields_[3], "roster_id");
      if (number_of_list >= engine_lists_.size()) bad("roster_id is out of range", fields_[3]);
      for (const auto& row : engine_lists_[number_of_list]) {
        auto entry = row.entry;
        entry.id = instance.intern_engine(entry.name);
        entry.zone = index_in(instance.zone_names, row.zone).value_or(UINT32_MAX - 1);
        entry.machine_type = index_in(instance.kind_names, row.kind).value_or(UINT32_MAX - 1);
        list.entries.push_back(std::move(entry));
      }
    }
    instance.events.emplace_back(std::move(list));
  } else if (what == "new_request") {
    need(8, 9);
    RequestArrived request;
    if (absent(fields_[1])) throw FormatError("new_request without an id");
    const auto bits = absent(fields_[2]) ? 0 : whole<std::uint64_t>(fields_[2], "state_bits");
    request.is_client_retry = (bits & 2) != 0;
    const auto cls = index_in(instance.class_names, fields_[3]);
    if (!cls) bad("unknown class", fields_[3]);
    request.class_index = *cls;
    if (!absent(fields_[4])) {
      request.key =
          instance.keys.try_emplace(std::string(fields_[4]), instance.keys.size() + 1).first->second;
    }
    request.deadline = time_of(fields_[5], "give_up_at");
    if (!absent(fields_[6])) {
      const double mb = number(fields_[6], "need_mb");
      if (mb < 0) bad("need_mb is out of range", fields_[6]);
      if (mb > 0) request.memory_mb = mb;
    }
    if (!absent(fields_[7])) {
      const auto work = static_cast<double>(time_of(fields_[7], "est_cost"));
      if (work > 0) request.work = work;
    }
    if (!absent(fields_[8])) request.group = whole<std::uint64_t>(fields_[8], "data_group");
    if (fields_.size() > 9 && !absent(fields_[9]) && fields_[9] != "0") {
      request.tenant = index_in(instance.tenant_names, fields_[9]);
      if (!request.tenant) bad("unknown tenant", fields_[9]);
    }
    const auto [at, fresh] = instance.request_ids.try_emplace(std::string(fields_[1]), instance.next_request);
    request.id = at->second;
    if (fresh) {
      instance.requests[request.id] = {at->first, 0, false};
      ++instance.next_request;
    }
    instance.events.emplace_back(request);
  } else if (what == "closed_attempt") {
    need(6, 8);
    AttemptEnded ended;
    ended.engine = instance.engine(fields_[3]);
    ended.attempt = whole<std::uint32_t>(fields_[2], "shot");
    ended.outcome = word_of(kOutcomes, fields_[4], "disposition");
    ended.latency = time_of(fields_[5], "latency");
    ended.completed = flag(fields_[6], "settled");
    if (fields_.size() > 7 && !absent(fields_[7])) {
      const auto bill = whole<std::int64_t>(fields_[7], "bill");
      if (bill < 0) bad("bill is out of range", fields_[7]);
      if (bill > 0) {
        ended.work = static_cast<double>(bill / kBillUnit) * 1000;
        ended.memory_mb = static_cast<double>(bill % kBillUnit) * kBillMemoryMb;
      }
    }
    if (fields_.size() > 8) ended.report = parse_report(fields_[8]);
    if (const auto id = instance.known(fields_[1])) {
      ended.request = *id;
      auto& known = instance.requests[*id];
      --known.out;
      if (ended.completed) known.ended = true;
      instance.events.emplace_back(std::move(ended));
    }
  } else if (what == "opened") {
    need(4, 4);
    const auto shot = whole<std::uint32_t>(fields_[3], "shot");
    if (const auto id = instance.known(fields_[1])) instance.events.emplace_back(ResponseStarted{*id, shot});
  } else if (what == "heartbeat") {
    need(5, 5);
    AttemptUpdate note;
    note.attempt = whole<std::uint32_t>(fields_[2], "shot");
    note.engine = instance.engine(fields_[3]);
    const auto kind = whole<int>(fields_[4], "what");
    note.amount = absent(fields_[5]) ? 0 : number(fields_[5], "amount");
    if (kind < 1 || kind > 3) bad("unknown note", fields_[4]);
    note.kind = kind == 1            ? AttemptUpdateKind::kProgress
                : kind == 2          ? AttemptUpdateKind::kSpilling
                : note.amount == 2.0 ? AttemptUpdateKind::kWaitingForLoad
                                     : AttemptUpdateKind::kWaitingForMemory;
    if (const auto id = instance.known(fields_[1])) {
      note.request = *id;
      instance.events.emplace_back(note);
    }
  } else if (what == "dropped") {
    need(1, 1);
    if (const auto id = instance.known(fields_[1])) {
      instance.end(*id);
      instance.events.emplace_back(ClientDisconnected{*id});
    }
  } else if (what == "timeout_fired") {
    need(1, 1);
    instance.events.emplace_back(TimerFired{whole<std::uint64_t>(fields_[1], "nonce")});
  } else if (what == "probed") {
    need(3, 4);
    ProbeEnded probe;
    probe.outcome = word_of(kOutcomes, fields_[1], "disposition");
    probe.engine = instance.engine(fields_[2]);
    probe.latency = time_of(fields_[3], "latency");
    if (fields_.size() > 4) probe.report = parse_report(fields_[4]);
    instance.events.emplace_back(std::move(probe));
  } else if (what == "heard") {
    need(2, 2);  // instances share nothing: peers' messages are not passed on
  } else {
    bad("unknown message", what);
  }
  return false;
}

void SimulatorSession::write_reply(std::string& reply) {
  for (auto* instance : touched_) {
    instance->touched = false;
    if (!instance->alive) continue;
    std::string fault = instance->broken;
    instance->actions.clear();
    if (fault.empty()) {
      try {
        instance->router->handle(now_, instance->events, instance->actions);
      } catch (const std::exception& thrown) {
        fault = thrown.what();
      }
    }
    if (!fault.empty()) {
      std::replace_if(
          fault.begin(), fault.end(), [](char c) { return c == '\t' || c == '\n'; }, ' ');
      reply += "as\t" + instance->name + "\nbail_out\t" + fault + "\n";
    } else if (!instance->actions.empty()) {
      reply += "as\t" + instance->name + "\n";
      write_actions(*instance, reply);
    }
    for (const auto& event : instance->events) {
      if (const auto* ended = std::get_if<AttemptEnded>(&event)) instance->release_if_done(ended->request);
      if (const auto* dropped = std::get_if<ClientDisconnected>(&event))
        instance->release_if_done(dropped->request);
    }
    instance->events.clear();
  }
  touched_.clear();
  reply += "finished\n";
}

void SimulatorSession::write_actions(Instance& instance, std::string& reply) {
  const auto request = [&](RequestId id) -> Instance::Known& {
    const auto found = instance.requests.find(id);
    if (found == instance.requests.end()) throw std::logic_error("action for an unknown request");
    reply += found->second.id;
    return found->second;
  };
  std::vector<RequestId> ended;
  for (const auto& action : instance.actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      reply += "pass_on\t";
      ++request(send->request).out;
      reply += '\t';
      reply += instance.engines.at(send->engine);
      reply += '\t';
      if (send->timeout)
        append(reply, *send->timeout);
      else
        reply += '-';
    } else if (const auto* terms = std::get_if<SetExecutionOptions>(&action)) {
      reply += "terms\t";
      request(terms->request);
      reply += '\t';
      append(reply, terms->memory_mb ? std::llround(*terms->memory_mb) : 0);
      reply += '\t';
      append(reply, terms->priority);
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      reply += "abort_attempt\t";
      request(cancel->request);
      reply += '\t';
      append(reply, cancel->attempt);
    } else if (const auto* refuse = std::get_if<Reject>(&action)) {
      reply += "push_back\t";
      request(refuse->request).ended = true;
      ended.push_back(refuse->request);
      reply += '\t';
      if (refuse->retry_after)
        append(reply, *refuse->retry_after);
      else
        reply += '-';
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      reply += "end_failed\t";
      request(fail->request).ended = true;
      ended.push_back(fail->request);
    } else if (const auto* wake = std::get_if<SetTimer>(&action)) {
      reply += "wake_at\t";
      append(reply, wake->at);
      reply += '\t';
      reply += std::to_string(wake->token);
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
      reply += "sample\t";
      reply += instance.engines.at(probe->engine);
    } else if (std::holds_alternative<SubscribeEngineList>(action)) {
      reply += "keep_informed\t1";
    } else if (const auto* log = std::get_if<Log>(&action)) {
      reply += "journal_line\t" + log->text;
    }
    reply += '\n';
  }
  for (const auto id : ended) instance.release_if_done(id);
}

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  SimulatorSession host;
  std::string line, reply;
  for (std::uint64_t at = 1; std::getline(in, line); ++at) {
    try {
      if (!host.handle_line(line, reply)) continue;
    } catch (const std::exception& fault) {
      err << "rookproxy-simulator-adapter: line " << at << ": " << fault.what() << std::endl;
      return 1;
    }
    out << reply << std::flush;
    reply.clear();
    if (!out) {
      err << "rookproxy-simulator-adapter: line " << at << ": the reply could not be written" << std::endl;
      return 1;
    }
  }
  if (host.is_inside_batch()) {
    err << "rookproxy-simulator-adapter: end of input inside a batch" << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace rookproxy::simulator
