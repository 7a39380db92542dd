// rookproxyctl: orders for a running agent, from the command line.
#include <poll.h>
#include <sys/socket.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "ctl/certificates.h"
#include "ctl/keys.h"
#include "net/sockets.h"

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr const char* kFooter =
    "Without names, an order is for all instances.\n"
    "Exit codes: 0 done, 1 the agent refused, 2 bad usage, 3 no agent there, 4 not in time, 5 not all run,\n"
    "6 an upgrade failed and the former process serves on.";

enum Exit {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kNoAgent = 3,
  kNotInTime = 4,
  kNotRunning = 5,
  kNotUpgraded = 6
};

struct Options {
  std::string socket, order;
  std::vector<std::string> names;
  bool wait = false, as_json = false;
  std::chrono::seconds timeout{60};
};

bool wait_for(const rookproxy::FileDescriptor& fd, short what, Clock::time_point until) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
  pollfd one{fd.get(), what, 0};
  return left > 0 && ::poll(&one, 1, static_cast<int>(left)) > 0;
}

// One question, one answer; nothing if there is no agent (`late`: or it did not answer in time).
std::optional<json> ask(const Options& options, const std::string& order, Clock::time_point until,
                        bool& late) {
  const rookproxy::FileDescriptor fd = rookproxy::connect_unix(options.socket);
  if (!fd) return std::nullopt;
  json question{{"do", order}};
  if (!options.names.empty()) question["names"] = options.names;
  const std::string line = question.dump() + "\n";
  if (::send(fd.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
    return std::nullopt;
  std::string answer;
  while (answer.find('\n') == std::string::npos) {
    if (!wait_for(fd, POLLIN, until)) {
      late = true;
      return std::nullopt;
    }
    char bytes[4096];
    const ssize_t got = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (got <= 0) return std::nullopt;
    answer.append(bytes, static_cast<std::size_t>(got));
  }
  const json read = json::parse(answer, nullptr, false);
  if (!read.is_object()) return std::nullopt;
  return read;
}

void print(const json& answer, bool as_json) {
  if (as_json) {
    std::cout << answer.dump() << "\n";
    return;
  }
  std::cout << std::left << std::setw(20) << "NAME" << std::setw(10) << "STATE" << std::setw(10) << "PID"
            << std::setw(10) << "RESTARTS" << std::setw(12) << "FOR (s)"
            << "LAST EXIT\n";
  for (const auto& one : answer.value("instances", json::array())) {
    const long pid = one.value("pid", 0L);
    const std::string last = one.value("last_exit", "");
    std::cout << std::left << std::setw(20) << one.value("name", "") << std::setw(10)
              << one.value("state", "") << std::setw(10) << (pid > 0 ? std::to_string(pid) : "-")
              << std::setw(10) << one.value("restarts", 0) << std::setw(12)
              << one.value("since_ms", 0L) / 1000 << (last.empty() ? "-" : last) << "\n";
  }
}

bool upgrading(const json& answer) {
  const json instances = answer.value("instances", json::array());
  return std::any_of(instances.begin(), instances.end(),
                     [](const json& one) { return one.value("upgrade", "") == "in progress"; });
}

bool all_in(const json& answer, const std::string& state) {
  const json instances = answer.value("instances", json::array());
  return std::all_of(instances.begin(), instances.end(),
                     [&](const json& one) { return one.value("state", "") == state; });
}

// What an instance says at its operators' address, without the frame round it; nothing if it does not answer.
std::optional<std::string> figures_of(const std::string& address, Clock::time_point until) {
  const auto at = rookproxy::parse_socket_address(address);
  const rookproxy::FileDescriptor fd = at ? rookproxy::connect_tcp(*at) : rookproxy::FileDescriptor();
  if (!fd || !wait_for(fd, POLLOUT, until)) return std::nullopt;
  rookproxy::send_best_effort(fd, "METRICS\n");
  std::string answer;
  for (char bytes[4096]; wait_for(fd, POLLIN, until);) {
    const ssize_t got = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (got <= 0) break;
    answer.append(bytes, static_cast<std::size_t>(got));
  }
  if (!answer.starts_with("+OK\n") || !answer.ends_with("\n.\n")) return std::nullopt;
  return answer.substr(4, answer.size() - 6);
}

// A line for each figure, with its instance's name before it.
int print_figures(const json& answer, Clock::time_point until) {
  int code = kDone;
  for (const auto& one : answer.value("instances", json::array())) {
    const std::string name = one.value("name", ""), address = one.value("ops", "");
    const auto figures = figures_of(address, until);
    if (!figures) {
      std::cerr << "rookproxyctl: " << name
                << (address.empty() ? ": the agent's file names no `ops` for it"
                                    : ": no answer from " + address)
                << "\n";
      code = kNotRunning;
      continue;
    }
    std::istringstream lines(*figures);
    for (std::string line; std::getline(lines, line);) std::cout << name << " " << line << "\n";
  }
  return code;
}

int run(const Options& options) {
  const auto until = Clock::now() + options.timeout;
  bool late = false;
  auto answer = ask(options, options.order == "figures" ? "status" : options.order, until, late);
  const auto unreachable = [&] {
    std::cerr << "rookproxyctl: " << (late ? "no answer in time from " : "no agent at ") << options.socket
              << "\n";
    return late ? kNotInTime : kNoAgent;
  };
  if (!answer) return unreachable();
  if (!answer->value("ok", false)) {
    std::cerr << "rookproxyctl: " << answer->value("error", "refused") << "\n";
    return kRefused;
  }
  if (options.order == "figures") return print_figures(*answer, until);
  const std::string goal = options.order == "drain" || options.order == "shutdown" ? "stopped" : "running";
  const bool upgrade = options.order == "upgrade";
  while (options.wait && options.order != "status") {
    if (options.order == "shutdown" ? !answer : all_in(*answer, goal) && !(upgrade && upgrading(*answer)))
      break;
    if (Clock::now() >= until) {
      std::cerr << "rookproxyctl: not carried out in time\n";
      return kNotInTime;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    answer = ask(options, "status", until, late);
    if (!answer && options.order != "shutdown") return unreachable();
  }
  if (answer) print(*answer, options.as_json);
  if (upgrade && options.wait) {
    for (const auto& one : answer->value("instances", json::array())) {
      const std::string how = one.value("upgrade", "");
      if (how == "done") continue;
      std::cerr << "rookproxyctl: " << one.value("name", "") << ": upgrade " << how << "\n";
      return kNotUpgraded;
    }
  }
  return options.order == "status" && !all_in(*answer, "running") ? kNotRunning : kDone;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const char* from_environment = std::getenv("ROOKPROXY_AGENT");
  options.socket = from_environment ? from_environment : "/run/rookproxy/agent.sock";
  CLI::App app("Orders for a running rookproxy-agent.", "rookproxyctl");
  app.footer(kFooter);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--socket", options.socket,
                 "the agent's socket (default $ROOKPROXY_AGENT, else /run/rookproxy/agent.sock)")
      ->type_name("PATH");
  app.add_flag("--wait", options.wait, "returns once the order is carried out, not only taken");
  int seconds = 60;
  app.add_option("--timeout", seconds, "gives up after so many seconds (default 60)")
      ->type_name("S")
      ->check(CLI::Range(1, 86400));
  app.add_flag("--json", options.as_json, "prints the agent's answer as it is");
  const std::pair<const char*, const char*> orders[] = {
      {"status", "what each instance does; exits 5 if one of them does not run"},
      {"start", "starts what does not run"},
      {"drain", "lets it finish what it has, then stops it"},
      {"restart", "drains, then starts"},
      {"upgrade", "starts a second process beside it; once that is ready the former drains"},
      {"figures", "what each instance counts, as its operators' address tells"},
      {"shutdown", "drains all and ends the agent"}};
  for (const auto& [name, about] : orders) {
    auto* order = app.add_subcommand(name, about);
    if (std::string_view(name) != "shutdown") order->add_option("NAME", options.names, "instances");
    order->callback([&options, name = std::string(name)] { options.order = name; });
  }
  std::optional<int> code;
  rookproxy::add_key_commands(app, code);
  rookproxy::add_certificate_commands(app, code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& fault) {
    if (fault.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) return app.exit(fault);
    std::cerr << "rookproxyctl: " << fault.what() << "\nTry --help.\n";
    return kUsage;
  }
  if (code) return *code;
  options.timeout = std::chrono::seconds(seconds);
  return run(options);
}
