#include "mysql/constants.h"

namespace rookproxy::mysql {

std::string_view sql_state(std::uint16_t error) {
  switch (error) {
    case kTooManyConnections:
      return "08004";
    case kAccessDenied:
      return "28000";
    case kUnknownCommand:
    case kServerShutdown:
    case kPacketTooLarge:
    case kPacketsOutOfOrder:
    case kHandshakeError:
      return "08S01";
    case kEmptyQuery:
    case kDatabaseDenied:
    case kCommandDenied:
    case kUnknownCharset:
    case kUserConnections:
    case kUserLimit:
    case kNotSupportedYet:
    case kTooManyStatements:
      return "42000";
    case kQueryInterrupted:
      return "70100";
    default:
      return "HY000";
  }
}

}  // namespace rookproxy::mysql
