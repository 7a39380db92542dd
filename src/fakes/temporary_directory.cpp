#include "fakes/temporary_directory.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <system_error>

namespace rookproxy::test {

std::string make_temporary_directory() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base != nullptr ? base : "/tmp") + "/rookproxy-test-XXXXXX";
  return ::mkdtemp(path.data()) != nullptr ? path : "";
}

TemporaryDirectory::TemporaryDirectory() : path_(make_temporary_directory()) {
  if (path_.empty()) throw std::runtime_error("failed to create a temporary directory");
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace rookproxy::test
