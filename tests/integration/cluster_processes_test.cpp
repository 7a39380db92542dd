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

// A loopback address derived from the process id, so that fixed ports don't collide with other processes.
std::string member_address(std::size_t member) {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + (pid >> 16) % 64) + "." + std::to_string(pid >> 8 & 255) + "." +
         std::to_string(pid & 255) + ":" + std::to_string(7100 + member);
}

void write_key(const std::string& path, const std::string& text, mode_t mode = 0600) {
  std::ofstream(path) << text;
  ::chmod(path.c_str(), mode);
}

json member_config(std::size_t members, std::size_t self, const std::vector<std::string>& peers) {
  json config = default_dispatcher_config();
  config["seed"] = "5";  // the same for all members, as in a deployment
  config["engines"] =
      json::array({{{"id", "e"}, {"host_port", "127.0.0.1:9"}, {"locality", "z"}, {"flavor", "m"}}});
  config["peers"] = peers;
  config["peer_listen"] = member_address(self);
  config["settings"]["fleet_size"] = members;
  config["settings"]["ordinal"] = self;
  config["settings"]["permissions"]["may_tell"] = true;
  return config;
}

class ClusterFixture {
 public:
  explicit ClusterFixture(std::size_t members, std::uint64_t seed = 1) : network_(seed), members_(members) {
    for (std::size_t i = 0; i < members; ++i) {
      proxy_addresses_.push_back(network_.run_on_thread([&](FaultInjectingNetwork& network) {
        network.set_real_address(node(i), *parse_socket_address(member_address(i)));
        return network.proxy_address_of(node(i)).to_string();
      }));
    }
    for (std::size_t i = 0; i < members; ++i) {
      Member& one = members_[i];
      one.folder = root_ + "/" + std::to_string(i);
      std::filesystem::create_directory(one.folder);
      write_key(one.folder + "/key", kKeyText);
      std::ofstream(one.folder + "/fleet.toml")
          << "[fleet]\nkey = \"key\"\nperiod_ms = 100\nlease_ms = 1000\n";
      write_config_with_zones(i, {"z"});
    }
  }
  ~ClusterFixture() {
    members_.clear();
    std::filesystem::remove_all(root_);
  }
  template <class Action>
  void change_network(Action action) {
    network_.run_on_thread([&](FaultInjectingNetwork& network) { action(network); });
  }
  static NodeId node(std::size_t i) { return static_cast<NodeId>(i); }
  // Partitions a member from the others, in the given directions.
  void partition(std::size_t member, bool out, bool in, bool is_cut = true) {
    change_network([&](FaultInjectingNetwork& network) {
      for (std::size_t i = 0; i < members_.size(); ++i) {
        LinkRule rule;
        rule.is_partitioned = is_cut;
        if (i != member && out) network.set_rule(node(member), node(i), rule);
        if (i != member && in) network.set_rule(node(i), node(member), rule);
      }
    });
  }
  const std::string& folder(std::size_t i) const { return members_[i].folder; }
  DispatcherProcess& process(std::size_t i) { return members_[i].process; }
  void write_config_with_zones(std::size_t i, const std::vector<std::string>& names) {
    json config = member_config(members_.size(), i, proxy_addresses_);
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

  std::uint64_t metric(std::size_t i, const std::string& name) {
    const std::string all = call_admin(process(i), "METRICS"), before = "\nsvc.fleet." + name + "=";
    const auto at = all.find(before);
    return at == std::string::npos ? 0 : std::stoull(all.substr(at + before.size()));
  }
  Values metric_of_all(const std::string& name) {
    Values all;
    for (std::size_t i = 0; i < members_.size(); ++i) all.push_back(metric(i, name));
    return all;
  }
  template <class Condition>
  void wait_until(const std::string& what, Condition condition) {
    const auto until = std::chrono::steady_clock::now() + 2 * kWaitLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > until) {
        std::string text = "condition not met: " + what + "\n";
        for (std::size_t i = 0; i < members_.size(); ++i)
          text += process(i).log() + call_admin(process(i), "METRICS") + "\n";
        fail_test(text);
      }
      std::this_thread::sleep_for(20ms);
    }
  }
  void wait_until(std::size_t i, const std::string& name, std::uint64_t value) {
    wait_until(std::to_string(i) + ": " + name + "=" + std::to_string(value),
               [&] { return metric(i, name) == value; });
  }
  void wait_until_all(const std::string& name, std::uint64_t value) {
    for (std::size_t i = 0; i < members_.size(); ++i) wait_until(i, name, value);
  }
  // All members know all others, hold the lease and have the same epoch.
  void wait_until_consistent() {
    wait_until("all members agree", [&] {
      const Values epochs = metric_of_all("epoch");
      return metric_of_all("standing") == Values(members_.size(), 2) &&
             metric_of_all("alive") == Values(members_.size(), members_.size()) &&
             epochs == Values(members_.size(), epochs[0]);
    });
    CHECK(metric_of_all("contradictions") == Values(members_.size(), 0));
  }

 private:
  struct Member {
    std::string folder;
    DispatcherProcess process;
    int starts = 0;
  };
  std::string root_ = make_temporary_directory();
  FaultInjectingNetworkThread network_;
  std::vector<std::string> proxy_addresses_;
  std::vector<Member> members_;
};

