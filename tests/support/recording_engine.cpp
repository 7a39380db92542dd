#include "support/recording_engine.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>

#include "support/require.h"

namespace rookproxy::test {
namespace {

constexpr auto kDrainTime = std::chrono::milliseconds(20);
const std::string kRequestCommand = "REQ ";

}  // namespace

void RecordingEngine::unblock_connects() { accept_queue_.drain(listener_, kDrainTime); }

void RecordingEngine::read_all() {
  while (has_waiting_connection()) connections_.emplace_back(accept_connection(listener_));
  for (TestConnection& connection : connections_) {
    while (connection.fd() && !connection.has_ended() && connection.read_more({})) continue;
  }
}

std::vector<std::string> RecordingEngine::ids() {
  read_all();
  std::vector<std::string> ids;
  for (TestConnection& connection : connections_) {
    std::istringstream lines(connection.buffer());
    for (std::string line; std::getline(lines, line);) {
      if (!line.starts_with(kRequestCommand)) continue;
      const auto id_end = line.find(' ', kRequestCommand.size());
      ids.push_back(line.substr(kRequestCommand.size(), id_end - kRequestCommand.size()));
    }
  }
  return ids;
}

bool RecordingEngine::has(const std::string& id) {
  const auto all = ids();
  return std::find(all.begin(), all.end(), id) != all.end();
}

TestConnection& RecordingEngine::connection_of(const std::string& id) {
  for (TestConnection& connection : connections_) {
    if (connection.buffer().find(kRequestCommand + id + " ") != std::string::npos) return connection;
  }
  fail_test("no such request");
}

void RecordingEngine::serve(const std::string& id) {
  connection_of(id).send(id + " data parts=1 3\r\nok\n\r\n");
}

void RecordingEngine::reset(const std::string& id) {
  set_reset_on_close(connection_of(id).fd());
  connection_of(id).close();
}

}  // namespace rookproxy::test
