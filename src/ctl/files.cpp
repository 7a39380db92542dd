#include "ctl/files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "ctl/command.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::ctl {
namespace {

// Returns whether all of `text` was written; sets errno if not.
bool write_all(const FileDescriptor& file, const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t result = ::write(file.get(), text.data() + written, text.size() - written);
    if (result < 0 && errno != EINTR) return false;
    if (result > 0) written += static_cast<std::size_t>(result);
  }
  return true;
}

// Makes a rename in the folder durable.
void sync_folder_of(const std::string& path) {
  const std::string parent = std::filesystem::path(path).parent_path().string();
  const FileDescriptor folder(
      ::open(parent.empty() ? "." : parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder) ::fsync(folder.get());
}

}  // namespace

std::string read_text_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw CommandError(path + ": can't be read");
  return std::move(text).str();
}

void write_file_atomically(const std::string& path, const std::string& text, mode_t mode) {
  std::string temporary = path + ".XXXXXX";
  const FileDescriptor file(::mkstemp(temporary.data()));
  if (!file) throw CommandError(path + ": can't be written: " + std::strerror(errno));
  const auto fail = [&](const char* failure) {
    const std::string reason = std::strerror(errno);
    ::unlink(temporary.c_str());
    throw CommandError(path + ": " + failure + ": " + reason);
  };
  if (!write_all(file, text)) fail("can't be written");
  if (::fchmod(file.get(), mode) != 0 || ::fsync(file.get()) != 0) fail("can't be written");
  if (::rename(temporary.c_str(), path.c_str()) != 0) fail("can't be replaced");
  sync_folder_of(path);
}

}  // namespace rookproxy::ctl
