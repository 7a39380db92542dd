// Errors that are thrown: what is wrong, of which kind it is, and what an operator can do about it.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace rookproxy {

// The kind of an error. It decides what is advised; no caller has to read the message.
enum class ErrorCode {
  kInvalidConfiguration,  // a key of a configuration, or a file that a key names
  kInvalidCredentials,    // a key set, a certificate, a private key or a revocation list
  kInvalidCommand,        // an argument of a command-line tool, or a file that it names
  kMalformedInput,        // bytes of a peer that the protocol does not allow
  kUnresolvedStatement,   // SQL of which it can't be made out what it touches
};

// The code's name in log lines.
[[nodiscard]] constexpr std::string_view to_string(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidConfiguration:
      return "invalid_configuration";
    case ErrorCode::kInvalidCredentials:
      return "invalid_credentials";
    case ErrorCode::kInvalidCommand:
      return "invalid_command";
    case ErrorCode::kMalformedInput:
      return "malformed_input";
    case ErrorCode::kUnresolvedStatement:
      return "unresolved_statement";
  }
  return "unknown";
}

// What an operator can do about an error of the kind.
[[nodiscard]] constexpr std::string_view recommended_action(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidConfiguration:
      return "correct the key named first, then test the file with --check";
    case ErrorCode::kInvalidCredentials:
      return "replace the file or key named, then test with --check";
    case ErrorCode::kInvalidCommand:
      return "correct the option or file named; --help lists the options";
    case ErrorCode::kMalformedInput:
      return "check the version and the protocol of the peer";
    case ErrorCode::kUnresolvedStatement:
      return "rewrite the statement; docs/access.md says what is understood";
  }
  return "";
}

// The base of every error that this program defines. Each concern derives its own type, so that a handler
// can tell by type where it comes from. what() names the object and says what is wrong with it.
class Error : public std::runtime_error {
 public:
  Error(ErrorCode code, const std::string& message) : std::runtime_error(message), code_(code) {}

  [[nodiscard]] ErrorCode code() const noexcept { return code_; }
  [[nodiscard]] std::string_view action() const noexcept { return recommended_action(code_); }

 private:
  ErrorCode code_;
};

// An operator's setting is wrong: a key of a file, or a file that a key names. It ends a start or a reload.
// what() names the setting, says what is wrong with it and, where it isn't obvious, what is accepted.
class SettingsError : public Error {
 public:
  explicit SettingsError(const std::string& message) : Error(ErrorCode::kInvalidConfiguration, message) {}

 protected:
  using Error::Error;
};

// A key set, a certificate, a private key or a revocation list can't be used. what() names the file or
// member.
class CredentialsError : public SettingsError {
 public:
  explicit CredentialsError(const std::string& message)
      : SettingsError(ErrorCode::kInvalidCredentials, message) {}
};

// Bytes of a peer break their protocol. what() says how.
class MalformedInputError : public Error {
 public:
  explicit MalformedInputError(const std::string& message) : Error(ErrorCode::kMalformedInput, message) {}
};

}  // namespace rookproxy
