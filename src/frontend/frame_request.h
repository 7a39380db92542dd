// A request frame of the platform's protocol: validates its fields and turns it into a dispatcher's request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dispatcher/dispatcher.h"
#include "frontend/frame_codec.h"

namespace rookproxy {

/// Why a request cannot be used; kNone if it can.
enum class FrameRequestError {
  kNone,
  kInvalidCallId,
  kUnknownClass,
  kTenantNameTooLong,
  kUnknownTenant,
  kInvalidTimeout,
  kTimeoutTooLong,
  kInvalidWork,
  kInvalidMemory,
  kInvalidIdempotencyKey,
  kCallIdInUse
};
/// The error as its client is told.
std::string_view frame_request_error_text(FrameRequestError error);

/// The fields of one request frame. The fields, the statement and the dispatcher must outlive it.
class FrameRequest {
 public:
  FrameRequest(const Dispatcher& dispatcher, const frames::Fields& fields, std::string_view statement);

  /// Checks the fields in a fixed order up to the first error. `tenant_from_field`: the request itself names
  /// its tenant; otherwise callers are identified, and what they proved says whose they are.
  [[nodiscard]] FrameRequestError validate(bool tenant_from_field);
  /// The request for the dispatcher, once the fields are valid. Moves the tenant's name out.
  [[nodiscard]] IncomingRequest take_incoming(Time now);

  [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
  /// The client's id for the request, or an empty string.
  [[nodiscard]] std::string_view call_id() const { return call_id_.value_or(""); }
  [[nodiscard]] std::string_view class_name() const { return class_name_.value_or(""); }
  [[nodiscard]] std::optional<routing::ClassIndex> class_index() const { return class_index_; }
  /// Empty until the field is validated, and where the request names no known tenant.
  [[nodiscard]] const std::string& tenant() const { return tenant_; }

 private:
  FrameRequestError validate_tenant();
  FrameRequestError validate_timeout(const routing::ClassSettings& settings);
  FrameRequestError validate_estimates();
  FrameRequestError validate_idempotency_key(const routing::ClassSettings& settings);

  const Dispatcher& dispatcher_;
  const frames::Fields& fields_;
  std::string_view statement_;
  std::optional<std::string_view> call_id_;
  std::optional<std::string_view> class_name_;
  std::optional<routing::ClassIndex> class_index_;
  std::string tenant_;
  Duration timeout_{};
  std::optional<double> work_ms_;
  std::optional<double> memory_mb_;
  std::optional<std::string_view> idempotency_key_;
};

}  // namespace rookproxy
