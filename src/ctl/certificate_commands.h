// `rookproxyctl certificate new` and `rookproxyctl prepare`: create the files for testing TLS and tokens.
// Self-signed certificates are for testing only; in production, a CA signs certificates.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// Adds the two commands. When one has run, `code` contains the program's exit code; `code` must outlive
// `app`.
void add_certificate_commands(CLI::App& app, std::optional<ExitCode>& code);

}  // namespace rookproxy::ctl
