// Constants of the MySQL client/server protocol, named as in the server's documentation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rookproxy::mysql {

// The first byte of a command from a client.
enum Command : std::uint8_t {
  kQuit = 0x01,
  kInitDb = 0x02,
  kQuery = 0x03,
  kPing = 0x0e,
  kChangeUser = 0x11,
  kStmtPrepare = 0x16,
  kStmtExecute = 0x17,
  kStmtSendLongData = 0x18,
  kStmtClose = 0x19,
  kStmtReset = 0x1a,
  kStmtFetch = 0x1c,
  kResetConnection = 0x1f
};

// Capability flags that both sides exchange in the handshake.
enum Capability : std::uint32_t {
  kLongPassword = 1,
  kLongFlag = 4,
  kConnectWithDb = 8,
  kProtocol41 = 0x200,
  kSsl = 0x800,
  kTransactions = 0x2000,
  kSecureConnection = 0x8000,
  kPluginAuth = 0x80000,
  kConnectAttrs = 0x100000,
  kPluginAuthLenenc = 0x200000
};
// The capabilities that the dispatcher supports toward clients and engines. DEPRECATE_EOF and SESSION_TRACK
// are excluded because they change the format of responses, which are passed through unchanged.
// MULTI_STATEMENTS, MULTI_RESULTS, LOCAL_FILES, SSL and COMPRESS are not supported.
constexpr std::uint32_t kCapabilities = kLongPassword | kLongFlag | kConnectWithDb | kProtocol41 |
                                        kTransactions | kSecureConnection | kPluginAuth | kConnectAttrs |
                                        kPluginAuthLenenc;

// Error codes of the MySQL server.
enum Error : std::uint16_t {
  kTooManyConnections = 1040,
  kOutOfResources = 1041,
  kHandshakeError = 1043,
  kDatabaseDenied = 1044,
  kAccessDenied = 1045,
  kUnknownCommand = 1047,
  kServerShutdown = 1053,
  kEmptyQuery = 1065,
  kUnknownError = 1105,
  kUnknownCharset = 1115,
  kCommandDenied = 1142,
  kPacketTooLarge = 1153,
  kPacketsOutOfOrder = 1156,
  kUserConnections = 1203,
  kWrongArguments = 1210,
  kUserLimit = 1226,
  kNotSupportedYet = 1235,
  kUnknownStatement = 1243,
  kQueryInterrupted = 1317,
  kTooManyStatements = 1461,
  kNeedReprepare = 1615,
  kMalformedPacket = 1835,
  kQueryTimeout = 3024,
  kSecureTransportRequired = 3159,
  kServerNotAvailable = 3168
};
// Returns the SQLSTATE that the server sends with an error code.
[[nodiscard]] std::string_view sql_state(std::uint16_t error);

// Status flags of a response.
constexpr std::uint16_t kAutocommit = 2;
constexpr std::uint16_t kMoreResultsExist = 8;

constexpr std::uint8_t kUtf8mb4 = 45;  // character set id

// Authentication plugins.
constexpr std::string_view kClearPassword = "mysql_clear_password";
constexpr std::string_view kNativePassword = "mysql_native_password";
constexpr std::string_view kCachingSha2 = "caching_sha2_password";

}  // namespace rookproxy::mysql
