#include "settings/settings_reader.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "settings/setting_values.h"

namespace rookproxy::settings {
namespace {

constexpr auto kEffects = std::to_array<Keyword<routing::Idempotency>>({
    {"pure", routing::Idempotency::kIdempotent},
    {"token", routing::Idempotency::kKeyed},
    {"side_effect", routing::Idempotency::kNonIdempotent},
});
constexpr auto kIdempotencyScopes = std::to_array<Keyword<routing::IdempotencyScope>>({
    {"all", routing::IdempotencyScope::kAll},
    {"zone", routing::IdempotencyScope::kZone},
    {"cell", routing::IdempotencyScope::kCell},
});
constexpr auto kMembershipModes = std::to_array<Keyword<routing::EngineListMode>>({
    {"automatic", routing::EngineListMode::kPushed},
    {"subscribe", routing::EngineListMode::kSubscribed},
});
constexpr auto kMemoryPressureModes = std::to_array<Keyword<routing::MemoryPressure>>({
    {"wait", routing::MemoryPressure::kWait},
    {"shrink", routing::MemoryPressure::kShrink},
    {"page", routing::MemoryPressure::kPage},
});

// The index of a name that is not in the list of zones or machine types. No engine has it, so a restriction
// to unknown names excludes every engine.
constexpr std::uint32_t kUnknownIndex = UINT32_MAX;

using Names = std::vector<std::string_view>;

// The indices in `names` of the names that a class is restricted to; nothing if the setting is missing.
std::optional<std::vector<std::uint32_t>> read_restriction(const SettingValues& values,
                                                           const std::string& path, const Names& names) {
  if (!values.text(path)) return std::nullopt;
  std::vector<std::uint32_t> allowed;
  for (const std::string_view name : values.list(path)) {
    allowed.push_back(index_of(names, name).value_or(kUnknownIndex));
  }
  return allowed;
}

// How engines execute the requests of a class.
void read_class_execution(const SettingValues& values, std::uint32_t index,
                          routing::ClassSettings& request_class) {
  const Names threads = values.list("domain.threads_by_class");
  if (index < threads.size()) {
    request_class.threads = read_integer<int>(threads[index], "domain.threads_by_class");
  }
  const Names loads = values.list("domain.is_load");
  if (index < loads.size()) request_class.is_load = read_flag(loads[index], "domain.is_load");
  const Names yields = values.list("domain.yields_to_loads");
  if (index < yields.size()) {
    request_class.waits_for_loads = read_flag(yields[index], "domain.yields_to_loads");
  }
}

routing::ClassSettings read_class(const SettingValues& values, std::uint32_t index, const Names& zones,
                                  const Names& machine_types) {
  const std::string path = "grades." + std::to_string(index) + ".";
  routing::ClassSettings request_class;
  request_class.name = values.text(path + "name").value_or("");
  request_class.priority_weight = values.number_or(path + "value", 1);
  request_class.latency_objective = values.time(path + "target").value_or(0);
  request_class.latency_objective_per_work = values.number_or(path + "aim_stretch", 0);
  request_class.timeout = values.time(path + "deadline").value_or(0);
  request_class.late_weight = values.number_or(path + "late_worth", 0);
  request_class.idempotency =
      read_keyword(kEffects, values.text(path + "effect").value_or(""), path + "effect");
  if (request_class.idempotency == routing::Idempotency::kKeyed) {
    if (const auto scope = values.text(path + "group")) {
      request_class.idempotency_scope = read_keyword(kIdempotencyScopes, *scope, path + "group");
    }
    request_class.idempotency_window = values.time(path + "window");
  }
  request_class.ordered = values.is_set(path + "keep_order");
  request_class.allowed_zones = read_restriction(values, path + "allowed_in", zones);
  request_class.allowed_machine_types = read_restriction(values, path + "models_allowed", machine_types);
  read_class_execution(values, index, request_class);
  return request_class;
}

// The size of the deployment, and the dispatcher's index and zone in it.
void read_instance(const SettingValues& values, const Names& zones, routing::Settings& settings) {
  if (const auto count = values.integer<std::uint32_t>("fleet_size")) settings.instance_count = *count;
  if (const auto index = values.integer<std::uint32_t>("ordinal")) settings.instance_index = *index;
  settings.zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, zones.size()));
  if (const auto zone = values.text("zone")) settings.zone = index_of(zones, *zone).value_or(0);
}

void read_tenants(const SettingValues& values, routing::Settings& settings) {
  const std::uint32_t count = values.count("parties");
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::string path = "parties." + std::to_string(index) + ".";
    routing::TenantSettings tenant;
    tenant.name = values.text(path + "name").value_or("");
    tenant.quota_per_second = values.number_or(path + "quota_rps", 0);
    tenant.share = values.number_or(path + "fraction", 0);
    settings.tenants.push_back(std::move(tenant));
  }
}

