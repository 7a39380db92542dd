#include "dispatcher/metrics.h"

namespace rookproxy {
namespace {

void count(ClassMetrics& metrics, ResponseStatus status) {
  switch (status) {
    case ResponseStatus::kServed:
      ++metrics.served;
      return;
    case ResponseStatus::kRejected:
      ++metrics.rejected;
      return;
    case ResponseStatus::kFailed:
      ++metrics.failed;
      return;
  }
}

}  // namespace

void record_response(Metrics& metrics, const std::string& class_name, ResponseStatus status,
                     std::string_view tenant) {
  count(metrics.by_class[class_name], status);
  if (!tenant.empty()) count(metrics.by_tenant[std::string(tenant)][class_name], status);
}

}  // namespace rookproxy
