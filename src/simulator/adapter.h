// The bench's wire (onyx-2a1b) to the module's interface and back. Carries; judges nothing.
#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::simulator {

using routing::Action;
using routing::AttemptEnded;
using routing::AttemptUpdate;
using routing::AttemptUpdateKind;
using routing::Cancel;
using routing::ClassSettings;
using routing::ClientDisconnected;
using routing::EngineEntry;
using routing::EngineId;
using routing::EngineList;
using routing::EngineListKind;
using routing::EngineListMode;
using routing::EngineState;
using routing::Event;
using routing::Fail;
using routing::Idempotency;
using routing::IdempotencyScope;
using routing::LoadReport;
using routing::Log;
using routing::MachineTypeSettings;
using routing::MemoryPressure;
using routing::Outcome;
using routing::Probe;
using routing::ProbeEnded;
using routing::Reject;
using routing::RequestArrived;
using routing::RequestId;
using routing::ResponseStarted;
using routing::RetryBudget;
using routing::Router;
using routing::Send;
using routing::SetExecutionOptions;
using routing::SetTimer;
using routing::Settings;
using routing::SlowStart;
using routing::SubscribeEngineList;
using routing::Time;
using routing::TimerFired;

struct FormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads the pairs of `enlist`. Unknown settings are skipped; known ones that are malformed throw WireError.
Settings parse_settings(std::uint64_t seed, const std::vector<std::string_view>& pairs);

// Hosts any number of instances. Feed it lines; after `commit` it appends one reply.
class SimulatorSession {
 public:
  SimulatorSession();
  ~SimulatorSession();
  // Takes one line without its end. True if the line closed a batch and `reply` is to be written and flushed.
  bool handle_line(std::string_view line, std::string& reply);
  bool is_inside_batch() const;

 private:
  struct Instance;
  struct EngineRow;
  void take_event(std::string_view line);
  void write_reply(std::string& reply);
  void write_actions(Instance& instance, std::string& reply);
  Instance& current();

  std::unordered_map<std::string, std::unique_ptr<Instance>> instances_;
  std::vector<Instance*> touched_;
  std::string current_name_;
  std::array<std::vector<EngineRow>, 16> engine_lists_;
  std::size_t rows_expected_ = 0;
  std::size_t receiving_list_ = 0;
  bool in_batch_ = false;
  Time now_ = 0;
  std::vector<std::string_view> fields_;
};

// Runs the protocol between the streams; returns the process's exit code.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace rookproxy::simulator
