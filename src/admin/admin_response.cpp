#include "admin/admin_response.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>

namespace rookproxy {
namespace {

// Builds the text of METRICS: one name and value per line.
class MetricsText {
 public:
  void add(std::string_view name, std::uint64_t value) { add_joined({name}, value); }

  // Adds a value whose name is joined from parts.
  void add_joined(std::initializer_list<std::string_view> name_parts, std::uint64_t value) {
    text_ += "svc.";
    for (const auto part : name_parts) text_ += part;
    text_ += '=' + std::to_string(value) + '\n';
  }

  void add_classes(std::string_view prefix, const MetricsByClass& classes) {
    for (const auto& [name, metrics] : classes) {
      add_joined({prefix, "passed.", name}, metrics.served);
      add_joined({prefix, "dropped.", name}, metrics.rejected);
      add_joined({prefix, "bad_gateway.", name}, metrics.failed);
    }
  }

  void add_auth(const AuthMetrics& auth) {
    add("keys", auth.key_count);
    add("token_checks.cached", auth.signature_checks_cached);
    add("token_checks.run", auth.signature_checks_run);
    add("token_checks.bad", auth.signature_checks_failed);
    add("token_checks.us", static_cast<std::uint64_t>(auth.signature_check_time.count()));
    for (const auto& [code, count] : auth.denied_by_code) add_joined({"denied.", code}, count);
  }

  void add_discovery(const DiscoveryMetrics& discovery) {
    add("discovery.polls", discovery.polls);
    add("discovery.newer_lists", discovery.newer_lists);
    add("discovery.same_lists", discovery.same_lists);
    add("discovery.older_lists", discovery.older_lists);
    add("discovery.unusable_responses", discovery.unusable_responses);
  }

  void add_attempts(const Metrics& metrics) {
    add("attempts_at_draining_engines", metrics.attempts_at_draining_engines);
    for (std::size_t index = 0; index < metrics.attempts_blocked.size(); ++index) {
      const auto reason = static_cast<policy::BlockReason>(index);
      add_joined({"attempts_blocked.", policy::to_metric_word(reason)}, metrics.attempts_blocked[index]);
    }
  }

  [[nodiscard]] std::string take() { return std::move(text_); }

 private:
  std::string text_;
};

// Replaces the characters of a tenant's name that can't be part of a metric's name.
std::string to_metric_name(std::string name) {
  const auto breaks_line = [](unsigned char c) { return c <= ' ' || c >= 0x7f || c == '='; };
  std::replace_if(name.begin(), name.end(), breaks_line, '_');
  return name;
}

std::string status_response(const AdminSource& source) {
  const std::string reason = source.not_ready_reason();
  return reason.empty() ? "+OK ready" : "-ERR not ready: " + reason;
}

std::string metrics_response(const AdminSource& source) {
  const std::string metrics = format_metrics(source.metrics(), source.gauges());
  MetricsText optional;
  for (const auto& [name, value] : source.optional_metrics()) optional.add(name, value);
  return "+OK\n" + metrics + optional.take() + ".";
}

}  // namespace

std::string format_metrics(const Metrics& metrics, const Gauges& gauges) {
  MetricsText text;
  text.add_classes("", metrics.by_class);
  text.add("upstream_tries", metrics.attempts_written);
  text.add("in_progress", gauges.requests_in_progress);
  text.add("known_query_engines", gauges.engines_listed);
  text.add("skipped_query_engines", gauges.engines_avoided);
  text.add("input_turns_full", gauges.full_input_turns);
  if (metrics.auth.enabled) text.add_auth(metrics.auth);
  for (const auto& [tenant, classes] : metrics.by_tenant) {
    text.add_classes("tenant." + to_metric_name(tenant) + ".", classes);
  }
  text.add("loads", metrics.config_reloads);
  text.add("load_errors", metrics.config_reload_errors);
  text.add_discovery(metrics.discovery);
  text.add_attempts(metrics);
  return text.take();
}

std::string admin_response(std::string_view command, const AdminSource& source) {
  if (command == "STATUS") return status_response(source);
  if (command == "METRICS") return metrics_response(source);
  return "-ERR unknown call; STATUS and METRICS are answered here";
}

}  // namespace rookproxy
