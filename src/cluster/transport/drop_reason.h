// Why a datagram was dropped, in either direction.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rookproxy::cluster::transport {

// The order is that of the metrics.
enum class DropReason : std::uint8_t {
  // Checks of the bytes, before anything in them is trusted.
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
  // Checks of the sender and the order.
  kUnknownSender,
  kSenderMismatch,
  kOwnMessage,
  kDuplicate,
  kTooOld,
  kOldIncarnation,
  kFutureIncarnation,
  // While sending.
  kOverBudget,
  kSendBufferFull,
  kSendFailed,
  kSocketClosed,
};

// How one reason is shown to operators.
struct DropReasonInfo {
  DropReason reason;
  std::string_view metric_name;  // part of a metric's name; never changed once it is published
  std::string_view description;
};

inline constexpr std::size_t kDropReasonCount = static_cast<std::size_t>(DropReason::kSocketClosed) + 1;

inline constexpr std::array<DropReasonInfo, kDropReasonCount> kDropReasons = {{
    {DropReason::kEmpty, "empty", "empty"},
    {DropReason::kTooLong, "too_long", "longer than 256 bytes"},
    {DropReason::kUnknownVersion, "version", "of a version that this dispatcher does not know"},
    {DropReason::kMissingMac, "no_proof", "not authenticated, though a key is set here"},
    {DropReason::kUnexpectedMac, "unwanted_proof", "authenticated, though no key is set here"},
    {DropReason::kInvalidMac, "forged", "authenticated with none of our keys, or altered"},
    {DropReason::kUnreadable, "unreadable", "not valid CBOR"},
    {DropReason::kTrailingBytes, "trailing", "more bytes behind the message"},
    {DropReason::kForeignCluster, "other_fleet", "of another cluster: its list of peers differs"},
    {DropReason::kUnknownType, "unknown_type", "of an unknown type"},
    {DropReason::kMalformed, "shape", "not in the format of its type"},
    {DropReason::kOutOfRange, "range", "a number is out of its range"},
    {DropReason::kInvalidTime, "times", "a time that no plan or lease can have"},
    {DropReason::kTooManyEntries, "too_many", "more zones or retirements than a plan may have"},
    {DropReason::kDuplicateEntry, "twice", "a zone or site appears twice in one plan"},
    {DropReason::kUnknownMember, "unknown_member", "about a member that is not configured"},
    {DropReason::kUnknownSender, "stranger", "from an address that is not in peers"},
    {DropReason::kSenderMismatch, "other_sender", "names another sender than its address"},
    {DropReason::kOwnMessage, "own", "this dispatcher's own"},
    {DropReason::kDuplicate, "seen", "received before"},
    {DropReason::kTooOld, "too_old", "too late: older than the replay window"},
    {DropReason::kOldIncarnation, "former", "of a former process or incarnation"},
    {DropReason::kFutureIncarnation, "ahead",
     "of an incarnation that begins in the future: a clock is wrong, or it is forged"},
    {DropReason::kOverBudget, "over_budget", "over the limit of bytes a second"},
    {DropReason::kSendBufferFull, "buffer_full", "the kernel's buffer is full"},
    {DropReason::kSendFailed, "not_sent", "the kernel did not send it"},
    {DropReason::kSocketClosed, "closed", "the socket is not open"},
}};

constexpr const DropReasonInfo& info_of(DropReason reason) {
  return kDropReasons[static_cast<std::size_t>(reason)];
}
constexpr std::string_view description_of(DropReason reason) { return info_of(reason).description; }
constexpr std::string_view metric_name_of(DropReason reason) { return info_of(reason).metric_name; }

// Whether the table is in the order of the enumeration, as info_of() needs it.
constexpr bool is_drop_reason_table_ordered() {
  for (std::size_t i = 0; i < kDropReasonCount; ++i) {
    if (static_cast<std::size_t>(kDropReasons[i].reason) != i) return false;
  }
  return true;
}
static_assert(is_drop_reason_table_ordered());

}  // namespace rookproxy::cluster::transport
