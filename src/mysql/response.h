// Responses of the MySQL protocol: OK and error packets, and tracking of responses with several packets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "mysql/constants.h"
#include "mysql/packet.h"

namespace rookproxy::mysql {

// Encodes an OK packet.
[[nodiscard]] std::string ok_payload(std::uint64_t affected_rows = 0, std::uint64_t insert_id = 0,
                                     std::uint16_t status = kAutocommit);
// Encodes an error packet with the SQLSTATE of the code. A long text is truncated.
[[nodiscard]] std::string error_payload(std::uint16_t code, std::string_view text);

// The contents of an error packet.
struct ErrorInfo {
  std::uint16_t code = 0;
  std::string text;
};
// Parses a payload that starts with 0xff. Throws MalformedPacketError.
[[nodiscard]] ErrorInfo parse_error(std::string_view payload);
// Returns whether the payload is an EOF packet.
[[nodiscard]] bool is_eof(std::string_view payload);

// Tracks the packets of one response until it is complete.
class ResponseTracker {
 public:
  // The command that the response belongs to: a statement, or its preparation.
  enum class Kind { kPlain, kPrepare };
  explicit ResponseTracker(Kind kind = Kind::kPlain) : kind_(kind) {}

  // The first bytes of a payload that on_packet() needs.
  static constexpr std::size_t kExaminedBytes = 64;

  // Processes the payload of a single packet. Returns whether the response is complete. Throws
  // MalformedPacketError.
  bool on_packet(std::string_view payload) { return on_packet(payload, payload.size()); }
  // The same for a payload of `payload_size` bytes of which at least the first kExaminedBytes are given.
  bool on_packet(std::string_view payload_start, std::size_t payload_size);
  // Returns whether the response ended with an error packet.
  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] bool has_started() const { return state_ != State::kFirst || is_complete_; }

 private:
  // The kind of packet that is expected next.
  enum class State { kFirst, kColumns, kColumnsEnd, kRows, kPrepareParams, kPrepareParamsEnd };

  bool on_first_packet(std::string_view payload);
  bool on_prepared(PayloadReader reader);
  bool on_parameters_end(std::string_view payload);
  bool on_columns_end(std::string_view payload);
  void on_row(std::string_view payload);
  void on_definition(State next);

  Kind kind_;
  State state_ = State::kFirst;
  std::uint64_t expected_definitions_ = 0;  // parameters or columns not yet received
  std::uint64_t columns_ = 0;               // columns of a prepared statement
  bool is_continued_ = false;               // the next packet continues the payload
  bool failed_ = false;
  bool is_complete_ = false;
};

// Clears the autocommit flag in every status of a complete response to a statement. Not for the response to a
// prepare.
void clear_autocommit_status(std::string& packets);

// Formats a complete text result as lines with columns separated by tabs. The result of an OK packet is
// empty. NULL is formatted as "\N". Throws MalformedPacketError.
[[nodiscard]] std::string format_rows(std::string_view response);

}  // namespace rookproxy::mysql
