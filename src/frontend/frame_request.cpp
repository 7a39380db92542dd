#include "frontend/frame_request.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <memory>
#include <utility>

#include "base/numbers.h"
#include "dispatcher/routing_time.h"

namespace rookproxy {
namespace {

// Larger values are rejected, because they would distort the routing module's estimates. kMaxClassTimeouts is
// the longest timeout of a request as a multiple of its class's timeout.
constexpr int kMaxClassTimeouts = 4;
constexpr double kMaxWorkMs = 1e7;
constexpr double kMaxMemoryMb = 1e7;
constexpr double kMicrosecondsPerMillisecond = 1000;
// The maximum length of a tenant's name and of an idempotency key, in bytes.
constexpr std::size_t kMaxNameLength = 255;
constexpr std::size_t kCallIdLength = 16;

std::optional<double> parse_amount(std::string_view text) {
  const auto value = parse_number<double>(text);
  if (!value || *value < 0) return std::nullopt;
  return value;
}

bool is_hex_digit(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') ||
         (character >= 'A' && character <= 'F');
}

// The text must be a call id.
std::uint64_t parse_call_id(std::string_view text) {
  constexpr int kHexadecimal = 16;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, kHexadecimal);
  return number;
}

bool is_call_id(std::string_view text) {
  return text.size() == kCallIdLength && std::all_of(text.begin(), text.end(), is_hex_digit);
}

// Engines receive the key as a value in a list of fields, so it must not contain the separators.
bool is_idempotency_key(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character > ' ' && character < 127 && character != ',' && character != '=';
         });
}

}  // namespace

std::string_view frame_request_error_text(FrameRequestError error) {
  switch (error) {
    case FrameRequestError::kNone:
      return "";
    case FrameRequestError::kInvalidCallId:
      return "field call: not 16 hex digits";
    case FrameRequestError::kUnknownClass:
      return "field op: unknown class";
    case FrameRequestError::kTenantNameTooLong:
      return "field org: longer than a name may be";
    case FrameRequestError::kUnknownTenant:
      return "field org: unknown tenant";
    case FrameRequestError::kInvalidTimeout:
      return "field ttl: not a positive number of milliseconds";
    case FrameRequestError::kTimeoutTooLong:
      return "field ttl: far beyond what its class may take";
    case FrameRequestError::kInvalidWork:
      return "field work: not an amount";
    case FrameRequestError::kInvalidMemory:
      return "field memory: not an amount";
    case FrameRequestError::kInvalidIdempotencyKey:
      return "field dedupe: not a plain word";
    case FrameRequestError::kCallIdInUse:
      return "field call: open already";
  }
  return "unknown";
}

FrameRequest::FrameRequest(const Dispatcher& dispatcher, const frames::Fields& fields,
                           std::string_view statement)
    : dispatcher_(dispatcher),
      fields_(fields),
      statement_(statement),
      call_id_(field("call")),
      class_name_(field("op")),
      class_index_(class_name_ ? dispatcher.find_class(*class_name_) : std::nullopt) {}

std::optional<std::string_view> FrameRequest::field(std::string_view name) const {
  const auto found = fields_.find(name);
  if (found == fields_.end()) return std::nullopt;
  return found->second;
}

FrameRequestError FrameRequest::validate(bool tenant_from_field) {
  if (!call_id_ || !is_call_id(*call_id_)) return FrameRequestError::kInvalidCallId;
  if (!class_index_) return FrameRequestError::kUnknownClass;
  const routing::ClassSettings& settings = dispatcher_.class_settings(*class_index_);
  FrameRequestError error = tenant_from_field ? validate_tenant() : FrameRequestError::kNone;
  if (error == FrameRequestError::kNone) error = validate_timeout(settings);
  if (error == FrameRequestError::kNone) error = validate_estimates();
  if (error == FrameRequestError::kNone) error = validate_idempotency_key(settings);
  return error;
}

// The field is ignored if the settings define no tenants. Its value is not logged.
FrameRequestError FrameRequest::validate_tenant() {
  const auto name = field("org");
  if (!name || name->empty() || !dispatcher_.has_tenants()) return FrameRequestError::kNone;
  if (dispatcher_.find_tenant(*name)) {
    tenant_ = *name;
    return FrameRequestError::kNone;
  }
  if (name->size() > kMaxNameLength) return FrameRequestError::kTenantNameTooLong;
  // During a settings transition the client may still use a tenant that is no longer configured.
  return dispatcher_.in_settings_transition() ? FrameRequestError::kNone : FrameRequestError::kUnknownTenant;
}

FrameRequestError FrameRequest::validate_timeout(const routing::ClassSettings& settings) {
  const auto text = field("ttl");
  const auto milliseconds = text ? parse_number<std::uint32_t>(*text) : std::nullopt;
  if (!milliseconds || *milliseconds == 0) return FrameRequestError::kInvalidTimeout;
  timeout_ = std::chrono::milliseconds(*milliseconds);
  if (timeout_ > kMaxClassTimeouts * from_routing_duration(settings.timeout)) {
    return FrameRequestError::kTimeoutTooLong;
  }
  return FrameRequestError::kNone;
}

FrameRequestError FrameRequest::validate_estimates() {
  if (const auto text = field("work")) {
    work_ms_ = parse_amount(*text);
    if (!work_ms_ || *work_ms_ > kMaxWorkMs) return FrameRequestError::kInvalidWork;
  }
  if (const auto text = field("memory")) {
    memory_mb_ = parse_amount(*text);
    if (!memory_mb_ || *memory_mb_ > kMaxMemoryMb) return FrameRequestError::kInvalidMemory;
  }
  return FrameRequestError::kNone;
}

// The field is ignored for an idempotent class, which needs no key and for which engines expect none.
FrameRequestError FrameRequest::validate_idempotency_key(const routing::ClassSettings& settings) {
  if (settings.idempotency == routing::Idempotency::kIdempotent) return FrameRequestError::kNone;
  idempotency_key_ = field("dedupe");
  if (idempotency_key_ && !is_idempotency_key(*idempotency_key_)) {
    return FrameRequestError::kInvalidIdempotencyKey;
  }
  return FrameRequestError::kNone;
}

IncomingRequest FrameRequest::take_incoming(Time now) {
  const routing::ClassSettings& settings = dispatcher_.class_settings(*class_index_);
  auto query = std::make_shared<Query>();
  query->id = *call_id_;
  query->class_name = *class_name_;
  if (idempotency_key_) query->idempotency_key = *idempotency_key_;
  query->statement = statement_;
  query->writes = settings.idempotency == routing::Idempotency::kNonIdempotent;
  query->is_idempotent = settings.idempotency == routing::Idempotency::kIdempotent;
  if (!query->is_idempotent) query->execution_id = parse_call_id(*call_id_);
  IncomingRequest incoming;
  incoming.query = std::move(query);
  incoming.class_index = *class_index_;
  incoming.deadline = now + timeout_;
  if (work_ms_ && *work_ms_ > 0) {
    incoming.estimated_work = Duration(std::llround(*work_ms_ * kMicrosecondsPerMillisecond));
  }
  if (memory_mb_ && *memory_mb_ > 0) incoming.estimated_memory_mb = memory_mb_;
  incoming.tenant = std::move(tenant_);
  return incoming;
}

}  // namespace rookproxy
