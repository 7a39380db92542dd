// Why a datagram moved nothing, whichever way it went.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace rookproxy::cluster::transport {

enum class DropReason : std::uint8_t {
  // Of the bytes, before anything in them is believed.
  kEmpty,
  kTooLong,
  kUnknownVersion,
  kMissingMac,
  kUnexpectedMac,
  kInvalidMac,
  // Of what they say.
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
  // Of where they came from and when.
  kUnknownSender,
  kSenderMismatch,
  kOwnMessage,
  kDuplicate,
  kTooOld,
  kOldIncarnation,
  kFutureIncarnation,
  // Of what was to be sent.
  kOverBudget,
  kSendBufferFull,
  kSendFailed,
  kSocketClosed,
};

inline constexpr std::array<std::string_view, 27> kDropReasonTexts = {
    "empty",
    "longer than 256 bytes",
    "of a version that this dispatcher does not know",
    "without proof, though a key is set here",
    "with proof, though no key is set here",
    "forged: proved with none of our keys, or altered",
    "unreadable: no CBOR",
    "bytes behind the message",
    "of another fleet: the list of peers differs there",
    "of an unknown type",
    "not in the shape of its type",
    "a number out of its range",
    "a time that no plan or lease has",
    "more zones or retirements than a plan may have",
    "a zone or site twice in one plan",
    "about a member that is not configured",
    "from an address that is not in peers",
    "says that it is another member than its address is",
    "our own",
    "seen before",
    "too late: older than the window",
    "of a former process or incarnation",
    "of an incarnation that begins in the future: a clock is wrong, or it is forged",
    "over the budget of bytes a second",
    "the kernel's buffer is full",
    "the kernel would not send it",
    "the socket is not open",
};
// As operators read them in a figure's name: short, one a reason, and never worded anew.
inline constexpr std::array<std::string_view, 27> kDropReasonNames = {
    "empty",       "too_long", "version",     "no_proof",       "unwanted_proof", "forged",
    "unreadable",  "trailing", "other_fleet", "unknown_type",   "shape",          "range",
    "times",       "too_many", "twice",       "unknown_member", "stranger",       "other_sender",
    "own",         "seen",     "too_old",     "former",         "ahead",          "over_budget",
    "buffer_full", "not_sent", "closed"};
constexpr std::size_t kDropReasonCount = kDropReasonTexts.size();
static_assert(kDropReasonCount == static_cast<std::size_t>(DropReason::kSocketClosed) + 1);
static_assert(kDropReasonNames.size() == kDropReasonCount);

constexpr std::string_view text_of(DropReason reason) {
  return kDropReasonTexts[static_cast<std::size_t>(reason)];
}
constexpr std::string_view name_of(DropReason reason) {
  return kDropReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace rookproxy::cluster::transport
