// Reading and writing of the operator's files.
#pragma once

#include <sys/types.h>

#include <string>

namespace rookproxy::ctl {

// Throws CommandError, which names the path.
[[nodiscard]] std::string read_text_file(const std::string& path);

// Writes to a temporary file beside the path, syncs it and renames it into place with `mode`: a reader sees
// the former file or the new one. Throws CommandError, which names the path.
void write_file_atomically(const std::string& path, const std::string& text, mode_t mode);

}  // namespace rookproxy::ctl
