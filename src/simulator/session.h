// A session of the simulator's protocol: batches of messages for any number of instances, one reply for each
// batch.
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

// A batch begins with `clock` and ends with `commit`; between them messages go to the instance that was last
// named. Carries messages and replies and decides nothing. Used by one thread at a time.
class SimulatorSession {
 public:
  // Takes one line without its end. Returns true if the line ended a batch: its reply has been appended to
  // `reply` and has to be written and flushed. Throws FormatError for a line that the protocol
  // doesn't allow, after which the session is not to be used.
  bool handle_line(std::string_view line, std::string& reply);

  // Whether a batch has begun that has not ended.
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

  // An instance and its part in the batch that is being read.
  struct Participant {
    std::unique_ptr<SimulatedInstance> instance;
    bool in_batch = false;  // named in the batch that is being read
  };

  Message message_;
  bool in_batch_ = false;
  routing::Time now_ = 0;  // microseconds, of the batch that is being read
  std::unordered_map<std::string, Participant> participants_;
  std::vector<Participant*> batch_participants_;  // in the order in which the batch named them
  std::string current_name_;
  EngineLists engine_lists_;
  std::size_t receiving_list_ = 0;  // the list that rows go to
  std::size_t rows_expected_ = 0;
};

}  // namespace rookproxy::simulator
