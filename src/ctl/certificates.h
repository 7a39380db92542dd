// `rookproxyctl certificate new` and `rookproxyctl prepare`: what a trial of TLS and tokens needs, made from
// nothing. A self-signed certificate is for trials; in service the operators' CA signs.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>

namespace rookproxy {

// Adds the two commands. Once one has run, `code` has the exit code of the program (0 done, 1 refused).
void add_certificate_commands(CLI::App& app, std::optional<int>& code);

}  // namespace rookproxy
