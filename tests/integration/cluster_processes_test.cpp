// Dispatchers of one cluster as real processes, with a fault-injecting network between them.
#include <signal.h>
#include <sys/stat.h>
#include <fstream>
#include <thread>

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <optional>

#include "fakes/fault_injecting_network_thread.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/require.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;
using Values = std::vector<std::uint64_t>;

const std::string kKeyText = "0123456789abcdef0123456789abcdef-fleet";

// An address of this process's own, so that fixed ports meet nobody's.
std::string own_address(std::size_t member) {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + (pid >> 16) % 64) + "." + std::to_string(pid >> 8 & 255) + "." +
         std::to_string(pid & 255) + ":" + std::to_string(7100 + member);
}

void write_key(const std::string& path, const std::string& text, mode_t mode = 0600) {
  std::ofstream(path) << text;
  ::chmod(path.c_str(), mode);
}

json fleet_config(std::size_t members, std::size_t self, const std::vector<std::string>& peers) {
  json config = default_dispatcher_config();
  config["seed"] = "5";  // the same everywhere, as operators have it
  config["engines"] =
      json::array({{{"id", "e"}, {"host_port", "127.0.0.1:9"}, {"locality", "z"}, {"flavor", "m"}}});
  config["peers"] = peers;
  config["peer_listen"] = own_address(self);
  config["settings"]["fleet_size"] = members;
  config["settings"]["ordinal"] = self;
  config["settings"]["permissions"]["may_tell"] = true;
  return config;
}

class Fleet {
 public:
  explicit Fleet(std::size_t members, std::uint64_t seed = 1) : relay_(seed), members_(members) {
    for (std::size_t i = 0; i < members; ++i) {
      doors_.push_back(relay_.run_on_thread([&](FaultInjectingNetwork& relay) {
        relay.set_real_address(node(i), *parse_socket_address(own_address(i)));
        return relay.proxy_address_of(node(i)).to_string();
      }));
    }
    for (std::size_t i = 0; i < members; ++i) {
      Member& one = members_[i];
      one.folder = root_ + "/" + std::to_string(i);
      std::filesystem::create_directory(one.folder);
      write_key(one.folder + "/key", kKeyText);
      std::ofstream(one.folder + "/fleet.toml")
          << "[fleet]\nkey = \"key\"\nperiod_ms = 100\nlease_ms = 1000\n";
      zones(i, {"z"});
    }
  }
  ~Fleet() {
    members_.clear();
    std::filesystem::remove_all(root_);
  }
  template <class Act>
  void net(Act act) {
    relay_.run_on_thread([&](FaultInjectingNetwork& relay) { act(relay); });
  }
  static NodeId node(std::size_t i) { return static_cast<NodeId>(i); }
  // Nothing passes between this member and the others, as far as the ways go.
  void cut(std::size_t member, bool out, bool in, bool is_cut = true) {
    net([&](FaultInjectingNetwork& relay) {
      for (std::size_t i = 0; i < members_.size(); ++i) {
        LinkRule rule;
        rule.is_partitioned = is_cut;
        if (i != member && out) relay.set_rule(node(member), node(i), rule);
        if (i != member && in) relay.set_rule(node(i), node(member), rule);
      }
    });
  }
  const std::string& folder(std::size_t i) const { return members_[i].folder; }
  DispatcherProcess& process(std::size_t i) { return members_[i].process; }
  void zones(std::size_t i, const std::vector<std::string>& names) {
    json config = fleet_config(members_.size(), i, doors_);
    config["settings"]["localities"] = names;
    std::ofstream(members_[i].folder + "/config.json") << config.dump();
  }
  void start(std::size_t i, DispatcherProcess& process) {
    const std::string& folder = members_[i].folder;
    process.start({.directory = folder,
                   .log_path = folder + "/log" + std::to_string(++members_[i].starts),
                   .operator_file = folder + "/fleet.toml"});
    process.wait_for_log("ready to serve");
  }
  void start(std::size_t i) { start(i, process(i) = DispatcherProcess()); }
  void start() {
    for (std::size_t i = 0; i < members_.size(); ++i) start(i);
  }

