// Decides what happens to the long data of a prepared statement, as the published protocol has it: it is for
// the next execution alone, whether that runs or not.
//
//   state      data arrives                    an execution                     a reset
//   open       stored; too large or refused    gets the data and leaves none    drops the data
//              if it must not be
//   too large  ignored                         fails                            open
//   refused    ignored                         fails; then open                 open
//
// Like a server, a statement that was sent too much fails until it is reset. One whose data was refused for
// lack of memory can be tried again.
#pragma once

#include <cstddef>

namespace rookproxy::policy {

// Why a statement can't be executed with the long data that was sent for it.
enum class LongDataError { kNone, kTooLarge, kRefused };

// The state of one prepared statement's long data. The caller holds the data.
class LongDataState {
 public:
  explicit LongDataState(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Data arrives. Returns whether it may be stored; if not, all that is stored must be dropped.
  [[nodiscard]] bool on_data(std::size_t bytes);
  // There is no memory for the data. All that is stored must be dropped.
  void on_refused();
  // The statement is to be executed. Returns what it fails with. Afterwards nothing may be stored any more.
  LongDataError on_execution();
  // Afterwards nothing may be stored any more.
  void on_reset();

 private:
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  LongDataError error_ = LongDataError::kNone;
};

}  // namespace rookproxy::policy
