// Validates the fields of a request frame and converts it to a request of the dispatcher.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dispatcher/dispatcher.h"
#include "frontend/frame_codec.h"

namespace rookproxy {

// The reason why a request is invalid; kNone if it is valid.
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
// Returns the error text that is sent to the client.
std::string_view frame_request_error_text(FrameRequestError error);

// A request frame. The fields, the statement and the dispatcher must outlive it.
class FrameRequest {
 public:
  FrameRequest(const Dispatcher& dispatcher, const frames::Fields& fields, std::string_view statement);

  // Checks the fields in a fixed order and returns the first error. If `tenant_from_field` is true, a field
  // of the request names the tenant; otherwise the caller's credentials determine it.
  [[nodiscard]] FrameRequestError validate(bool tenant_from_field);
  // Returns the request for the dispatcher, without its table group, because the statement is not read here.
  // The fields must be valid. Moves the tenant's name out.
  [[nodiscard]] IncomingRequest take_incoming(Time now);

  [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
  // Returns the client's id of the request, or an empty string.
  [[nodiscard]] std::string_view call_id() const { return call_id_.value_or(""); }
  [[nodiscard]] std::string_view class_name() const { return class_name_.value_or(""); }
  [[nodiscard]] std::optional<routing::ClassIndex> class_index() const { return class_index_; }
  // Returns an empty string before validation, or if the request names no known tenant.
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
