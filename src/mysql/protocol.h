// The MySQL client/server protocol, as far as both sides of the dispatcher need it: packets, values, log-in.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace rookproxy::mysql {

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
// What both sides speak. Left out on purpose: DEPRECATE_EOF and SESSION_TRACK (they change the form of
// answers, which pass through as they come), MULTI_STATEMENTS and MULTI_RESULTS, LOCAL_FILES, SSL, COMPRESS.
constexpr std::uint32_t kCapabilities = kLongPassword | kLongFlag | kConnectWithDb | kProtocol41 |
                                        kTransactions | kSecureConnection | kPluginAuth | kConnectAttrs |
                                        kPluginAuthLenenc;

// Errors of the server's own list, by their numbers there.
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
std::string_view sql_state(std::uint16_t error);

constexpr std::size_t kHeaderSize = 4, kMaxPayloadSize = 0xffffff;
constexpr std::uint16_t kAutocommit = 2, kMoreResultsExist = 8;
constexpr std::uint8_t kUtf8mb4 = 45;

struct MalformedPacketError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads values off a payload; throws Malformed where it ends too soon.
class PayloadReader {
 public:
  explicit PayloadReader(std::string_view bytes) : bytes_(bytes) {}
  std::uint64_t integer(std::size_t size);  // little-endian
  std::uint64_t length_encoded_integer();
  std::string_view length_encoded_string() { return take(length_encoded_integer()); }
  std::string_view null_terminated_string();
  std::string_view take(std::uint64_t size);
  std::string_view take_remaining() { return std::exchange(bytes_, {}); }
  std::size_t remaining() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};

void append_integer(std::string& out, std::uint64_t value, std::size_t size);
void append_length_encoded_integer(std::string& out, std::uint64_t value);
void append_length_encoded_string(std::string& out, std::string_view text);

// Cuts a payload into packets, the first of which gets `sequence`, which is moved on.
std::string split_into_packets(std::string_view payload, std::uint8_t& sequence);

// One message off the front of `bytes`, joined from its packets. `used` is 0 while more bytes are needed.
struct Message {
  std::string payload;
  std::uint8_t first_sequence = 0, next_sequence = 0;
  std::size_t consumed = 0;
  bool too_large = false, out_of_order = false;
};
Message parse_message(std::string_view bytes, std::size_t most);

std::string ok_payload(std::uint64_t affected = 0, std::uint64_t insert_id = 0,
                       std::uint16_t status = kAutocommit);
std::string error_payload(std::uint16_t code, std::string_view text);
struct ErrorInfo {
  std::uint16_t code = 0;
  std::string text;
};
ErrorInfo parse_error(std::string_view payload);  // of a payload that starts with 0xff
bool is_eof(std::string_view payload);

struct Greeting {
  std::uint32_t connection_id = 0;
  std::uint32_t capabilities = 0;
  std::string nonce;  // 20 bytes
  std::string plugin;
  std::string version;
};
std::string greeting_payload(const Greeting& greeting);
Greeting parse_greeting(std::string_view payload);

struct Login {
  std::uint32_t capabilities = 0;
  std::uint8_t charset = kUtf8mb4;
  std::string user, auth_response, schema, plugin;
};
std::string login_payload(const Login& login);
Login parse_login(std::string_view payload);

// A client that asks for TLS sends this much of its log-in, and the rest in secret.
constexpr std::size_t kSslRequestSize = 32;
bool is_ssl_request(std::string_view payload);
// COM_CHANGE_USER, behind its first byte; capabilities are those of the log-in.
Login parse_change_user(std::string_view payload, std::uint32_t capabilities);
constexpr std::string_view kClearPassword = "mysql_clear_password";
constexpr std::string_view kNativePassword = "mysql_native_password";
constexpr std::string_view kCachingSha2 = "caching_sha2_password";
// What proves the password under that plugin; nothing if the plugin is not known here.
std::optional<std::string> make_auth_response(std::string_view plugin, std::string_view password,
                                              std::string_view nonce);
// Compares without telling by its time where the two differ.
bool constant_time_equal(std::string_view a, std::string_view b);
std::string generate_nonce();
// The password for a server that asks for all of it over a plain connection: encrypted to its public key
// (PEM).
std::optional<std::string> encrypt_password(std::string_view password, std::string_view nonce,
                                            const std::string& public_key);

// Follows one response, packet by packet, to its end.
class ResponseTracker {
 public:
  enum class Kind { kPlain, kPrepare };
  explicit ResponseTracker(Kind kind = Kind::kPlain) : kind_(kind) {}
  // Takes the payload of one packet (not joined); true when the response is whole.
  bool on_packet(std::string_view payload);
  bool failed() const { return failed_; }  // it ended with an error packet
  bool has_started() const { return state_ != State::kFirst || done_; }

 private:
  enum class State { kFirst, kColumns, kColumnsEnd, kRows, kPrepareParams, kPrepareParamsEnd };
  bool on_first_packet(std::string_view payload);
  Kind kind_;
  State state_ = State::kFirst;
  std::uint64_t expected_definitions_ = 0, columns_ = 0;
  bool continued_ = false, failed_ = false, done_ = false;
};

// Takes the word 'autocommit is on' out of every status in a whole answer to a statement (not to a prepare).
void clear_autocommit_status(std::string& packets);

// A whole text result as lines of columns parted by tabs; an OK packet is an empty result. NULL reads '\N'.
std::string format_rows(std::string_view response);

}  // namespace rookproxy::mysql
