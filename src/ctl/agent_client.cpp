#include "ctl/agent_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string_view>
#include <thread>
#include <variant>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::ctl {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadSize = 4096;
constexpr std::chrono::milliseconds kPollInterval{50};

// The frame of a METRICS response at an instance's admin address.
constexpr std::string_view kResponseStart = "+OK\n";
constexpr std::string_view kResponseEnd = "\n.\n";

// Why no response was received from the agent.
enum class AgentFailure { kUnreachable, kTimeout };
using AgentResponse = std::variant<json, AgentFailure>;

bool wait_for(const FileDescriptor& socket, std::int16_t events, Clock::time_point deadline) {
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()).count();
  pollfd watched{socket.get(), events, 0};
  return remaining > 0 && ::poll(&watched, 1, static_cast<int>(remaining)) > 0;
}

AgentResponse send_request(const AgentOptions& options, const std::string& command,
                           Clock::time_point deadline) {
  const FileDescriptor socket = connect_unix(options.socket);
  if (!socket) return AgentFailure::kUnreachable;
  json request{{"do", command}};
  if (!options.names.empty()) request["names"] = options.names;
  const std::string line = request.dump() + "\n";
  const ssize_t sent = ::send(socket.get(), line.data(), line.size(), MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(line.size())) return AgentFailure::kUnreachable;
  std::string received;
  while (received.find('\n') == std::string::npos) {
    if (!wait_for(socket, POLLIN, deadline)) return AgentFailure::kTimeout;
    std::array<char, kReadSize> bytes{};
    const ssize_t count = ::recv(socket.get(), bytes.data(), bytes.size(), 0);
    if (count <= 0) return AgentFailure::kUnreachable;
    received.append(bytes.data(), static_cast<std::size_t>(count));
  }
  json response = json::parse(received, nullptr, false);
  if (!response.is_object()) return AgentFailure::kUnreachable;
  return response;
}

ExitCode report_failure(const AgentOptions& options, AgentFailure failure) {
  const bool is_timeout = failure == AgentFailure::kTimeout;
  std::cerr << "rookproxyctl: " << (is_timeout ? "timeout: no response from " : "no agent at ")
            << options.socket << "\n";
  return is_timeout ? ExitCode::kNotInTime : ExitCode::kNoAgent;
}

json instances_of(const json& response) { return response.value("instances", json::array()); }

void print_instances(const json& response, bool as_json) {
  if (as_json) {
    std::cout << response.dump() << "\n";
    return;
  }
  constexpr int kNameWidth = 20;
  constexpr int kColumnWidth = 10;
  constexpr int kTimeWidth = 12;
  const auto print_row = [](const auto& name, const auto& state, const auto& process, const auto& restarts,
                            const auto& seconds, const auto& last_exit) {
    std::cout << std::left << std::setw(kNameWidth) << name << std::setw(kColumnWidth) << state
              << std::setw(kColumnWidth) << process << std::setw(kColumnWidth) << restarts
              << std::setw(kTimeWidth) << seconds << last_exit << "\n";
  };
  print_row("NAME", "STATE", "PID", "RESTARTS", "FOR (s)", "LAST EXIT");
  for (const auto& instance : instances_of(response)) {
    const auto process = instance.value("pid", std::int64_t{0});
    const std::string last_exit = instance.value("last_exit", "");
    print_row(instance.value("name", ""), instance.value("state", ""),
              process > 0 ? std::to_string(process) : "-", instance.value("restarts", 0),
              instance.value("since_ms", std::int64_t{0}) / 1000, last_exit.empty() ? "-" : last_exit);
  }
}

bool is_any_upgrading(const json& response) {
  const json instances = instances_of(response);
  return std::any_of(instances.begin(), instances.end(),
                     [](const json& instance) { return instance.value("upgrade", "") == "in progress"; });
}

bool are_all_in(const json& response, const std::string& state) {
  const json instances = instances_of(response);
  return std::all_of(instances.begin(), instances.end(),
                     [&](const json& instance) { return instance.value("state", "") == state; });
}

