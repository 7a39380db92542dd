// A dispatcher instance in the simulator: a router, and the mapping between its ids and the protocol's names.
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

// The number of engine lists in the protocol, which numbers them from 0.
inline constexpr std::size_t kEngineListCount = 16;

// An engine of a list, with the names that each instance maps to its own ids.
struct EngineRow {
  routing::EngineEntry entry;  // its id, zone and machine type are not set
  std::string zone;
  std::string machine_type;
};

// The engine lists that the instances of a session share, by number.
using EngineLists = std::array<std::vector<EngineRow>, kEngineListCount>;

// Collects the events of a batch from messages and passes them to the router at the end of the batch. Not
// thread-safe. Instances share only the engine lists, which they do not change.
class SimulatedInstance {
 public:
  explicit SimulatedInstance(std::string name) : name_(std::move(name)) {}

  [[nodiscard]] const std::string& name() const { return name_; }

  // Returns whether the instance was enlisted and has not been destroyed since.
  [[nodiscard]] bool is_running() const { return running_; }

  // Discards all state and starts with the settings of an `enlist` message. Throws FormatError for malformed
  // settings. If the router rejects the settings, the reply to each batch is the router's error message.
  void enlist(std::uint64_t seed, const std::vector<std::string_view>& pairs);

  // Handles a message for a running instance. Throws FormatError if it is unknown or malformed.
  void handle_message(const Message& message, const EngineLists& engine_lists);

  // Passes the batch's events to the router and appends its actions, or its error message, to `reply`. Does
  // nothing if the instance is not running.
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
  std::string settings_error_;  // the router's error message for its settings; empty if they are valid
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
