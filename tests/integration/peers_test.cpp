// Peers that the configuration lists: what is read, what is refused by name, and what a reload changes.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "fakes/temporary_directory.h"
#include "net/socket_address.h"
#include "support/minimal_config.h"
#include "support/scenario.h"

namespace rookproxy::test {
namespace {

// A part of the configuration, and how the error that it causes begins.
struct InvalidPeers {
  std::string patch;
  std::string error;
};

TEST_CASE("peers: the shapes that say the same are read the same") {
  const SocketAddress first{0x0a000001, 7000};
  const SocketAddress second{0x0a000002, 7001};
  for (const char* peers :
       {R"(["10.0.0.1:7000","10.0.0.2:7001"])", R"({"0":"10.0.0.1:7000","1":"10.0.0.2:7001"})",
        R"([{"name":"0","address":"10.0.0.1:7000"},{"id":1,"host_port":"10.0.0.2:7001"}])",
        R"([{"addr":"10.0.0.1:7000"},"10.0.0.2:7001"])"}) {
    INFO(peers);
    const Config config = read_config(minimal_config(std::string(R"({"peers":)") + peers + "}"));
    CHECK_FALSE(config.peers_error);
    REQUIRE(config.peers);
    CHECK(config.peers->listen == SocketAddress{0x0a000009, 7000});
    CHECK(config.peers->peers == std::vector<PeerConfig>{{"0", first}, {"1", second}});
    CHECK_FALSE(config.peers->broadcast_address);
  }
  const Config named = read_config(
      minimal_config(R"({"peers":{"n10":"10.0.0.1:7000","n2":"10.0.0.2:7001"},"peers_all":"10.0.0.3:7"})"));
  REQUIRE(named.peers);
  CHECK(named.peers->peers.front().name == "n2");
  CHECK(named.peers->broadcast_address == SocketAddress{0x0a000003, 7});
}

TEST_CASE("peers: what can't be used is named by its key and stops nobody") {
  // Guards against a dispatcher that does not start, or does not reread, for want of what it can do without.
  nlohmann::json many = nlohmann::json::array();
  for (int i = 0; i < 1025; ++i) many.push_back("10.0.0.1:" + std::to_string(1000 + i));
  const std::vector<InvalidPeers> invalid{
      {R"({"peers":"10.0.0.1:7000"})", "peers: neither a list"},
      {R"({"peers":7})", "peers: neither a list"},
      {R"({"peers":["10.0.0.1:7000","somewhere"]})", "peers.1: not an address"},
      {R"({"peers":["10.0.0.1"]})", "peers.0: not an address"},
      {R"({"peers":["10.0.0.1:0"]})", "peers.0: not an address"},
      {R"({"peers":[["a","10.0.0.1:7"]]})", "peers.0: not an address"},
      {R"({"peers":{"n1":7}})", "peers.n1: not an address"},
      {R"({"peers":[{"name":"n1"}]})", "peers.0: names no"},
      {R"({"peers":[{"name":["n"],"address":"10.0.0.1:7"}]})", "peers.0.name: neither"},
      {R"({"peers":["10.0.0.1:7","10.0.0.1:7"]})", "peers: there twice"},
      {R"({"peers":[{"name":"a","address":"10.0.0.1:7"},{"name":"a","address":"10.0.0.1:8"}]})",
       "peers: two are"},
      {R"({"peers":)" + many.dump() + "}", "peers: more than 1024"},
      {R"({"peers_all":["10.0.0.1:7"]})", "peers_all: not an address"},
      {R"({"peer_listen":"here"})", "peer_listen: not an address"},
      {R"({"peers":["10.0.0.1:7"],"peer_listen":null})", "peer_listen: missing"},
      {R"({"peers":["10.0.0.1:7"],"settings":{"permissions":{"may_tell":"yes"}}})",
       "settings.permissions.may_tell: neither"},
  };
  for (const bool may_tell : {true, false}) {
    for (const auto& [patch, error] : invalid) {
      INFO(patch);
      const Config config = read_config(minimal_config(patch, may_tell));
      REQUIRE(config.peers_error);
      CHECK(std::string(config.peers_error->what()).starts_with(error));
      CHECK_FALSE(config.peers);
    }
  }
  for (const char* no_peers : {R"({})", R"({"peers":[]})", R"({"peers":{},"peer_listen":null})"}) {
    INFO(no_peers);
    CHECK_FALSE(read_config(minimal_config(no_peers)).peers_error);
    CHECK_FALSE(read_config(minimal_config(no_peers)).peers);
  }
  const Config forbidden = read_config(minimal_config(R"({"peers":["10.0.0.1:7"]})", false));
  CHECK_FALSE(forbidden.peers_error);
  CHECK_FALSE(forbidden.peers);
}

TEST_CASE(
    "peers: a change of settings takes fresh ones, keeps those it does not name and the address we hear at") {
  const auto load = [](const std::string& patch, bool may_tell = true) {
    auto document = minimal_config(patch, may_tell);
    Config config = read_config(document);
    config.document = std::make_shared<const nlohmann::json>(std::move(document));
    return config;
  };
  const Config running = load(R"({"peers":["10.0.0.1:7"]})");
  CHECK(peers_after_reload(running, load("{}")) == running.peers);
  CHECK(peers_after_reload(running, load(R"({"peers":7})")) == running.peers);
  CHECK_FALSE(peers_after_reload(running, load(R"({"peers":[]})")));
  CHECK_FALSE(peers_after_reload(running, load("{}", false)));
  const auto moved =
      peers_after_reload(running, load(R"({"peers":["10.0.0.2:7"],"peer_listen":"10.0.0.9:8"})"));
  REQUIRE(moved);
  CHECK(moved->listen == running.peers->listen);
  CHECK(moved->peers.front().address == SocketAddress{0x0a000002, 7});
}

TEST_CASE("peers: a running dispatcher says what is wrong with them and serves, and rereads without them") {
  run_scenario(R"(
    engines a
    set /settings/permissions/may_tell false
    set /peers "telex"
    start
    expect log peer list ignored: peers: neither a list
    client c
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    answer a c 1 one\n
    set /settings/permissions/may_tell true
    set /peers {"t1":"127.0.0.1:7001","t2":"127.0.0.1:7002"}
    set /peer_listen "127.0.0.1:7001"
    reload
    expect log peer list loaded
    set /peers null
    reload
    expect figure loads=2
    expect figure load_errors=0)");
}

TEST_CASE("peers: --check names what is wrong with them") {
  const TemporaryDirectory directory;
  const std::string file = directory.file("peers.toml");
  const std::string output = directory.file("out");
  const std::ifstream example(ROOKPROXY_ROOT "/deploy/mysql.toml");
  std::ofstream(file) << "peers = [\"nowhere\"]\n" << example.rdbuf();
  const int status =
      std::system((ROOKPROXY_BINARY " --file " + file + " --check > " + output + " 2>&1").c_str());
  CHECK(WEXITSTATUS(status) == 2);
  CHECK(read_file(output).find("peers.0: not an address") != std::string::npos);
}

}  // namespace
}  // namespace rookproxy::test
