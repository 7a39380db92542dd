#include <cstdio>

#include "rookproxy/routing/router.h"

int main() {
  rookproxy::routing::Settings settings;
  settings.max_attempts = 3;
  settings.machine_types.push_back({"small", 8.0, 16384.0});
  rookproxy::routing::ClassSettings lookup;
  lookup.name = "lookup";
  lookup.latency_objective = 300'000;
  lookup.timeout = 2'000'000;
  settings.classes.push_back(lookup);
  rookproxy::routing::Router router(settings);

  rookproxy::routing::EngineList list;
  list.entries.push_back({.id = 0, .name = "engine-a"});
  rookproxy::routing::RequestArrived query;
  query.id = 1;
  query.deadline = 2'000'000;
  query.group = 7;
  query.work = 50'000;

  std::vector<rookproxy::routing::Action> actions;
  router.handle(0, {list, query}, actions);
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<rookproxy::routing::Send>(&action)) {
      std::printf("send query %llu to engine %u\n", static_cast<unsigned long long>(send->request),
                  send->engine);
    }
  }
}
