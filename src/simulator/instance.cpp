#include "simulator/instance.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "settings/setting_values.h"
#include "settings/settings_reader.h"
#include "simulator/action_writer.h"

namespace rookproxy::simulator {
namespace {

// The protocol encodes the cost of an attempt as one integer: milliseconds of work times kCostWorkUnit, plus
// memory in units of kCostMemoryUnitMb.
constexpr std::int64_t kCostWorkUnit = 4096;
constexpr double kCostMemoryUnitMb = 4;
constexpr double kMicrosecondsPerMillisecond = 1000;

// The bit of a request's state that marks a retry by the client.
constexpr std::uint64_t kClientRetryBit = 2;

// The index of zones and machine types that are not in the settings. It differs from the index that class
// restrictions use for unknown names, so that no restriction admits such an engine.
constexpr std::uint32_t kUnlistedIndex = UINT32_MAX - 1;

// The amount of a waiting update that means waiting for a load; any other amount means waiting for memory.
constexpr double kWaitsForLoadAmount = 2.0;

constexpr auto kOutcomes = std::to_array<settings::Keyword<routing::Outcome>>({
    {"served", routing::Outcome::kServed},
    {"server_error", routing::Outcome::kError},
    {"turned_away", routing::Outcome::kRejected},
    {"no_answer", routing::Outcome::kNoResponse},
    {"no_connection", routing::Outcome::kConnectFailed},
    {"connection_lost", routing::Outcome::kConnectionLost},
    {"called_off", routing::Outcome::kCancelled},
    {"not_sent", routing::Outcome::kNotSent},
});
constexpr auto kEngineListKinds = std::to_array<settings::Keyword<routing::EngineListKind>>({
    {"changes", routing::EngineListKind::kDelta},
    {"all", routing::EngineListKind::kSnapshot},
    {"remembered", routing::EngineListKind::kCached},
    {"refused", routing::EngineListKind::kRejected},
});

std::optional<routing::LoadReport> read_load_report(std::string_view text) {
  if (settings::is_absent(text)) return std::nullopt;
  routing::LoadReport report;
  for (const std::string_view pair : settings::split(text, ',')) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) settings::throw_format_error("load report without a colon", pair);
    const std::string_view name = pair.substr(0, colon);
    const double value = settings::read_number(pair.substr(colon + 1), "load report");
    if (name == "outstanding") report.active_queries = value;
    if (name == "backlog") report.queries_waiting_for_memory = value;
    if (name == "utilization") report.cpu_utilization = value;
    if (name == "x0") report.memory_utilization = value;
    if (name == "x1") report.disk_utilization = value;
  }
  return report;
}

// Maps an update's number in the protocol to its kind, or to nothing if the number is unknown. Both kinds of
// waiting have the same number and are distinguished by the amount.
std::optional<routing::AttemptUpdateKind> update_kind(int number, double amount) {
  switch (number) {
    case 1:
      return routing::AttemptUpdateKind::kProgress;
    case 2:
      return routing::AttemptUpdateKind::kSpilling;
    case 3:
      return amount == kWaitsForLoadAmount ? routing::AttemptUpdateKind::kWaitingForLoad
                                           : routing::AttemptUpdateKind::kWaitingForMemory;
    default:
      return std::nullopt;
  }
}

// Decodes the cost of an attempt into the event. A cost of 0 means that it is unknown.
void read_cost(std::string_view text, routing::AttemptEnded& ended) {
  const auto cost = settings::read_integer<std::int64_t>(text, "bill");
  if (cost < 0) settings::throw_format_error("bill is out of range", text);
  if (cost == 0) return;
  const std::int64_t milliseconds = cost / kCostWorkUnit;
  const std::int64_t memory_units = cost % kCostWorkUnit;
  ended.work = static_cast<double>(milliseconds) * kMicrosecondsPerMillisecond;
  ended.memory_mb = static_cast<double>(memory_units) * kCostMemoryUnitMb;
}

std::optional<double> read_memory_estimate(std::string_view text) {
  const double megabytes = settings::read_number(text, "need_mb");
  if (megabytes < 0) settings::throw_format_error("need_mb is out of range", text);
  if (megabytes == 0) return std::nullopt;
  return megabytes;
}

std::optional<double> read_work_estimate(std::string_view text) {
  const routing::Time work = settings::read_time(text, "est_cost");
  if (work == 0) return std::nullopt;
  return static_cast<double>(work);
}

template <class Named>
std::vector<std::string> names_of(const std::vector<Named>& items) {
  std::vector<std::string> names;
  names.reserve(items.size());
  for (const Named& item : items) names.push_back(item.name);
  return names;
}

// Replaces the characters that separate the lines and values of a reply.
void replace_separators(std::string& text) {
  std::replace_if(
      text.begin(), text.end(), [](char character) { return character == '\t' || character == '\n'; }, ' ');
}

}  // namespace