// Checks the condition throughout the time, for a state that must not occur.
template <class Condition>
void require_throughout(std::chrono::milliseconds duration, Condition condition) {
  for (const auto until = std::chrono::steady_clock::now() + duration;
       std::chrono::steady_clock::now() < until;) {
    REQUIRE(condition());
    std::this_thread::sleep_for(20ms);
  }
}

}  // namespace

TEST_CASE(
    "cluster processes: all members agree on members and plan despite lost, repeated and reordered "
    "datagrams") {
  struct Row {
    const char* name;
    std::size_t members;
    double loss, repetition, reordering;
    // Members 0 and 1 can't reach each other and learn of one another through a third one only.
    bool partitioned_pair;
  };
  for (const Row& row : {Row{"reliable network", 3, 0, 0, 0, false},
                         Row{"five members, unreliable network", 5, 0.05, 0.05, 0.05, false},
                         Row{"each datagram twice", 3, 0, 1, 0, false},
                         Row{"two members partitioned from each other", 3, 0, 0, 0, true}}) {
    CAPTURE(row.name);
    ClusterFixture cluster(row.members, 7);
    cluster.change_network([&](FaultInjectingNetwork& network) {
      LinkRule rule;
      rule.loss_probability = row.loss, rule.duplicate_probability = row.repetition,
      rule.reorder_probability = row.reordering;
      network.set_default_rule(rule);
      if (row.partitioned_pair) network.set_partitioned(0, 1);
    });
    cluster.start();
    cluster.wait_until_consistent();
    if (row.repetition == 1)
      cluster.wait_until("repeated datagrams are counted",
                         [&] { return cluster.metric(0, "dropped.seen") > 20; });
  }
}

TEST_CASE("cluster processes: a partitioned member loses the lease and the majority continues") {
  struct Row {
    const char* name;
    bool out, in;  // cut directions
  };
  for (const Row& row :
       {Row{"outbound", true, false}, Row{"inbound", false, true}, Row{"both", true, true}}) {
    CAPTURE(row.name);
    ClusterFixture cluster(3);
    cluster.start();
    cluster.wait_until_consistent();
    const auto epoch = cluster.metric(2, "epoch");
    cluster.partition(2, row.out, row.in);
    cluster.wait_until(2, "standing", 1);
    for (std::size_t i : {0u, 1u}) {
      cluster.write_config_with_zones(i, {"z", "y"});
      cluster.process(i).send_signal(SIGHUP);
    }
    for (std::size_t i : {0u, 1u}) {
      cluster.wait_until(i, "reads_plan", 1);
      cluster.wait_until("a new plan", [&] { return cluster.metric(i, "epoch") > epoch; });
      cluster.wait_until(i, "standing", 2);
    }
    CHECK(cluster.metric(2, "standing") != 2);
    if (row.in) CHECK(cluster.metric(2, "epoch") == epoch);
    cluster.write_config_with_zones(2, {"z", "y"});
    cluster.process(2).send_signal(SIGHUP);
    cluster.partition(2, true, true, false);
    cluster.wait_until_consistent();
    CHECK(cluster.metric(2, "epoch") > epoch);
  }
}

TEST_CASE("cluster processes: a stalled member acts on nothing until it has received from the others again") {
  ClusterFixture cluster(3);
  cluster.start();
  cluster.wait_until_consistent();
  const auto wakes = cluster.metric(1, "wakes");
  cluster.process(1).send_signal(SIGSTOP);
  for (std::size_t i : {0u, 2u}) cluster.wait_until(i, "alive", 2);
  std::this_thread::sleep_for(3s);  // longer than any lease
  cluster.partition(1, true, true);
  cluster.process(1).send_signal(SIGCONT);
  cluster.wait_until("the stall is detected", [&] { return cluster.metric(1, "wakes") > wakes; });
  require_throughout(1500ms, [&] { return cluster.metric(1, "standing") != 2; });
  for (std::size_t i : {0u, 2u}) cluster.wait_until(i, "standing", 2);
  cluster.partition(1, true, true, false);
  cluster.wait_until_consistent();
}

