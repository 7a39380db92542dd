// Reads and writes the operator's files.
#pragma once

#include <sys/types.h>

#include <string>

namespace rookproxy::ctl {

// Returns the contents of a file. Throws CommandError, which names the path.
[[nodiscard]] std::string read_text_file(const std::string& path);

// Writes a temporary file in the same folder, syncs it and renames it to `path`, so that readers see either
// the old or the new file. Throws CommandError, which names the path.
void write_file_atomically(const std::string& path, const std::string& text, mode_t mode);

}  // namespace rookproxy::ctl
