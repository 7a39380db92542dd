#include "support/blocked_start.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "fakes/temporary_directory.h"
#include "support/require.h"

namespace rookproxy::test {

BlockedStart::BlockedStart() : BlockedStart(make_temporary_directory()) { owns_directory_ = true; }

BlockedStart::BlockedStart(const std::string& directory)
    : directory_(directory), config_path_(directory + "/config.json") {
  ::signal(SIGPIPE, SIG_IGN);  // a dispatcher that dies leaves the pipe without a reader
}

BlockedStart::~BlockedStart() {
  if (owns_directory_) std::filesystem::remove_all(directory_);
}

void BlockedStart::start(const std::vector<FileDescriptor>& inherited_sockets) {
  std::filesystem::remove(config_path_);
  require(::mkfifo(config_path_.c_str(), 0600) == 0, "no pipe");
  process_.start({directory_, directory_ + "/blocked.log"}, inherited_sockets);
  // Returns once the dispatcher has opened it to read: it is past its first lines, and waits.
  pipe_ = FileDescriptor(::open(config_path_.c_str(), O_WRONLY | O_CLOEXEC));
  require(static_cast<bool>(pipe_), "the pipe was not opened");
}

void BlockedStart::release(const nlohmann::json& config) {
  const std::string text = config.dump();
  const std::string new_path = config_path_ + ".new";
  std::ofstream(new_path) << text;
  std::filesystem::rename(new_path, config_path_);
  const ssize_t written = ::write(pipe_.get(), text.data(), text.size());
  require(written == static_cast<ssize_t>(text.size()), "the configuration was not written");
  pipe_.reset();
}

}  // namespace rookproxy::test
