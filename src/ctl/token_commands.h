// `rookproxyctl token ...`: creates, prints and verifies tokens. No dispatcher is contacted.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// Adds the command. When it has run, `code` contains the program's exit code; `code` must outlive `app`.
void add_token_commands(CLI::App& app, std::optional<ExitCode>& code);

}  // namespace rookproxy::ctl