TEST_CASE("cluster processes: a killed and restarted member votes only after recovery") {
  ClusterFixture cluster(3);
  cluster.start();
  cluster.wait_until_consistent();
  // An epoch that differs from the initial one, so that a member that forgets it is detected.
  for (std::size_t i = 0; i < 3; ++i)
    cluster.write_config_with_zones(i, {"z", "y"}), cluster.process(i).send_signal(SIGHUP);
  cluster.wait_until("a plan with the new zones", [&] { return cluster.metric(0, "epoch") >= 1; });
  cluster.wait_until_consistent();
  for (const std::size_t member : {2u, 0u, 1u}) {
    CAPTURE(member);
    const auto epoch = cluster.metric(member, "epoch");
    cluster.process(member).send_signal(SIGKILL);
    cluster.process(member).wait_for_exit();
    cluster.partition(member, true, true);
    cluster.start(member);
    require_throughout(700ms, [&] { return cluster.metric(member, "votes") == 0; });
    cluster.partition(member, true, true, false);
    cluster.wait_until(member, "votes", 1);
    CHECK(cluster.metric(member, "epoch") >= epoch);
    cluster.wait_until_consistent();
    for (const auto each : cluster.metric_of_all("epoch")) CHECK(each >= epoch);
  }
}

TEST_CASE(
    "cluster processes: new zones at SIGHUP make one epoch for all, readable to members with those zones") {
  ClusterFixture cluster(3);
  cluster.start();
  cluster.wait_until_consistent();
  const auto epoch = cluster.metric(0, "epoch");
  // A minority can't make a plan. It is made once a majority is reachable.
  cluster.partition(0, true, true);
  cluster.wait_until(0, "majority", 0);
  cluster.write_config_with_zones(0, {"z", "y"});
  cluster.process(0).send_signal(SIGHUP);
  cluster.wait_until(0, "reads_plan", 0);
  cluster.partition(0, true, true, false);
  for (std::size_t i = 0; i < 3; ++i) cluster.wait_until(i, "reads_plan", i == 0);
  cluster.wait_until_all("epoch", epoch + 1);
  cluster.wait_until(0, "standing", 2);
  cluster.wait_until(1, "standing", 1);
  CHECK(cluster.process(1).log().find("localities=\"z\"") != std::string::npos);
  for (std::size_t i : {1u, 2u})
    cluster.write_config_with_zones(i, {"z", "y"}), cluster.process(i).send_signal(SIGHUP);
  cluster.wait_until_consistent();
  CHECK(cluster.metric_of_all("epoch") == Values(3, epoch + 1));

  SECTION("members with different zones stop proposing new epochs") {
    cluster.write_config_with_zones(0, {"z", "a"}), cluster.process(0).send_signal(SIGHUP);
    cluster.write_config_with_zones(1, {"z", "b"}), cluster.process(1).send_signal(SIGHUP);
    cluster.wait_until("both proposals were made", [&] {
      const Values reads = cluster.metric_of_all("reads_plan"), epochs = cluster.metric_of_all("epoch");
      return reads[0] + reads[1] == 1 && reads[2] == 0 && epochs == Values(3, epochs[0]) &&
             epochs[0] >= epoch + 3;
    });
    const Values settled = cluster.metric_of_all("epoch");
    CHECK(settled[0] <= epoch + 4);
    require_throughout(3s, [&] { return cluster.metric_of_all("epoch") == settled; });
  }
}

TEST_CASE("cluster processes: a member with a different key is ignored until it has the right one") {
  ClusterFixture cluster(3);
  write_key(cluster.folder(2) + "/key", kKeyText + "!");
  cluster.start();
  for (std::size_t i : {0u, 1u}) cluster.wait_until(i, "standing", 2);
  for (std::size_t i = 0; i < 3; ++i)
    cluster.wait_until("forged datagrams are counted",
                       [&] { return cluster.metric(i, "dropped.forged") > 3; });
  cluster.wait_until("each side knows only its own members", [&] {
    return cluster.metric_of_all("alive") == Values{2, 2, 1};
  });
  CHECK(cluster.metric(2, "standing") != 2);
  write_key(cluster.folder(2) + "/key", kKeyText);
  cluster.process(2).send_signal(SIGHUP);
  cluster.wait_until_consistent();
}

TEST_CASE("cluster processes: a key rotation in three rounds loses no datagram") {
  ClusterFixture cluster(3);
  cluster.start();
  cluster.wait_until_consistent();
  const std::string old_key = kKeyText, new_key = kKeyText + "-new";
  for (const auto& [first, second] : {std::pair(old_key, new_key), {new_key, old_key}, {new_key, new_key}}) {
    for (std::size_t i = 0; i < 3; ++i) {
      write_key(cluster.folder(i) + "/key", first);
      write_key(cluster.folder(i) + "/former", second);
      std::ofstream(cluster.folder(i) + "/fleet.toml")
          << "[fleet]\nkey = \"key\"\nformer_key = \"former\"\nperiod_ms = 100\nlease_ms = 1000\n";
      const std::string before = call_admin(cluster.process(i), "METRICS");
      const auto loads = before.substr(before.find("svc.loads="));
      cluster.process(i).send_signal(SIGHUP);
      cluster.wait_until("the configuration is reloaded", [&] {
        return call_admin(cluster.process(i), "METRICS").find(loads.substr(0, loads.find('\n') + 1)) ==
               std::string::npos;
      });
    }
  }
  cluster.wait_until_consistent();
  CHECK(cluster.metric_of_all("dropped.forged") == Values(3, 0));
}