  std::uint64_t figure(std::size_t i, const std::string& name) {
    const std::string all = call_admin(process(i), "METRICS"), before = "\nsvc.fleet." + name + "=";
    const auto at = all.find(before);
    return at == std::string::npos ? 0 : std::stoull(all.substr(at + before.size()));
  }
  Values everywhere(const std::string& name) {
    Values all;
    for (std::size_t i = 0; i < members_.size(); ++i) all.push_back(figure(i, name));
    return all;
  }
  template <class Holds>
  void wait(const std::string& what, Holds holds) {
    const auto until = std::chrono::steady_clock::now() + 2 * kWaitLimit;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > until) {
        std::string text = "never: " + what + "\n";
        for (std::size_t i = 0; i < members_.size(); ++i)
          text += process(i).log() + call_admin(process(i), "METRICS") + "\n";
        fail_test(text);
      }
      std::this_thread::sleep_for(20ms);
    }
  }
  void wait(std::size_t i, const std::string& name, std::uint64_t value) {
    wait(std::to_string(i) + ": " + name + "=" + std::to_string(value),
         [&] { return figure(i, name) == value; });
  }
  void wait_all(const std::string& name, std::uint64_t value) {
    for (std::size_t i = 0; i < members_.size(); ++i) wait(i, name, value);
  }
  // All know all, act as one, and hold one epoch.
  void wait_whole() {
    wait("whole", [&] {
      const Values epochs = everywhere("epoch");
      return everywhere("standing") == Values(members_.size(), 2) &&
             everywhere("alive") == Values(members_.size(), members_.size()) &&
             epochs == Values(members_.size(), epochs[0]);
    });
    CHECK(everywhere("contradictions") == Values(members_.size(), 0));
  }

 private:
  struct Member {
    std::string folder;
    DispatcherProcess process;
    int starts = 0;
  };
  std::string root_ = make_temporary_directory();
  FaultInjectingNetworkThread relay_;
  std::vector<std::string> doors_;
  std::vector<Member> members_;
};

// For a while that is no verdict: what must not be is looked at all along.
template <class Holds>
void all_along(std::chrono::milliseconds span, Holds holds) {
  for (const auto until = std::chrono::steady_clock::now() + span;
       std::chrono::steady_clock::now() < until;) {
    REQUIRE(holds());
    std::this_thread::sleep_for(20ms);
  }
}

}  // namespace

TEST_CASE(
    "cluster processes: all members see all and share one plan, with datagrams lost, duplicated and "
    "reordered") {
  struct Row {
    const char* name;
    std::size_t members;
    double drop, twice, swap;
    bool apart;  // two never hear one another: each knows the other by a third's rumours alone
  };
  for (const Row& row : {Row{"quiet", 3, 0, 0, 0, false}, Row{"five, bad", 5, 0.05, 0.05, 0.05, false},
                         Row{"each datagram twice", 3, 0, 1, 0, false}, Row{"two apart", 3, 0, 0, 0, true}}) {
    CAPTURE(row.name);
    Fleet fleet(row.members, 7);
    fleet.net([&](FaultInjectingNetwork& relay) {
      LinkRule rule;
      rule.loss_probability = row.drop, rule.duplicate_probability = row.twice,
      rule.reorder_probability = row.swap;
      relay.set_default_rule(rule);
      if (row.apart) relay.set_partitioned(0, 1);
    });
    fleet.start();
    fleet.wait_whole();
    if (row.twice == 1)
      fleet.wait("repeats are counted", [&] { return fleet.figure(0, "dropped.seen") > 20; });
  }
}

TEST_CASE("cluster processes: a partitioned member loses the lease, and the majority goes on") {
  struct Row {
    const char* name;
    bool out, in;  // cut
  };
  for (const Row& row : {Row{"mute", true, false}, Row{"deaf", false, true}, Row{"both", true, true}}) {
    CAPTURE(row.name);
    Fleet fleet(3);
    fleet.start();
    fleet.wait_whole();
    const auto epoch = fleet.figure(2, "epoch");
    fleet.cut(2, row.out, row.in);
    fleet.wait(2, "standing", 1);
    for (std::size_t i : {0u, 1u}) {
      fleet.zones(i, {"z", "y"});
      fleet.process(i).send_signal(SIGHUP);
    }
    for (std::size_t i : {0u, 1u}) {
      fleet.wait(i, "reads_plan", 1);
      fleet.wait("a new plan", [&] { return fleet.figure(i, "epoch") > epoch; });
      fleet.wait(i, "standing", 2);
    }
    CHECK(fleet.figure(2, "standing") != 2);
    if (row.in) CHECK(fleet.figure(2, "epoch") == epoch);
    fleet.zones(2, {"z", "y"});
    fleet.process(2).send_signal(SIGHUP);
    fleet.cut(2, true, true, false);
    fleet.wait_whole();
    CHECK(fleet.figure(2, "epoch") > epoch);
  }
}

