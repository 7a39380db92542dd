// Temporary directories for tests.
#pragma once

#include <string>

namespace rookproxy::test {

// Creates a directory in TMPDIR, or in /tmp if TMPDIR is not set. Returns its path, or an empty string if it
// cannot be created. The caller must remove it.
[[nodiscard]] std::string make_temporary_directory();

// A temporary directory that is removed with its contents at the end of its scope.
class TemporaryDirectory {
 public:
  // Throws std::runtime_error if the directory cannot be created.
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  // Returns the directory's path without a trailing slash.
  [[nodiscard]] const std::string& path() const { return path_; }

  // Returns the path of a file in the directory.
  [[nodiscard]] std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

}  // namespace rookproxy::test