// Fetches the metrics of an instance from its admin address, without the frame of the response; nothing if it
// does not respond.
std::optional<std::string> fetch_metrics(const std::string& address, Clock::time_point deadline) {
  const auto socket_address = parse_socket_address(address);
  const FileDescriptor socket = socket_address ? connect_tcp(*socket_address) : FileDescriptor();
  if (!socket || !wait_for(socket, POLLOUT, deadline)) return std::nullopt;
  send_best_effort(socket, "METRICS\n");
  std::string response;
  while (wait_for(socket, POLLIN, deadline)) {
    std::array<char, kReadSize> bytes{};
    const ssize_t count = ::recv(socket.get(), bytes.data(), bytes.size(), 0);
    if (count <= 0) break;
    response.append(bytes.data(), static_cast<std::size_t>(count));
  }
  if (!response.starts_with(kResponseStart) || !response.ends_with(kResponseEnd)) return std::nullopt;
  // The line feed before the final dot belongs to the last metric.
  return response.substr(kResponseStart.size(), response.size() - kResponseStart.size() - 2);
}

// Prints one line for each metric, prefixed with the name of the instance.
ExitCode print_metrics(const json& response, Clock::time_point deadline) {
  ExitCode code = ExitCode::kDone;
  for (const auto& instance : instances_of(response)) {
    const std::string name = instance.value("name", "");
    const std::string address = instance.value("ops", "");
    const auto metrics = fetch_metrics(address, deadline);
    if (!metrics) {
      const std::string reason =
          address.empty() ? ": no `ops` address in the agent's file" : ": no response from " + address;
      std::cerr << "rookproxyctl: " << name << reason << "\n";
      code = ExitCode::kNotRunning;
      continue;
    }
    std::istringstream lines(*metrics);
    for (std::string line; std::getline(lines, line);) std::cout << name << " " << line << "\n";
  }
  return code;
}

// Whether the command is complete. After a shutdown the agent no longer responds.
bool is_carried_out(const AgentOptions& options, const AgentResponse& response) {
  const auto* status = std::get_if<json>(&response);
  if (options.command == "shutdown") return status == nullptr;
  if (!are_all_in(*status, options.command == "drain" ? "stopped" : "running")) return false;
  return options.command != "upgrade" || !is_any_upgrading(*status);
}

// Polls the status until the command is complete. Returns an exit code if the wait failed; otherwise
// `response` is the last response.
std::optional<ExitCode> wait_until_carried_out(const AgentOptions& options, Clock::time_point deadline,
                                               AgentResponse& response) {
  while (!is_carried_out(options, response)) {
    if (Clock::now() >= deadline) {
      std::cerr << "rookproxyctl: timeout: the command was accepted but is not complete\n";
      return ExitCode::kNotInTime;
    }
    std::this_thread::sleep_for(kPollInterval);
    response = send_request(options, "status", deadline);
    const auto* failure = std::get_if<AgentFailure>(&response);
    if (failure && options.command != "shutdown") return report_failure(options, *failure);
  }
  return std::nullopt;
}

ExitCode report_upgrades(const json& response) {
  for (const auto& instance : instances_of(response)) {
    const std::string outcome = instance.value("upgrade", "");
    if (outcome == "done") continue;
    std::cerr << "rookproxyctl: " << instance.value("name", "") << ": upgrade " << outcome << "\n";
    return ExitCode::kNotUpgraded;
  }
  return ExitCode::kDone;
}

}  // namespace

ExitCode run_agent_command(const AgentOptions& options) {
  const auto deadline = Clock::now() + options.timeout;
  const bool is_metrics = options.command == "figures";
  auto response = send_request(options, is_metrics ? "status" : options.command, deadline);
  if (const auto* failure = std::get_if<AgentFailure>(&response)) return report_failure(options, *failure);
  const json& first = std::get<json>(response);
  if (!first.value("ok", false)) {
    std::cerr << "rookproxyctl: " << first.value("error", "refused") << "\n";
    return ExitCode::kRefused;
  }
  if (is_metrics) return print_metrics(first, deadline);
  if (options.wait && options.command != "status") {
    if (const auto code = wait_until_carried_out(options, deadline, response)) return *code;
  }
  const auto* last = std::get_if<json>(&response);
  if (!last) return ExitCode::kDone;  // The agent has shut down.
  print_instances(*last, options.as_json);
  if (options.command == "upgrade" && options.wait) return report_upgrades(*last);
  const bool is_stopped_instance_reported = options.command == "status" && !are_all_in(*last, "running");
  return is_stopped_instance_reported ? ExitCode::kNotRunning : ExitCode::kDone;
}

}  // namespace rookproxy::ctl
