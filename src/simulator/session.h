// A session of the simulator's protocol, which consists of batches of messages for any number of instances
// and one reply per batch.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rookproxy/routing/router.h"
#include "simulator/instance.h"
#include "simulator/message.h"

namespace rookproxy::simulator {

// Dispatches messages to instances and collects their replies. A batch begins with `clock` and ends with
// `commit`; the messages between them are for the instance that was selected last. Not thread-safe.
class SimulatorSession {
 public:
  // Handles one line, given without its newline. Returns true if the line ended a batch, whose reply was then
  // appended to `reply` and must be written and flushed. Throws FormatError for a line that violates the
  // protocol; the session must not be used after that.
  bool handle_line(std::string_view line, std::string& reply);

  // Returns whether a batch has begun and not ended.
  [[nodiscard]] bool is_inside_batch() const { return in_batch_; }

 private:
  void begin_batch();
  void add_engine_row();
  void handle_message();
  void select_instance();
  void begin_engine_list();
  void enlist();
  void finish_batch(std::string& reply);
  SimulatedInstance& current_instance();

  // An instance and whether the current batch has messages for it.
  struct Participant {
    std::unique_ptr<SimulatedInstance> instance;
    bool in_batch = false;
  };

  Message message_;
  bool in_batch_ = false;
  routing::Time now_ = 0;  // the clock of the current batch, in microseconds
  std::unordered_map<std::string, Participant> participants_;
  std::vector<Participant*> batch_participants_;  // in the order of their first message in the batch
  std::string current_name_;
  EngineLists engine_lists_;
  std::size_t receiving_list_ = 0;  // index of the list that rows are added to
  std::size_t rows_expected_ = 0;
};

}  // namespace rookproxy::simulator
