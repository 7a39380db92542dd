// rookproxyctl: command-line tool for a running agent, and for keys, tokens and certificates.
#include <CLI/CLI.hpp>
#include <array>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

#include "ctl/agent_client.h"
#include "ctl/certificate_commands.h"
#include "ctl/exit_code.h"
#include "ctl/key_commands.h"
#include "ctl/token_commands.h"

namespace {

using rookproxy::ctl::AgentOptions;
using rookproxy::ctl::ExitCode;

constexpr const char* kFooter =
    "Without names, a command applies to all instances.\n"
    "Exit codes: 0 success, 1 rejected or failed, 2 invalid usage, 3 no agent at the socket, 4 timeout,\n"
    "5 an instance is not running, 6 an upgrade failed and the previous process still serves.";
constexpr const char* kDefaultSocket = "/run/rookproxy/agent.sock";
constexpr int kMaxTimeoutSeconds = 86400;

struct AgentCommand {
  std::string_view name;
  std::string_view description;
  bool takes_names;
};

constexpr std::array<AgentCommand, 7> kAgentCommands{{
    {"status", "prints the state of each instance; exit code 5 if one of them is not running", true},
    {"start", "starts instances that are not running", true},
    {"drain", "lets instances finish their open requests, then stops them", true},
    {"restart", "drains instances and starts them again", true},
    {"upgrade", "starts a second process of an instance; once that is ready, the first one is drained", true},
    {"figures", "prints the metrics of each instance, from its admin address", true},
    {"shutdown", "drains all instances and stops the agent", false},
}};

void add_agent_options(CLI::App& app, AgentOptions& options, int& timeout_seconds) {
  app.add_option("--socket", options.socket,
                 "the agent's socket (default $ROOKPROXY_AGENT, else /run/rookproxy/agent.sock)")
      ->type_name("PATH");
  app.add_flag("--wait", options.wait, "waits until the command is complete");
  app.add_option("--timeout", timeout_seconds, "timeout in seconds (default 60)")
      ->type_name("S")
      ->check(CLI::Range(1, kMaxTimeoutSeconds));
  app.add_flag("--json", options.as_json, "prints the agent's response as JSON");
}

void add_agent_commands(CLI::App& app, AgentOptions& options) {
  for (const AgentCommand& command : kAgentCommands) {
    const std::string name(command.name);
    auto* subcommand = app.add_subcommand(name, std::string(command.description));
    if (command.takes_names) subcommand->add_option("NAME", options.names, "instances");
    subcommand->callback([&options, name] { options.command = name; });
  }
}

}  // namespace

int main(int argc, char** argv) {
  AgentOptions options;
  const char* socket_from_environment = std::getenv("ROOKPROXY_AGENT");
  options.socket = socket_from_environment ? socket_from_environment : kDefaultSocket;
  CLI::App app("Controls a running rookproxy-agent; manages keys, tokens and certificates.", "rookproxyctl");
  app.footer(kFooter);
  app.require_subcommand(1);
  app.fallthrough();
  int timeout_seconds = 60;
  add_agent_options(app, options, timeout_seconds);
  add_agent_commands(app, options);
  std::optional<ExitCode> code;  // Set by a command that does not use the agent.
  rookproxy::ctl::add_key_commands(app, code);
  rookproxy::ctl::add_token_commands(app, code);
  rookproxy::ctl::add_certificate_commands(app, code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) return app.exit(error);
    std::cerr << "rookproxyctl: " << error.what() << "\nTry --help.\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  if (code) return static_cast<int>(*code);
  options.timeout = std::chrono::seconds(timeout_seconds);
  return static_cast<int>(rookproxy::ctl::run_agent_command(options));
}
