// `rookproxyctl keys ...` and `rookproxyctl token ...`: signing keys, the sets that dispatchers read, and
// tokens. All of it is files of the operator's; no dispatcher is asked.
#pragma once

#include <sys/types.h>

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

namespace rookproxy {

// Adds the two commands. Once one has run, `code` has the exit code of the program.
void add_key_commands(CLI::App& app, std::optional<int>& code);

// Written aside, synced and renamed into place with `mode`: a reader sees the former file or the new one.
// Throws std::runtime_error naming the path.
void write_file_atomically(const std::string& path, const std::string& text, mode_t mode);

// A new JSON Web Key Set at `set` with one ES256 key `id`, its private half in FOLDER/ID.pem (mode 0600).
// Throws std::runtime_error if either file is there already: nothing is written over.
void create_key_set(const std::string& set, const std::string& id, const std::string& folder);

}  // namespace rookproxy
