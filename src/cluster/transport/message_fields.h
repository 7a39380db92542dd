// The fields of each message in their order on the wire, described once for both writing and reading.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

#include "cluster/messages.h"
#include "cluster/transport/drop_reason.h"
#include "cluster/transport/plan_packing.h"

namespace rookproxy::cluster::transport {

// Records the first of several failures.
class FirstFailure {
 public:
  [[nodiscard]] const std::optional<DropReason>& failure() const { return failure_; }
  void fail(DropReason reason) {
    if (!failure_) failure_ = reason;
  }

 private:
  std::optional<DropReason> failure_;
};

// Appends fields to an array. Has the same interface as FieldReader.
class FieldWriter : public FirstFailure {
 public:
  static constexpr bool kIsReader = false;

  template <class Number>
  void number(const Number& value) {
    fields_.push_back(static_cast<std::uint64_t>(value));
  }
  void list(const std::vector<std::uint64_t>& values) { fields_.push_back(values); }
  // Whether optional fields are to be written.
  [[nodiscard]] static bool has_more(bool is_present) { return is_present; }
  nlohmann::json take() { return std::move(fields_); }

 private:
  nlohmann::json fields_ = nlohmann::json::array();
};

// Reads fields from an array, which must outlive the reader. Values read after a failure are meaningless.
class FieldReader : public FirstFailure {
 public:
  static constexpr bool kIsReader = true;

  explicit FieldReader(const nlohmann::json& fields) : fields_(fields) {}

  // Reads an unsigned number. Fails if the field is not one, or if it is out of the range of its type.
  template <class Number>
  void number(Number& value) {
    const std::uint64_t read = to_number(next());
    if (read > max_of<Number>()) fail(DropReason::kOutOfRange);
    value = static_cast<Number>(read);
  }
  void list(std::vector<std::uint64_t>& values) {
    const nlohmann::json& elements = next();
    if (!elements.is_array()) {
      fail(DropReason::kMalformed);
      return;
    }
    for (const nlohmann::json& element : elements) values.push_back(to_number(element));
  }
  // Returns the next field. Fails and returns null if there is none.
  const nlohmann::json& next() {
    static const nlohmann::json kNull;
    if (has_more(false)) return fields_[position_++];
    fail(DropReason::kMalformed);
    return kNull;
  }
  // Whether there are more fields. The parameter is used by FieldWriter only.
  [[nodiscard]] bool has_more(bool) const { return position_ < fields_.size(); }
  // Fails if there are more fields.
  void expect_end() {
    if (has_more(false)) fail(DropReason::kMalformed);
  }

 private:
  std::uint64_t to_number(const nlohmann::json& value) {
    if (value.is_number_unsigned()) return value.get<std::uint64_t>();
    fail(DropReason::kMalformed);
    return 0;
  }
  template <class Number>
  static constexpr std::uint64_t max_of() {
    if constexpr (std::is_enum_v<Number>) {
      return std::numeric_limits<std::underlying_type_t<Number>>::max();
    } else {
      return std::numeric_limits<Number>::max();
    }
  }

  const nlohmann::json& fields_;
  std::size_t position_ = 0;
};

// Passes the fields of a message through a FieldWriter or a FieldReader. The structured bindings ensure that
// a message with an additional field does not compile until the field is listed here.
template <class Io>  // FieldWriter or FieldReader
class FieldTransfer {
 public:
  explicit FieldTransfer(Io& io) : io_(io) {}

  void operator()(Ping& message) {
    auto& [number] = message;
    transfer(number);
  }
  void operator()(PingRequest& message) {
    auto& [number, target] = message;
    transfer(number, target);
  }
  void operator()(Ack& message) {
    auto& [number, target] = message;
    transfer(number, target);
  }
  void operator()(Prepare& message) {
    auto& [epoch, ballot] = message;
    transfer(epoch, ballot);
  }
  void operator()(Promise& message) {
    auto& [epoch, ballot, accepted, plan] = message;
    transfer(epoch, ballot);
    if (!io_.has_more(accepted.has_value())) return;
    if (!accepted) accepted.emplace();
    if (!plan) plan.emplace();
    transfer(*accepted, *plan);
  }
  void operator()(Nack& message) {
    auto& [epoch, promised] = message;
    transfer(epoch, promised);
  }
  void operator()(Accept& message) {
    auto& [ballot, plan] = message;
    transfer(ballot, plan);
  }
  void operator()(Accepted& message) {
    auto& [epoch, ballot] = message;
    transfer(epoch, ballot);
  }
  void operator()(Chosen& message) {
    auto& [plan] = message;
    transfer(plan);
  }
  void operator()(RecoveryQuery& message) {
    auto& [number, epoch] = message;
    transfer(number, epoch);
  }
  void operator()(RecoveryReply& message) {
    auto& [number, epoch, is_voting, highest_voted_epoch] = message;
    transfer(number, epoch, is_voting, highest_voted_epoch);
  }
  void operator()(Lease& message) {
    auto& [epoch, remaining, query_number] = message;
    transfer(epoch, remaining, query_number);
  }
  void operator()(GossipUpdate& update) {
    auto& [member, incarnation, state] = update;
    transfer(member, incarnation, state);
  }

 private:
  template <class... Fields>
  void transfer(Fields&... fields) {
    (field(fields), ...);
  }
  template <class Number>
  void field(Number& value) {
    io_.number(value);
  }
  void field(Ballot& ballot) { transfer(ballot.round, ballot.member); }
  void field(Duration& remaining) {
    constexpr Duration kMaxLease = std::chrono::hours(1);
    auto micros = static_cast<std::uint64_t>(remaining.count());
    io_.number(micros);
    if (micros > static_cast<std::uint64_t>(kMaxLease.count())) io_.fail(DropReason::kInvalidTime);
    remaining = Duration(micros);
  }
  void field(ClusterConfig& plan) {
    transfer(plan.epoch, plan.fingerprint);
    PackedPlan packed;
    if constexpr (!Io::kIsReader) packed = packed_or_failure(plan);
    io_.number(packed.base_time);
    io_.list(packed.zones);
    io_.list(packed.retirements);
    if constexpr (Io::kIsReader) {
      if (io_.failure()) return;
      if (const auto reason = unpack(packed, plan)) io_.fail(*reason);
    }
  }
  PackedPlan packed_or_failure(const ClusterConfig& plan) {
    auto packed = pack(plan);
    if (const auto* reason = std::get_if<DropReason>(&packed)) {
      io_.fail(*reason);
      return {};
    }
    return std::get<PackedPlan>(std::move(packed));
  }

  Io& io_;
};

}  // namespace rookproxy::cluster::transport