TEST_CASE("cluster processes: a stalled member acts on nothing until it has heard the others again") {
  Fleet fleet(3);
  fleet.start();
  fleet.wait_whole();
  const auto wakes = fleet.figure(1, "wakes");
  fleet.process(1).send_signal(SIGSTOP);
  for (std::size_t i : {0u, 2u}) fleet.wait(i, "alive", 2);
  std::this_thread::sleep_for(3s);  // longer than any lease that it had
  fleet.cut(1, true, true);
  fleet.process(1).send_signal(SIGCONT);
  fleet.wait("it has noticed", [&] { return fleet.figure(1, "wakes") > wakes; });
  all_along(1500ms, [&] { return fleet.figure(1, "standing") != 2; });
  for (std::size_t i : {0u, 2u}) fleet.wait(i, "standing", 2);
  fleet.cut(1, true, true, false);
  fleet.wait_whole();
}

TEST_CASE("cluster processes: a killed and restarted member votes only after recovery") {
  Fleet fleet(3);
  fleet.start();
  fleet.wait_whole();
  // An epoch that is not the settings', so that one that forgets it would be seen.
  for (std::size_t i = 0; i < 3; ++i) fleet.zones(i, {"z", "y"}), fleet.process(i).send_signal(SIGHUP);
  fleet.wait("a plan with the new zones", [&] { return fleet.figure(0, "epoch") >= 1; });
  fleet.wait_whole();
  for (const std::size_t member : {2u, 0u, 1u}) {
    CAPTURE(member);
    const auto epoch = fleet.figure(member, "epoch");
    fleet.process(member).send_signal(SIGKILL);
    fleet.process(member).wait_for_exit();
    fleet.cut(member, true, true);
    fleet.start(member);
    all_along(700ms, [&] { return fleet.figure(member, "votes") == 0; });
    fleet.cut(member, true, true, false);
    fleet.wait(member, "votes", 1);
    CHECK(fleet.figure(member, "epoch") >= epoch);
    fleet.wait_whole();
    for (const auto each : fleet.everywhere("epoch")) CHECK(each >= epoch);
  }
}

TEST_CASE(
    "cluster processes: other zones at SIGHUP are one epoch for all, readable to those that have them") {
  Fleet fleet(3);
  fleet.start();
  fleet.wait_whole();
  const auto epoch = fleet.figure(0, "epoch");
  // In a minority there is no plan to be had; it is made once a majority is there.
  fleet.cut(0, true, true);
  fleet.wait(0, "majority", 0);
  fleet.zones(0, {"z", "y"});
  fleet.process(0).send_signal(SIGHUP);
  fleet.wait(0, "reads_plan", 0);
  fleet.cut(0, true, true, false);
  for (std::size_t i = 0; i < 3; ++i) fleet.wait(i, "reads_plan", i == 0);
  fleet.wait_all("epoch", epoch + 1);
  fleet.wait(0, "standing", 2);
  fleet.wait(1, "standing", 1);
  CHECK(fleet.process(1).log().find("localities=\"z\"") != std::string::npos);
  for (std::size_t i : {1u, 2u}) fleet.zones(i, {"z", "y"}), fleet.process(i).send_signal(SIGHUP);
  fleet.wait_whole();
  CHECK(fleet.everywhere("epoch") == Values(3, epoch + 1));

  SECTION("two with different ones don't outbid each other for ever") {
    fleet.zones(0, {"z", "a"}), fleet.process(0).send_signal(SIGHUP);
    fleet.zones(1, {"z", "b"}), fleet.process(1).send_signal(SIGHUP);
    fleet.wait("both had their turn", [&] {
      const Values reads = fleet.everywhere("reads_plan"), epochs = fleet.everywhere("epoch");
      return reads[0] + reads[1] == 1 && reads[2] == 0 && epochs == Values(3, epochs[0]) &&
             epochs[0] >= epoch + 3;
    });
    const Values settled = fleet.everywhere("epoch");
    CHECK(settled[0] <= epoch + 4);
    all_along(3s, [&] { return fleet.everywhere("epoch") == settled; });
  }
}