void SimulatedInstance::enlist(std::uint64_t seed, const std::vector<std::string_view>& pairs) {
  routing::Settings settings = settings::parse_settings(seed, pairs);
  const settings::SettingValues values(pairs);
  reset();
  running_ = true;
  class_names_ = names_of(settings.classes);
  tenant_names_ = names_of(settings.tenants);
  machine_type_names_ = names_of(settings.machine_types);
  zone_names_.clear();
  for (const std::string_view zone : values.list("localities")) zone_names_.emplace_back(zone);
  try {
    router_ = std::make_unique<routing::Router>(std::move(settings));
  } catch (const std::exception& error) {
    settings_error_ = error.what();
  }
}

// A message of the protocol: its name, the allowed number of values, and its handler.
struct SimulatedInstance::MessageHandler {
  std::string_view name;
  std::size_t min_values;
  std::size_t max_values;
  void (SimulatedInstance::*handle)(const Message&, const EngineLists&);
};

void SimulatedInstance::handle_message(const Message& message, const EngineLists& engine_lists) {
  static constexpr auto kHandlers = std::to_array<MessageHandler>({
      {"destroy", 0, 0, &SimulatedInstance::destroy},
      {"members", 2, 3, &SimulatedInstance::update_engines},
      {"new_request", 8, 9, &SimulatedInstance::request_arrived},
      {"closed_attempt", 6, 8, &SimulatedInstance::attempt_ended},
      {"opened", 4, 4, &SimulatedInstance::response_started},
      {"heartbeat", 5, 5, &SimulatedInstance::attempt_progressed},
      {"dropped", 1, 1, &SimulatedInstance::request_cancelled},
      {"timeout_fired", 1, 1, &SimulatedInstance::timer_fired},
      {"probed", 3, 4, &SimulatedInstance::probe_ended},
      // Messages from peers are ignored, because instances share no state.
      {"heard", 2, 2, &SimulatedInstance::ignore},
  });
  for (const MessageHandler& handler : kHandlers) {
    if (handler.name != message.name()) continue;
    message.require_values(handler.min_values, handler.max_values);
    (this->*handler.handle)(message, engine_lists);
    return;
  }
  settings::throw_format_error("unknown message", message.name());
}

void SimulatedInstance::destroy(const Message&, const EngineLists&) { reset(); }

void SimulatedInstance::update_engines(const Message& message, const EngineLists& engine_lists) {
  enum Field { kKind = 2, kListNumber = 3 };
  routing::EngineList list;
  list.kind = settings::read_keyword(kEngineListKinds, message.value(kKind), "mode");
  if (list.kind != routing::EngineListKind::kRejected) {
    message.require_values(kListNumber, kListNumber);
    const auto number = settings::read_integer<std::uint32_t>(message.value(kListNumber), "roster_id");
    if (number >= engine_lists.size()) {
      settings::throw_format_error("roster_id is out of range", message.value(kListNumber));
    }
    for (const EngineRow& row : engine_lists[number]) {
      routing::EngineEntry entry = row.entry;
      entry.id = engines_.add(entry.name);
      entry.zone = settings::index_of(zone_names_, row.zone).value_or(kUnlistedIndex);
      entry.machine_type = settings::index_of(machine_type_names_, row.machine_type).value_or(kUnlistedIndex);
      list.entries.push_back(std::move(entry));
    }
  }
  events_.emplace_back(std::move(list));
}

void SimulatedInstance::request_arrived(const Message& message, const EngineLists&) {
  enum Field { kId = 1, kState, kClass, kKey, kDeadline, kMemory, kWork, kGroup, kTenant };
  routing::RequestArrived request;
  if (!message.has(kId)) throw settings::FormatError("new_request without an id");
  if (message.has(kState)) {
    const auto state = settings::read_integer<std::uint64_t>(message.value(kState), "state_bits");
    request.is_client_retry = (state & kClientRetryBit) != 0;
  }
  const auto class_index = settings::index_of(class_names_, message.value(kClass));
  if (!class_index) settings::throw_format_error("unknown class", message.value(kClass));
  request.class_index = *class_index;
  if (message.has(kKey)) request.key = number_of_key(message.value(kKey));
  request.deadline = settings::read_time(message.value(kDeadline), "give_up_at");
  if (message.has(kMemory)) request.memory_mb = read_memory_estimate(message.value(kMemory));
  if (message.has(kWork)) request.work = read_work_estimate(message.value(kWork));
  if (message.has(kGroup)) {
    request.group = settings::read_integer<std::uint64_t>(message.value(kGroup), "data_group");
  }
  if (message.has(kTenant) && message.value(kTenant) != "0") {
    request.tenant = settings::index_of(tenant_names_, message.value(kTenant));
    if (!request.tenant) settings::throw_format_error("unknown tenant", message.value(kTenant));
  }
  request.id = requests_.add(message.value(kId));
  events_.emplace_back(request);
}

