// rookproxyctl: commands for a running agent, and for keys, tokens and certificates, from the command line.
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
    "Without names, an order is for all instances.\n"
    "Exit codes: 0 done, 1 the agent refused, 2 bad usage, 3 no agent there, 4 not in time, 5 not all run,\n"
    "6 an upgrade failed and the former process serves on.";
constexpr const char* kDefaultSocket = "/run/rookproxy/agent.sock";
constexpr int kMaxTimeoutSeconds = 86400;

struct AgentCommand {
  std::string_view name;
  std::string_view description;
  bool takes_names;
};

constexpr std::array<AgentCommand, 7> kAgentCommands{{
    {"status", "what each instance does; exits 5 if one of them does not run", true},
    {"start", "starts what does not run", true},
    {"drain", "lets it finish what it has, then stops it", true},
    {"restart", "drains, then starts", true},
    {"upgrade", "starts a second process beside it; once that is ready the former drains", true},
    {"figures", "what each instance counts, as its operators' address tells", true},
    {"shutdown", "drains all and ends the agent", false},
}};

void add_agent_options(CLI::App& app, AgentOptions& options, int& timeout_seconds) {
  app.add_option("--socket", options.socket,
                 "the agent's socket (default $ROOKPROXY_AGENT, else /run/rookproxy/agent.sock)")
      ->type_name("PATH");
  app.add_flag("--wait", options.wait, "returns once the order is carried out, not only taken");
  app.add_option("--timeout", timeout_seconds, "gives up after so many seconds (default 60)")
      ->type_name("S")
      ->check(CLI::Range(1, kMaxTimeoutSeconds));
  app.add_flag("--json", options.as_json, "prints the agent's answer as it is");
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
  CLI::App app("Orders for a running rookproxy-agent.", "rookproxyctl");
  app.footer(kFooter);
  app.require_subcommand(1);
  app.fallthrough();
  int timeout_seconds = 60;
  add_agent_options(app, options, timeout_seconds);
  add_agent_commands(app, options);
  std::optional<ExitCode> code;  // of a command that needs no agent
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
