// The reasons for which a datagram is dropped, incoming or outgoing.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rookproxy::cluster::transport {

// Listed in the order of the metrics.
enum class DropReason : std::uint8_t {
  // Checks before and including authentication.
  kEmpty,
  kTooLong,
  kUnknownVersion,
  kMissingMac,
  kUnexpectedMac,
  kInvalidMac,
  // Checks of the content.
  kUnreadable,
  kTrailingBytes,
  kForeignCluster,
  kUnknownType,
  kMalformed,
  kOutOfRange,
  kInvalidTime,
  kTooManyEntries,
  kDuplicateEntry,
  kUnknownMember,
  // Checks of the sender and against replays.
  kUnknownSender,
  kSenderMismatch,
  kOwnMessage,
  kDuplicate,
  kTooOld,
  kOldIncarnation,
  kFutureIncarnation,
  // Failures to send.
  kRateLimited,
  kSendBufferFull,
  kSendFailed,
  kSocketClosed,
};

// The name and description of one reason.
struct DropReasonInfo {
  DropReason reason;
  std::string_view metric_name;  // Part of a metric's name; must not change once it is published.
  std::string_view description;
};

inline constexpr std::size_t kDropReasonCount = static_cast<std::size_t>(DropReason::kSocketClosed) + 1;

inline constexpr std::array<DropReasonInfo, kDropReasonCount> kDropReasons = {{
    {DropReason::kEmpty, "empty", "empty"},
    {DropReason::kTooLong, "too_long", "longer than 256 bytes"},
    {DropReason::kUnknownVersion, "version", "of an unsupported version"},
    {DropReason::kMissingMac, "no_proof", "not authenticated, but a key is configured"},
    {DropReason::kUnexpectedMac, "unwanted_proof", "authenticated, but no key is configured"},
    {DropReason::kInvalidMac, "forged", "not authenticated with a configured key, or altered"},
    {DropReason::kUnreadable, "unreadable", "not valid CBOR"},
    {DropReason::kTrailingBytes, "trailing", "more bytes after the message"},
    {DropReason::kForeignCluster, "other_fleet", "of a cluster with a different list of peers"},
    {DropReason::kUnknownType, "unknown_type", "of an unknown type"},
    {DropReason::kMalformed, "shape", "not in the format of its message type"},
    {DropReason::kOutOfRange, "range", "a number is out of range"},
    {DropReason::kInvalidTime, "times", "a time is not valid in a plan or lease"},
    {DropReason::kTooManyEntries, "too_many", "more zones or retirements than allowed in a plan"},
    {DropReason::kDuplicateEntry, "twice", "a zone or site is listed twice in one plan"},
    {DropReason::kUnknownMember, "unknown_member", "refers to a member that is not configured"},
    {DropReason::kUnknownSender, "stranger", "from an address that is not listed in peers"},
    {DropReason::kSenderMismatch, "other_sender", "its sender does not match its source address"},
    {DropReason::kOwnMessage, "own", "sent by this dispatcher itself"},
    {DropReason::kDuplicate, "seen", "a duplicate"},
    {DropReason::kTooOld, "too_old", "older than the replay window"},
    {DropReason::kOldIncarnation, "former", "of an earlier process or incarnation"},
    {DropReason::kFutureIncarnation, "ahead",
     "of an incarnation in the future: a clock is wrong, or it is forged"},
    {DropReason::kRateLimited, "over_budget", "over the limit of bytes per second"},
    {DropReason::kSendBufferFull, "buffer_full", "the socket's send buffer is full"},
    {DropReason::kSendFailed, "not_sent", "the send call failed"},
    {DropReason::kSocketClosed, "closed", "the socket is not open"},
}};

constexpr const DropReasonInfo& info_of(DropReason reason) {
  return kDropReasons[static_cast<std::size_t>(reason)];
}
constexpr std::string_view description_of(DropReason reason) { return info_of(reason).description; }
constexpr std::string_view metric_name_of(DropReason reason) { return info_of(reason).metric_name; }

// Whether the table is in the order of the enumeration, as info_of() requires.
constexpr bool is_drop_reason_table_ordered() {
  for (std::size_t i = 0; i < kDropReasonCount; ++i) {
    if (static_cast<std::size_t>(kDropReasons[i].reason) != i) return false;
  }
  return true;
}
static_assert(is_drop_reason_table_ordered());

}  // namespace rookproxy::cluster::transport
