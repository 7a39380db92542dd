// `rookproxyctl keys ...`: signing keys, and the key sets that dispatchers read. All of it works on the
// operator's files; no dispatcher is contacted.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// Adds the command. Once it has run, `code` holds the exit code of the program; `code` must outlive `app`.
void add_key_commands(CLI::App& app, std::optional<ExitCode>& code);

// Creates a JSON Web Key Set at `set` with one ES256 key `id`, whose private key goes to FOLDER/ID.pem (mode
// 0600). Throws an exception derived from std::runtime_error, and overwrites nothing, if either file exists.
void create_key_set(const std::string& set, const std::string& id, const std::string& folder);

}  // namespace rookproxy::ctl
