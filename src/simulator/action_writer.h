// Writes a router's actions as lines of the simulator's protocol.
#pragma once

#include <string>
#include <vector>

#include "rookproxy/routing/router.h"
#include "simulator/engine_table.h"
#include "simulator/request_table.h"

namespace rookproxy::simulator {

// Appends a line for each action to `reply`, in order, and records started attempts and rejected or failed
// requests in `requests`. Throws std::logic_error for an action on an unknown request and std::out_of_range
// for an action on an unknown engine.
void write_actions(const std::vector<routing::Action>& actions, const EngineTable& engines,
                   RequestTable& requests, std::string& reply);

}  // namespace rookproxy::simulator
