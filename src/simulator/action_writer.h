// Writes a router's actions as lines of the simulator's protocol.
#pragma once

#include <string>
#include <vector>

#include "rookproxy/routing/router.h"
#include "simulator/engine_table.h"
#include "simulator/request_table.h"

namespace rookproxy::simulator {

// Appends a line for each action to `reply`, in order, and keeps `requests` up to date: attempts that begin,
// requests that are rejected or fail. Throws std::logic_error for an action that names an unknown request and
// std::out_of_range for one that names an unknown engine.
void write_actions(const std::vector<routing::Action>& actions, const EngineTable& engines,
                   RequestTable& requests, std::string& reply);

}  // namespace rookproxy::simulator
