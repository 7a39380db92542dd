// `rookproxyctl token ...`: signs, shows and checks tokens. No dispatcher is contacted.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// Adds the command. Once it has run, `code` holds the exit code of the program; `code` must outlive `app`.
void add_token_commands(CLI::App& app, std::optional<ExitCode>& code);

}  // namespace rookproxy::ctl
