#include "mysql/response.h"

#include <cstddef>
#include <utility>

namespace rookproxy::mysql {
namespace {

constexpr char kOkHeader = '\0';
constexpr char kEofHeader = '\xfe';
constexpr char kErrorHeader = '\xff';
constexpr char kLocalFileHeader = '\xfb';
constexpr char kNullColumn = '\xfb';

constexpr std::size_t kMaxEofSize = 8;  // a longer payload with this header is a row
constexpr std::size_t kEofSize = 5;
constexpr std::size_t kEofStatusOffset = 3;
constexpr std::size_t kMaxErrorTextSize = 512;
constexpr std::size_t kSqlStateSize = 6;  // including the '#' before it

// Returns the offset of the status in a payload, or 0 if it has no status. `reader` is at the payload's
// start.
std::size_t status_offset(PayloadReader reader, std::size_t size, bool is_first_packet) {
  if (size == 0) return 0;
  // A response without rows starts with an OK packet. Among rows, only an EOF packet has this header and
  // size.
  const auto header = static_cast<char>(reader.integer(1));
  if (is_first_packet && header == kOkHeader) {
    reader.length_encoded_integer();
    reader.length_encoded_integer();
    return size - reader.remaining();
  }
  return header == kEofHeader && size == kEofSize ? kEofStatusOffset : 0;
}

void append_row(std::string& out, std::string_view payload, std::uint64_t columns) {
  PayloadReader reader(payload);
  for (std::uint64_t column = 0; column < columns; ++column) {
    if (column > 0) out += '\t';
    const auto remaining = reader.remaining();
    if (remaining > 0 && payload[payload.size() - remaining] == kNullColumn) {
      reader.integer(1);
      out += "\\N";
    } else {
      out += reader.length_encoded_string();
    }
  }
  out += '\n';
}

}  // namespace

std::string ok_payload(std::uint64_t affected_rows, std::uint64_t insert_id, std::uint16_t status) {
  std::string out(1, kOkHeader);
  append_length_encoded_integer(out, affected_rows);
  append_length_encoded_integer(out, insert_id);
  append_integer(out, status, 2);
  append_integer(out, 0, 2);  // warnings
  return out;
}

std::string error_payload(std::uint16_t code, std::string_view text) {
  std::string out(1, kErrorHeader);
  append_integer(out, code, 2);
  out += '#';
  out += sql_state(code);
  out += text.substr(0, kMaxErrorTextSize);
  return out;
}

ErrorInfo parse_error(std::string_view payload) {
  PayloadReader reader(payload);
  reader.integer(1);
  ErrorInfo info;
  info.code = static_cast<std::uint16_t>(reader.integer(2));
  std::string_view text = reader.take_remaining();
  if (text.starts_with('#') && text.size() >= kSqlStateSize) text.remove_prefix(kSqlStateSize);
  info.text = text;
  return info;
}

bool is_eof(std::string_view payload) {
  return payload.size() <= kMaxEofSize && payload.starts_with(kEofHeader);
}

bool ResponseTracker::on_packet(std::string_view payload, std::size_t payload_size) {
  // Only the first packet of a payload that is split into several is examined.
  const bool belongs_to_previous = std::exchange(is_continued_, payload_size == kMaxPayloadSize);
  if (belongs_to_previous) return false;
  if (payload.empty()) throw MalformedPacketError("an empty packet in an answer");
  switch (state_) {
    case State::kFirst:
      is_complete_ = on_first_packet(payload);
      break;
    case State::kPrepareParams:
      on_definition(State::kPrepareParamsEnd);
      break;
    case State::kPrepareParamsEnd:
      is_complete_ = on_parameters_end(payload);
      break;
    case State::kColumns:
      on_definition(State::kColumnsEnd);
      break;
    case State::kColumnsEnd:
      is_complete_ = on_columns_end(payload);
      break;
    case State::kRows:
      on_row(payload);
      break;
  }
  return is_complete_;
}

void ResponseTracker::on_definition(State next) {
  if (--expected_definitions_ == 0) state_ = next;
}

bool ResponseTracker::on_first_packet(std::string_view payload) {
  if (payload[0] == kErrorHeader) {
    failed_ = true;
    return true;
  }
  PayloadReader reader(payload);
  if (kind_ == Kind::kPrepare) return on_prepared(reader);
  if (payload[0] == kOkHeader) {
    reader.integer(1);
    reader.length_encoded_integer();
    reader.length_encoded_integer();
    return (reader.integer(2) & kMoreResultsExist) == 0;
  }
  if (payload[0] == kLocalFileHeader) throw MalformedPacketError("a request for a local file");
  expected_definitions_ = reader.length_encoded_integer();
  state_ = State::kColumns;
  return false;
}

bool ResponseTracker::on_prepared(PayloadReader reader) {
  if (reader.integer(1) != 0) throw MalformedPacketError("not an answer to a prepare");
  reader.integer(4);  // the statement's id
  columns_ = reader.integer(2);
  expected_definitions_ = reader.integer(2);
  state_ = expected_definitions_ > 0 ? State::kPrepareParams : State::kColumns;
  if (expected_definitions_ == 0) expected_definitions_ = columns_;
  return expected_definitions_ == 0;
}

bool ResponseTracker::on_parameters_end(std::string_view payload) {
  if (!is_eof(payload)) throw MalformedPacketError("parameters without their end");
  expected_definitions_ = columns_;
  state_ = State::kColumns;
  return columns_ == 0;
}

bool ResponseTracker::on_columns_end(std::string_view payload) {
  if (!is_eof(payload)) throw MalformedPacketError("columns without their end");
  state_ = State::kRows;
  return kind_ == Kind::kPrepare;
}

void ResponseTracker::on_row(std::string_view payload) {
  if (payload.starts_with(kErrorHeader)) {
    failed_ = true;
    is_complete_ = true;
    return;
  }
  if (!is_eof(payload)) return;
  PayloadReader reader(payload.substr(1));
  reader.integer(2);  // warnings
  is_complete_ = (reader.integer(2) & kMoreResultsExist) == 0;
  if (!is_complete_) state_ = State::kFirst;
}

void clear_autocommit_status(std::string& packets) {
  std::size_t position = 0;
  while (position + kHeaderSize < packets.size()) {
    const std::string_view remaining = std::string_view{packets}.substr(position);
    const std::size_t size = PayloadReader(remaining.substr(0, 3)).integer(3);
    const PayloadReader payload(remaining.substr(kHeaderSize, size));
    const std::size_t offset = status_offset(payload, size, position == 0);
    if (offset != 0 && offset < size) {
      packets[position + kHeaderSize + offset] &= static_cast<char>(~kAutocommit);
    }
    position += kHeaderSize + size;
  }
}

std::string format_rows(std::string_view response) {
  std::string out;
  std::uint64_t columns = 0;
  int eof_packets = 0;  // the first one ends the columns, the second one the rows
  for (bool is_first = true; !response.empty(); is_first = false) {
    const Message message = parse_message(response, SIZE_MAX);
    if (message.consumed == 0) throw MalformedPacketError("a result that ends too soon");
    response.remove_prefix(message.consumed);
    if (is_first) {
      if (message.payload.starts_with(kOkHeader)) return out;
      columns = PayloadReader(message.payload).length_encoded_integer();
    } else if (is_eof(message.payload)) {
      ++eof_packets;
    } else if (eof_packets == 1) {
      append_row(out, message.payload, columns);
    }
  }
  return out;
}

}  // namespace rookproxy::mysql
