// The state that the steps of a scenario share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/credential_fixture.h"
#include "fakes/fake_discovery_server.h"
#include "fakes/fake_mysql_engine.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/frames_client.h"
#include "support/mysql_client.h"
#include "support/scripted_line_engine.h"

namespace rookproxy::test {

// A client of either frontend.
using ScenarioClient = std::variant<FramesClient, MysqlClient>;

// The dispatchers, engines, clients and credentials of a scenario. Maps are keyed by the names in its steps.
struct ScenarioState {
  TemporaryDirectory directory;
  nlohmann::json config = default_dispatcher_config();

  CredentialFixture credentials{directory.path()};
  std::map<std::string, std::string> tokens;

  std::unique_ptr<FakeDiscoveryServer> discovery_server = std::make_unique<FakeDiscoveryServer>();
  FileDescriptor unresponsive_discovery;  // Replaces the server and never answers.

  std::map<std::string, ScriptedLineEngine> line_engines;
  std::map<std::string, std::unique_ptr<FakeMysqlEngine>> mysql_engines;
  std::map<std::string, std::unique_ptr<AutoReplyLineEngine>> auto_reply_engines;

  DispatcherProcess previous_process;  // The process before the upgrade.
  DispatcherProcess process;
  int start_count = 0;
  std::vector<FileDescriptor> inherited_sockets;
  std::size_t descriptor_limit = 0;  // 0: no limit is set.
  bool has_system_call_filter = false;
  std::uint16_t frames_port = 0;
  std::uint16_t mysql_port = 0;

  std::map<std::string, ScenarioClient> clients;
  std::vector<TestConnection> open_connections;  // Connections without a name.
  std::string admin_response;
  std::uint64_t last_call_id = 0;
  std::uint32_t last_stream_id = 1000;

  // Returns the token of that name, or the text itself if there is no such token.
  [[nodiscard]] const std::string& token_or_text(const std::string& text) const {
    const auto found = tokens.find(text);
    return found == tokens.end() ? text : found->second;
  }
};

}  // namespace rookproxy::test