TEST_CASE("cluster processes: a member with another key is heard by nobody until it has the right one") {
  Fleet fleet(3);
  write_key(fleet.folder(2) + "/key", kKeyText + "!");
  fleet.start();
  for (std::size_t i : {0u, 1u}) fleet.wait(i, "standing", 2);
  for (std::size_t i = 0; i < 3; ++i)
    fleet.wait("forged ones are counted", [&] { return fleet.figure(i, "dropped.forged") > 3; });
  fleet.wait("each side knows its own", [&] { return fleet.everywhere("alive") == Values{2, 2, 1}; });
  CHECK(fleet.figure(2, "standing") != 2);
  write_key(fleet.folder(2) + "/key", kKeyText);
  fleet.process(2).send_signal(SIGHUP);
  fleet.wait_whole();
}

TEST_CASE("cluster processes: keys are changed in three rounds without the loss of a datagram") {
  Fleet fleet(3);
  fleet.start();
  fleet.wait_whole();
  const std::string old_key = kKeyText, new_key = kKeyText + "-new";
  for (const auto& [first, second] : {std::pair(old_key, new_key), {new_key, old_key}, {new_key, new_key}}) {
    for (std::size_t i = 0; i < 3; ++i) {
      write_key(fleet.folder(i) + "/key", first);
      write_key(fleet.folder(i) + "/former", second);
      std::ofstream(fleet.folder(i) + "/fleet.toml")
          << "[fleet]\nkey = \"key\"\nformer_key = \"former\"\nperiod_ms = 100\nlease_ms = 1000\n";
      const std::string before = call_admin(fleet.process(i), "METRICS");
      const auto loads = before.substr(before.find("svc.loads="));
      fleet.process(i).send_signal(SIGHUP);
      fleet.wait("it is taken", [&] {
        return call_admin(fleet.process(i), "METRICS").find(loads.substr(0, loads.find('\n') + 1)) ==
               std::string::npos;
      });
    }
  }
  fleet.wait_whole();
  CHECK(fleet.everywhere("dropped.forged") == Values(3, 0));
}

TEST_CASE("cluster processes: a rejected reload changes nothing of the cluster") {
  Fleet fleet(3);
  fleet.start();
  fleet.wait_whole();
  write_key(fleet.folder(0) + "/key", "short");
  fleet.zones(0, {"z", "y"});
  fleet.process(0).send_signal(SIGHUP);
  fleet.process(0).wait_for_log("the former settings stay: fleet.key");
  const auto received = fleet.figure(0, "received");
  fleet.wait("it hears on", [&] { return fleet.figure(0, "received") > received + 20; });
  CHECK(fleet.figure(0, "reads_plan") == 1);
  CHECK(fleet.everywhere("dropped.forged") == Values(3, 0));
  fleet.wait_whole();
}

TEST_CASE("cluster processes: a dispatcher that starts with other zones proposes no plan of them by itself") {
  Fleet fleet(3);
  fleet.start();
  for (std::size_t i = 0; i < 3; ++i) fleet.zones(i, {"z", "y"}), fleet.process(i).send_signal(SIGHUP);
  fleet.wait("a plan", [&] { return fleet.figure(2, "epoch") >= 1; });
  fleet.wait_whole();
  const Values epochs = fleet.everywhere("epoch");
  fleet.process(2).send_signal(SIGKILL);
  fleet.process(2).wait_for_exit();
  fleet.zones(2, {"z"});
  fleet.start(2);
  fleet.wait("it has the plan", [&] { return fleet.figure(2, "epoch") >= epochs[0]; });
  fleet.wait(2, "standing", 1);
  CHECK(fleet.figure(2, "reads_plan") == 0);
  for (std::size_t i : {0u, 1u}) CHECK(fleet.figure(i, "reads_plan") == 1);
}

