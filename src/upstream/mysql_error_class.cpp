#include "upstream/mysql_error_class.h"

#include "mysql/protocol.h"

namespace rookproxy {
namespace {

// Server error codes that are used only in this file.
constexpr std::uint16_t kDiskFull = 1021;
constexpr std::uint16_t kOutOfMemory = 1037;
constexpr std::uint16_t kOutOfSortMemory = 1038;

}  // namespace

MysqlErrorClass classify_mysql_error(std::uint16_t code) {
  switch (code) {
    case mysql::kTooManyConnections:
    case mysql::kUserConnections:
    case mysql::kUserLimit:
    case mysql::kServerNotAvailable:
      return MysqlErrorClass::kOverloaded;
    case 0:
    case mysql::kServerShutdown:
    case mysql::kQueryInterrupted:
    case mysql::kQueryTimeout:
    case mysql::kOutOfResources:
    case kDiskFull:
    case kOutOfMemory:
    case kOutOfSortMemory:
      return MysqlErrorClass::kEngineFault;
    case mysql::kUnknownStatement:
    case mysql::kNeedReprepare:
      return MysqlErrorClass::kUnknownStatement;
    default:
      return MysqlErrorClass::kStatement;
  }
}

}  // namespace rookproxy
