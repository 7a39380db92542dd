#include "upstream/mysql_error_class.h"

#include "mysql/protocol.h"

namespace rookproxy {
namespace {

using policy::AttemptProgress;
using routing::Outcome;

// Server error codes that are used only in this file.
constexpr std::uint16_t kDiskFull = 1021;
constexpr std::uint16_t kOutOfMemory = 1037;
constexpr std::uint16_t kOutOfSortMemory = 1038;

// Returns `refused`, unless the attempt may have run and its request must not run twice.
Outcome refused_or_error(Outcome refused, const FailedMysqlAttempt& attempt) {
  const bool never_ran = policy::proves_never_ran(attempt.progress, policy::RefusalBasis::kErrorCode);
  return never_ran || attempt.is_idempotent ? refused : Outcome::kError;
}

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

Outcome outcome_of_mysql_error(MysqlErrorClass error, const FailedMysqlAttempt& attempt) {
  switch (error) {
    case MysqlErrorClass::kUnknownStatement:
      if (!attempt.executes_prepared_statement) return Outcome::kServed;
      return refused_or_error(Outcome::kNotSent, attempt);
    case MysqlErrorClass::kOverloaded:
      return refused_or_error(Outcome::kRejected, attempt);
    case MysqlErrorClass::kEngineFault:
      return attempt.progress == AttemptProgress::kNotRequested ? Outcome::kRejected : Outcome::kError;
    case MysqlErrorClass::kStatement:
      break;
  }
  return Outcome::kServed;
}

}  // namespace rookproxy
