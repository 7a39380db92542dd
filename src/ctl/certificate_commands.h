// `rookproxyctl certificate new` and `rookproxyctl prepare`: create what a trial of TLS and tokens needs. A
// self-signed certificate is for trials; in service the operators' CA signs.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// Adds the two commands. Once one has run, `code` holds the exit code of the program; `code` must outlive
// `app`.
void add_certificate_commands(CLI::App& app, std::optional<ExitCode>& code);

}  // namespace rookproxy::ctl