TEST_CASE("cluster processes: a successor takes the address over, and the member is missed only briefly") {
  Fleet fleet(3);
  fleet.start();
  fleet.wait_whole();
  DispatcherProcess old = std::move(fleet.process(2));
  fleet.start(2);
  fleet.process(2).wait_for_log("peer_listen can't be bound yet");
  CHECK(fleet.figure(2, "standing") == 0);
  old.send_signal(SIGTERM);
  CHECK(old.wait_for_exit() == 0);
  fleet.wait_whole();
  // And without one: the others go on.
  fleet.process(2).send_signal(SIGTERM);
  CHECK(fleet.process(2).wait_for_exit() == 0);
  for (std::size_t i : {0u, 1u}) fleet.wait(i, "alive", 2), fleet.wait(i, "standing", 2);
  fleet.start(2);
  fleet.wait_whole();
}

TEST_CASE("cluster processes: --check names the invalid key") {
  const std::string folder = make_temporary_directory();
  write_key(folder + "/good", kKeyText);
  write_key(folder + "/short", "short");
  write_key(folder + "/open", kKeyText, 0604);
  struct Row {
    const char* fleet;  // the section's lines
    const char* patch;  // of the platform's file
    const char* says;   // empty: fine
  };
  const Row rows[] = {
      {"", "{}", ""},
      {"key = 'good'", "{}", ""},
      {"key = 'good'\nformer_key = 'good'\nperiod_ms = 50\nlease_ms = 400", "{}", ""},
      {"period_ms = 60000\nlease_ms = 600000", "{}", ""},
      {"key = 'missing'", "{}", "fleet.key: "},
      {"key = 'short'", "{}", "fleet.key: "},
      {"key = 'open'", "{}", "fleet.key: "},
      {"key = 'good'\nformer_key = 'short'", "{}", "fleet.former_key: "},
      {"former_key = 'good'", "{}", "fleet.former_key"},
      {"key = 3", "{}", "fleet.key"},
      {"keys = 'good'", "{}", "keys"},
      {"period_ms = 49", "{}", "fleet.period_ms"},
      {"period_ms = 0.5", "{}", "fleet.period_ms"},
      {"lease_ms = 399", "{}", "fleet.lease_ms"},
      {"period_ms = 500\nlease_ms = 1999", "{}", "fleet.lease_ms"},
      {"bytes_per_second = 1023", "{}", "fleet.bytes_per_second"},
      {"", R"({"peers":null,"peer_listen":null})", "needs `peers`"},
      {"", R"({"peer_listen":null})", "peer_listen"},
      {"", R"({"peers":["127.0.0.1:1","127.0.0.1"]})", "peers.1"},
      {"", R"({"peers":["127.0.0.1:1","127.0.0.1:1"]})", "there twice"},
      {"", R"({"settings":{"permissions":{"may_tell":false}}})", "may_tell"},
      {"", R"({"settings":{"fleet_size":5}})", "has no place for this dispatcher"},
      {"", R"({"settings":{"fleet_size":5},"peer_listen":"127.0.0.1:2"})", ""},
      {"", R"({"settings":{"ordinal":3}})", "ordinal"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.fleet, row.patch);
    json config = fleet_config(3, 0, {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"});
    config.merge_patch(json::parse(row.patch));
    std::ofstream(folder + "/config.json") << config.dump();
    std::ofstream(folder + "/fleet.toml") << "[fleet]\n" << row.fleet << "\n";
    const std::string command = "NODE_CONFIG=" + folder +
                                "/config.json " ROOKPROXY_BINARY " --check --file " + folder +
                                "/fleet.toml 2>&1";
    std::unique_ptr<FILE, int (*)(FILE*)> pipe(::popen(command.c_str(), "r"), &::pclose);
    std::string said;
    for (char part[256]; std::fgets(part, sizeof part, pipe.get());) said += part;
    const int code = WEXITSTATUS(::pclose(pipe.release()));
    CAPTURE(said);
    CHECK(code == (*row.says ? 2 : 0));
    CHECK(said.find(row.says) != std::string::npos);
  }
  std::filesystem::remove_all(folder);
}
