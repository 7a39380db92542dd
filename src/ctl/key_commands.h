// `rookproxyctl keys ...`: manages signing keys, and the key sets that dispatchers read. These commands work
// on files only; no dispatcher is contacted.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// Adds the command. When it has run, `code` contains the program's exit code; `code` must outlive `app`.
void add_key_commands(CLI::App& app, std::optional<ExitCode>& code);

// Creates a JSON Web Key Set at `set` with one ES256 key `id`, and writes its private key to FOLDER/ID.pem
// (mode 0600). If either file exists, throws an exception derived from std::runtime_error and overwrites
// nothing.
void create_key_set(const std::string& set, const std::string& id, const std::string& folder);

}  // namespace rookproxy::ctl
