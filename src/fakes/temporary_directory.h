/// Directories that live as long as a test.
#pragma once

#include <string>

namespace rookproxy::test {

/// Creates a directory below TMPDIR, or below /tmp without that; returns its path, empty if it can't be
/// created. The caller removes it.
[[nodiscard]] std::string make_temporary_directory();

/// A temporary directory that is removed with all its files at the end of its scope.
class TemporaryDirectory {
 public:
  /// Throws std::runtime_error if the directory can't be created.
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  /// The directory's path, without a slash at its end.
  [[nodiscard]] const std::string& path() const { return path_; }

  /// The path of a file in the directory.
  [[nodiscard]] std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

}  // namespace rookproxy::test