TEST_CASE("cluster processes: a rejected reload changes nothing in the cluster") {
  ClusterFixture cluster(3);
  cluster.start();
  cluster.wait_until_consistent();
  write_key(cluster.folder(0) + "/key", "short");
  cluster.write_config_with_zones(0, {"z", "y"});
  cluster.process(0).send_signal(SIGHUP);
  cluster.process(0).wait_for_log("the former settings stay: fleet.key");
  const auto received = cluster.metric(0, "received");
  cluster.wait_until("datagrams are still received",
                     [&] { return cluster.metric(0, "received") > received + 20; });
  CHECK(cluster.metric(0, "reads_plan") == 1);
  CHECK(cluster.metric_of_all("dropped.forged") == Values(3, 0));
  cluster.wait_until_consistent();
}

TEST_CASE("cluster processes: a dispatcher that starts with other zones proposes no plan with them") {
  ClusterFixture cluster(3);
  cluster.start();
  for (std::size_t i = 0; i < 3; ++i)
    cluster.write_config_with_zones(i, {"z", "y"}), cluster.process(i).send_signal(SIGHUP);
  cluster.wait_until("a plan", [&] { return cluster.metric(2, "epoch") >= 1; });
  cluster.wait_until_consistent();
  const Values epochs = cluster.metric_of_all("epoch");
  cluster.process(2).send_signal(SIGKILL);
  cluster.process(2).wait_for_exit();
  cluster.write_config_with_zones(2, {"z"});
  cluster.start(2);
  cluster.wait_until("the member has the plan", [&] { return cluster.metric(2, "epoch") >= epochs[0]; });
  cluster.wait_until(2, "standing", 1);
  CHECK(cluster.metric(2, "reads_plan") == 0);
  for (std::size_t i : {0u, 1u}) CHECK(cluster.metric(i, "reads_plan") == 1);
}

TEST_CASE("cluster processes: a successor takes over the address and the member returns") {
  ClusterFixture cluster(3);
  cluster.start();
  cluster.wait_until_consistent();
  DispatcherProcess old = std::move(cluster.process(2));
  cluster.start(2);
  cluster.process(2).wait_for_log("peer_listen can't be bound yet");
  CHECK(cluster.metric(2, "standing") == 0);
  old.send_signal(SIGTERM);
  CHECK(old.wait_for_exit() == 0);
  cluster.wait_until_consistent();
  // Without a successor the others continue.
  cluster.process(2).send_signal(SIGTERM);
  CHECK(cluster.process(2).wait_for_exit() == 0);
  for (std::size_t i : {0u, 1u}) cluster.wait_until(i, "alive", 2), cluster.wait_until(i, "standing", 2);
  cluster.start(2);
  cluster.wait_until_consistent();
}

TEST_CASE("cluster processes: --check reports the invalid key") {
  const std::string folder = make_temporary_directory();
  write_key(folder + "/good", kKeyText);
  write_key(folder + "/short", "short");
  write_key(folder + "/open", kKeyText, 0604);
  struct Row {
    const char* cluster;        // lines of the [fleet] section
    const char* patch;          // of the platform's file
    const char* expected_text;  // expected error, empty if valid
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
    CAPTURE(row.cluster, row.patch);
    json config = member_config(3, 0, {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"});
    config.merge_patch(json::parse(row.patch));
    std::ofstream(folder + "/config.json") << config.dump();
    std::ofstream(folder + "/fleet.toml") << "[fleet]\n" << row.cluster << "\n";
    const std::string command = "NODE_CONFIG=" + folder +
                                "/config.json " ROOKPROXY_BINARY " --check --file " + folder +
                                "/fleet.toml 2>&1";
    std::unique_ptr<FILE, int (*)(FILE*)> pipe(::popen(command.c_str(), "r"), &::pclose);
    std::string output;
    for (char part[256]; std::fgets(part, sizeof part, pipe.get());) output += part;
    const int code = WEXITSTATUS(::pclose(pipe.release()));
    CAPTURE(output);
    CHECK(code == (*row.expected_text ? 2 : 0));
    CHECK(output.find(row.expected_text) != std::string::npos);
  }
  std::filesystem::remove_all(folder);
}
