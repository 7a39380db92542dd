#include "simulator/session.h"

#include <array>
#include <cstdint>
#include <utility>

namespace rookproxy::simulator {
namespace {

constexpr auto kEngineStates = std::to_array<settings::Keyword<routing::EngineState>>({
    {"SERVING", routing::EngineState::kServing},
    {"DRAINING", routing::EngineState::kDraining},
    {"DELETED", routing::EngineState::kRemoved},
});

}  // namespace

bool SimulatorSession::handle_line(std::string_view line, std::string& reply) {
  message_.parse(line);
  if (!in_batch_) {
    begin_batch();
  } else if (rows_expected_ > 0) {
    add_engine_row();
  } else if (message_.name() == "commit") {
    message_.require_values(0, 0);
    finish_batch(reply);
    return true;
  } else {
    handle_message();
  }
  return false;
}

void SimulatorSession::begin_batch() {
  if (message_.name() != "clock")
    settings::throw_format_error("a batch starts with clock, not", message_.name());
  message_.require_values(1, 1);
  const routing::Time now = settings::read_time(message_.value(1), "clock");
  if (now < now_) settings::throw_format_error("the clock went backward", message_.value(1));
  now_ = now;
  in_batch_ = true;
  current_name_.clear();
}

void SimulatorSession::add_engine_row() {
  enum Field { kName = 1, kStartedAt, kState, kZone, kCell, kWeight, kMachineType };
  if (message_.name() != "row") {
    settings::throw_format_error("a row of the directory is missing before", message_.name());
  }
  message_.require_values(kMachineType, kMachineType);
  if (!message_.has(kName)) throw settings::FormatError("row without an engine");
  EngineRow row;
  row.entry.name = message_.value(kName);
  if (message_.has(kStartedAt))
    row.entry.started_at = settings::read_time(message_.value(kStartedAt), "launched");
  row.entry.state = settings::read_keyword(kEngineStates, message_.value(kState), "status");
  row.zone = message_.value(kZone);
  if (message_.has(kCell))
    row.entry.cell = settings::read_integer<std::uint32_t>(message_.value(kCell), "unit_group");
  if (message_.has(kWeight)) row.entry.weight = settings::read_number(message_.value(kWeight), "weight");
  row.machine_type = message_.value(kMachineType);
  engine_lists_[receiving_list_].push_back(std::move(row));
  --rows_expected_;
}

// Handles a message inside a batch: those of the session itself here, all others by the current instance.
void SimulatorSession::handle_message() {
  if (message_.name() == "target_instance") return select_instance();
  if (message_.name() == "directory") return begin_engine_list();
  if (message_.name() == "enlist") return enlist();
  SimulatedInstance& instance = current_instance();
  if (!instance.is_running()) {
    throw settings::FormatError(std::string(message_.quoted_name()) +
                                " for an instance never enlisted: " + instance.name());
  }
  instance.handle_message(message_, engine_lists_);
}

void SimulatorSession::select_instance() {
  message_.require_values(1, 1);
  if (!message_.has(1)) throw settings::FormatError("target_instance without a name");
  current_name_ = message_.value(1);
}

void SimulatorSession::begin_engine_list() {
  enum Field { kListNumber = 1, kRowCount };
  message_.require_values(kRowCount, kRowCount);
  receiving_list_ = settings::read_integer<std::uint32_t>(message_.value(kListNumber), "roster_id");
  if (receiving_list_ >= engine_lists_.size()) {
    settings::throw_format_error("roster_id is out of range", message_.value(kListNumber));
  }
  rows_expected_ = settings::read_integer<std::uint32_t>(message_.value(kRowCount), "entries");
  engine_lists_[receiving_list_].clear();
}

void SimulatorSession::enlist() {
  enum Field { kSeed = 1, kFirstSetting };
  message_.require_values(kSeed, SIZE_MAX);
  SimulatedInstance& instance = current_instance();
  if (instance.is_running()) settings::throw_format_error("enlisted twice", instance.name());
  const auto seed = settings::read_integer<std::uint64_t>(message_.value(kSeed), "nonce64");
  instance.enlist(seed, message_.values_from(kFirstSetting));
}

void SimulatorSession::finish_batch(std::string& reply) {
  in_batch_ = false;
  for (Participant* participant : batch_participants_) {
    participant->in_batch = false;
    participant->instance->finish_batch(now_, reply);
  }
  batch_participants_.clear();
  reply += "finished\n";
}

SimulatedInstance& SimulatorSession::current_instance() {
  if (current_name_.empty()) throw settings::FormatError("event before any target_instance");
  Participant& participant = participants_[current_name_];
  if (!participant.instance) participant.instance = std::make_unique<SimulatedInstance>(current_name_);
  if (!participant.in_batch) {
    participant.in_batch = true;
    batch_participants_.push_back(&participant);
  }
  return *participant.instance;
}

}  // namespace rookproxy::simulator
