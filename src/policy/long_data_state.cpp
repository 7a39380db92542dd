#include "policy/long_data_state.h"

namespace rookproxy::policy {

bool LongDataState::on_data(std::size_t bytes) {
  if (error_ != LongDataError::kNone) return false;
  if (bytes > max_bytes_ - bytes_) {
    error_ = LongDataError::kTooLarge;
    return false;
  }
  bytes_ += bytes;
  return true;
}

void LongDataState::on_refused() { error_ = LongDataError::kRefused; }

LongDataError LongDataState::on_execution() {
  const LongDataError error = error_;
  if (error != LongDataError::kTooLarge) on_reset();
  return error;
}

void LongDataState::on_reset() {
  bytes_ = 0;
  error_ = LongDataError::kNone;
}

}  // namespace rookproxy::policy
