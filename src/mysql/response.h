// Responses of the MySQL protocol: OK and error packets, and the end of a response of many packets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "mysql/constants.h"
#include "mysql/packet.h"

namespace rookproxy::mysql {

[[nodiscard]] std::string ok_payload(std::uint64_t affected_rows = 0, std::uint64_t insert_id = 0,
                                     std::uint16_t status = kAutocommit);
[[nodiscard]] std::string error_payload(std::uint16_t code, std::string_view text);

// The content of an error packet.
struct ErrorInfo {
  std::uint16_t code = 0;
  std::string text;
};
// Parses a payload that starts with 0xff. Throws MalformedPacketError.
[[nodiscard]] ErrorInfo parse_error(std::string_view payload);
[[nodiscard]] bool is_eof(std::string_view payload);

// Follows one response, packet by packet, to its end.
class ResponseTracker {
 public:
  // What the response is to: a statement, or its preparation.
  enum class Kind { kPlain, kPrepare };
  explicit ResponseTracker(Kind kind = Kind::kPlain) : kind_(kind) {}

  // Takes the payload of one packet (not joined). Returns whether the response is complete. Throws
  // MalformedPacketError.
  bool on_packet(std::string_view payload);
  // Whether the response ended with an error packet.
  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] bool has_started() const { return state_ != State::kFirst || is_complete_; }

 private:
  // Which packet comes next.
  enum class State { kFirst, kColumns, kColumnsEnd, kRows, kPrepareParams, kPrepareParamsEnd };

  bool on_first_packet(std::string_view payload);
  bool on_prepared(PayloadReader reader);
  bool on_parameters_end(std::string_view payload);
  bool on_columns_end(std::string_view payload);
  void on_row(std::string_view payload);
  void on_definition(State next);

  Kind kind_;
  State state_ = State::kFirst;
  std::uint64_t expected_definitions_ = 0;  // of parameters or columns that are still to come
  std::uint64_t columns_ = 0;               // of a prepared statement
  bool is_continued_ = false;               // the next packet belongs to the same payload
  bool failed_ = false;
  bool is_complete_ = false;
};

// Clears the autocommit bit in every status of a complete response to a statement (not to a prepare).
void clear_autocommit_status(std::string& packets);

// A complete text result as lines of columns separated by tabs; an OK packet is an empty result. NULL is
// written as "\N". Throws MalformedPacketError.
[[nodiscard]] std::string format_rows(std::string_view response);

}  // namespace rookproxy::mysql
