// One dispatcher as the simulator plays it: a router, and the names that the protocol has for what it deals
// with.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rookproxy/routing/router.h"
#include "simulator/engine_table.h"
#include "simulator/message.h"
#include "simulator/request_table.h"

namespace rookproxy::simulator {

// How many lists of engines the protocol numbers.
inline constexpr std::size_t kEngineListCount = 16;

// One engine of a list, with the names that each instance numbers for itself.
struct EngineRow {
  routing::EngineEntry entry;  // without its id, zone and machine type
  std::string zone;
  std::string machine_type;
};

// The lists of engines that the instances of a session share, by their numbers.
using EngineLists = std::array<std::vector<EngineRow>, kEngineListCount>;

// Gathers the events of a batch from messages and lets the router answer them at the batch's end. Used by one
// thread at a time; instances share nothing but the lists of engines, which they only read.
class SimulatedInstance {
 public:
  explicit SimulatedInstance(std::string name) : name_(std::move(name)) {}

  [[nodiscard]] const std::string& name() const { return name_; }

  // Whether it runs: it was enlisted and not destroyed since.
  [[nodiscard]] bool is_running() const { return running_; }

  // Starts afresh with the settings of `enlist`. Throws FormatError for malformed settings.
  // Settings that the router turns down are no error here: each batch is then answered with that fault.
  void enlist(std::uint64_t seed, const std::vector<std::string_view>& pairs);

  // Takes a message of a running instance. Throws FormatError for one that is unknown or malformed.
  void handle_message(const Message& message, const EngineLists& engine_lists);

  // Lets the router handle the batch's events and appends its actions, or its fault, to `reply`. Does nothing
  // if the instance does not run.
  void finish_batch(routing::Time now, std::string& reply);

 private:
  struct MessageHandler;

  void destroy(const Message& message, const EngineLists& engine_lists);
  void update_engines(const Message& message, const EngineLists& engine_lists);
  void request_arrived(const Message& message, const EngineLists& engine_lists);
  void attempt_ended(const Message& message, const EngineLists& engine_lists);
  void response_started(const Message& message, const EngineLists& engine_lists);
  void attempt_progressed(const Message& message, const EngineLists& engine_lists);
  void request_cancelled(const Message& message, const EngineLists& engine_lists);
  void timer_fired(const Message& message, const EngineLists& engine_lists);
  void probe_ended(const Message& message, const EngineLists& engine_lists);
  void ignore(const Message& message, const EngineLists& engine_lists);

  void reset();
  std::uint64_t number_of_key(std::string_view key);
  std::optional<std::string> run_router(routing::Time now);
  void release_finished_requests();

  std::string name_;
  bool running_ = false;
  std::unique_ptr<routing::Router> router_;
  std::string settings_error_;  // what the router found wrong with its settings; empty if nothing
  std::vector<std::string> class_names_;
  std::vector<std::string> tenant_names_;
  std::vector<std::string> zone_names_;
  std::vector<std::string> machine_type_names_;
  std::vector<routing::Event> events_;
  std::vector<routing::Action> actions_;
  RequestTable requests_;
  EngineTable engines_;
  std::unordered_map<std::string, std::uint64_t> keys_;
};

}  // namespace rookproxy::simulator