void read_machine_types(const SettingValues& values, const Names& names, routing::Settings& settings) {
  const Names cores = values.list("domain.cpu_of_kind");
  const Names memory = values.list("domain.ram_of_kind_mb");
  for (std::size_t index = 0; index < names.size(); ++index) {
    routing::MachineTypeSettings machine_type;
    machine_type.name = names[index];
    if (index < cores.size()) machine_type.cores = read_number(cores[index], "domain.cpu_of_kind");
    if (index < memory.size()) machine_type.memory_mb = read_number(memory[index], "domain.ram_of_kind_mb");
    settings.machine_types.push_back(std::move(machine_type));
  }
}

// The operations that the deployment permits the dispatcher.
void read_permissions(const SettingValues& values, routing::Settings& settings) {
  settings.may_cancel = values.is_set("permissions.cancel");
  settings.may_probe = values.is_set("permissions.probes");
  settings.reports_load = values.text("report.source").value_or("") != "off";
  settings.hedging = values.is_set("permissions.second_copies");
  if (const auto attempts = values.integer<std::uint32_t>("permissions.max_attempts")) {
    settings.max_attempts = *attempts;
  }
  if (values.is_set("permissions.retry_after")) {
    settings.max_retry_after = values.time("permissions.max_retry_after").value_or(0);
  }
}

std::optional<routing::SlowStart> read_slow_start(const SettingValues& values) {
  if (!values.text("safety.fall_multiple")) return std::nullopt;
  routing::SlowStart slow_start;
  slow_start.initial_share = values.number_or("safety.cold_from", 1);
  slow_start.warm_up_period = values.time("safety.cold").value_or(0);
  slow_start.overload_factor = values.number_or("safety.fall_multiple", 1);
  slow_start.overload_window = values.time("safety.overload_for").value_or(0);
  return slow_start;
}

std::optional<routing::RetryBudget> read_retry_budget(const SettingValues& values) {
  if (!values.text("safety.counted_over")) return std::nullopt;
  routing::RetryBudget budget;
  budget.min_retries = values.number_or("safety.min_extra", 0);
  budget.retry_ratio = values.number_or("safety.repeat_ratio", 0);
  budget.window = values.time("safety.counted_over").value_or(0);
  return budget;
}

// The limits that protect engines and clients from overload.
void read_safety(const SettingValues& values, routing::Settings& settings) {
  settings.response_grace_period = values.time("safety.grace_to_answer").value_or(0);
  settings.drain_grace_period = values.time("safety.drain_grace").value_or(0);
  settings.slow_start = read_slow_start(values);
  settings.ordered_key_cooldown = values.time("safety.turn_gap");
  settings.retry_budget = read_retry_budget(values);
}

// The features of the deployment's engines and what they report.
void read_engine_features(const SettingValues& values, routing::Settings& settings) {
  settings.memory_grants_supported = values.is_set("domain.takes_grants");
  settings.priorities_supported = values.is_set("domain.priorities");
  if (values.text("domain.largest_share"))
    settings.max_memory_grant_share = values.number_or("domain.largest_share", 1);
  if (const auto mode = values.text("domain.out_of_memory")) {
    settings.memory_pressure = read_keyword(kMemoryPressureModes, *mode, "domain.out_of_memory");
  }
  const auto interval = values.time("domain.tells_every");
  if (interval && *interval > 0) settings.progress_interval = interval;
  settings.reports_cost = values.is_set("domain.tells_cost");
}

}  // namespace

// The sections are read in a fixed order: of several malformed settings the first in that order is reported.
routing::Settings parse_settings(std::uint64_t seed, const std::vector<std::string_view>& pairs) {
  const SettingValues values(pairs);
  routing::Settings settings;
  settings.seed = seed;
  const Names zones = values.list("localities");
  const Names machine_types = values.list("models");
  read_instance(values, zones, settings);
  const std::uint32_t classes = values.count("grades");
  for (std::uint32_t index = 0; index < classes; ++index) {
    settings.classes.push_back(read_class(values, index, zones, machine_types));
  }
  read_tenants(values, settings);
  read_machine_types(values, machine_types, settings);
  if (const auto mode = values.text("membership_mode")) {
    settings.engine_list_mode = read_keyword(kMembershipModes, *mode, "membership_mode");
  }
  read_permissions(values, settings);
  read_safety(values, settings);
  read_engine_features(values, settings);
  settings.over_quota_weight = values.number_or("over_share_worth", 1);
  settings.cross_zone_cost = values.number_or("prices.cross_zone", 0);
  settings.probe_cost = values.number_or("prices.probe", 0);
  return settings;
}

}  // namespace rookproxy::settings