void SimulatedInstance::attempt_ended(const Message& message, const EngineLists&) {
  enum Field { kRequest = 1, kAttempt, kEngine, kOutcome, kLatency, kCompleted, kCost, kReport };
  routing::AttemptEnded ended;
  ended.engine = engines_.find(message.value(kEngine));
  ended.attempt = settings::read_integer<std::uint32_t>(message.value(kAttempt), "shot");
  ended.outcome = settings::read_keyword(kOutcomes, message.value(kOutcome), "disposition");
  ended.latency = settings::read_time(message.value(kLatency), "latency");
  ended.completed = settings::read_flag(message.value(kCompleted), "settled");
  if (message.has(kCost)) read_cost(message.value(kCost), ended);
  if (message.has(kReport)) ended.report = read_load_report(message.value(kReport));
  const auto request = requests_.find(message.value(kRequest));
  if (!request) return;
  ended.request = *request;
  requests_.end_attempt(*request);
  if (ended.completed) requests_.complete(*request);
  events_.emplace_back(ended);
}

void SimulatedInstance::response_started(const Message& message, const EngineLists&) {
  enum Field { kRequest = 1, kAttempt = 3 };
  const auto attempt = settings::read_integer<std::uint32_t>(message.value(kAttempt), "shot");
  const auto request = requests_.find(message.value(kRequest));
  if (request) events_.emplace_back(routing::ResponseStarted{*request, attempt});
}

void SimulatedInstance::attempt_progressed(const Message& message, const EngineLists&) {
  enum Field { kRequest = 1, kAttempt, kEngine, kKind, kAmount };
  routing::AttemptUpdate update;
  update.attempt = settings::read_integer<std::uint32_t>(message.value(kAttempt), "shot");
  update.engine = engines_.find(message.value(kEngine));
  const int kind = settings::read_integer<int>(message.value(kKind), "what");
  if (message.has(kAmount)) update.amount = settings::read_number(message.value(kAmount), "amount");
  const auto known_kind = update_kind(kind, update.amount);
  if (!known_kind) settings::throw_format_error("unknown kind of update", message.value(kKind));
  update.kind = *known_kind;
  const auto request = requests_.find(message.value(kRequest));
  if (!request) return;
  update.request = *request;
  events_.emplace_back(update);
}

void SimulatedInstance::request_cancelled(const Message& message, const EngineLists&) {
  const auto request = requests_.find(message.value(1));
  if (!request) return;
  requests_.complete(*request);
  events_.emplace_back(routing::ClientDisconnected{*request});
}

void SimulatedInstance::timer_fired(const Message& message, const EngineLists&) {
  events_.emplace_back(routing::TimerFired{settings::read_integer<std::uint64_t>(message.value(1), "nonce")});
}

void SimulatedInstance::probe_ended(const Message& message, const EngineLists&) {
  enum Field { kOutcome = 1, kEngine, kLatency, kReport };
  routing::ProbeEnded probe;
  probe.outcome = settings::read_keyword(kOutcomes, message.value(kOutcome), "disposition");
  probe.engine = engines_.find(message.value(kEngine));
  probe.latency = settings::read_time(message.value(kLatency), "latency");
  if (message.has(kReport)) probe.report = read_load_report(message.value(kReport));
  events_.emplace_back(probe);
}

void SimulatedInstance::ignore(const Message&, const EngineLists&) {}

void SimulatedInstance::reset() {
  running_ = false;
  router_.reset();
  settings_error_.clear();
  events_.clear();
  requests_.clear();
  engines_.clear();
  keys_.clear();
}

// Assigns numbers from 1, because 0 means to the router that there is no key.
std::uint64_t SimulatedInstance::number_of_key(std::string_view key) {
  return keys_.try_emplace(std::string(key), keys_.size() + 1).first->second;
}

// Returns an error message if the router could not be created or could not handle the batch. Otherwise its
// actions are in `actions_`.
std::optional<std::string> SimulatedInstance::run_router(routing::Time now) {
  actions_.clear();
  if (!settings_error_.empty()) return settings_error_;
  try {
    router_->handle(now, events_, actions_);
  } catch (const std::exception& error) {
    return error.what();
  }
  return std::nullopt;
}

void SimulatedInstance::release_finished_requests() {
  for (const routing::Event& event : events_) {
    if (const auto* ended = std::get_if<routing::AttemptEnded>(&event)) {
      requests_.release_if_finished(ended->request);
    }
    if (const auto* cancelled = std::get_if<routing::ClientDisconnected>(&event)) {
      requests_.release_if_finished(cancelled->request);
    }
  }
}

void SimulatedInstance::finish_batch(routing::Time now, std::string& reply) {
  if (!running_) return;
  std::optional<std::string> error = run_router(now);
  if (error) {
    replace_separators(*error);
    reply += "as\t" + name_ + "\nbail_out\t" + *error + "\n";
  } else if (!actions_.empty()) {
    reply += "as\t" + name_ + "\n";
    write_actions(actions_, engines_, requests_, reply);
  }
  release_finished_requests();
  events_.clear();
}

}  // namespace rookproxy::simulator
