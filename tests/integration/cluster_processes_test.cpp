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
constexpr auto kPollInterval = 20ms;

// An address that no other process has, so that fixed ports collide with nobody's.
std::string listen_address(std::size_t member) {
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
  config["seed"] = "5";  // the same everywhere, as operators have it
  config["engines"] =
      json::array({{{"id", "e"}, {"host_port", "127.0.0.1:9"}, {"locality", "z"}, {"flavor", "m"}}});
  config["peers"] = peers;
  config["peer_listen"] = listen_address(self);
  config["settings"]["fleet_size"] = members;
  config["settings"]["ordinal"] = self;
  config["settings"]["permissions"]["may_tell"] = true;
  return config;
}

// Dispatchers of one cluster, each with a folder of its own, and the network between them.
class ProcessCluster {
 public:
  explicit ProcessCluster(std::size_t members, std::uint64_t seed = 1) : network_(seed), members_(members) {
    for (std::size_t i = 0; i < members; ++i) {
      proxy_addresses_.push_back(network_.run_on_thread([&](FaultInjectingNetwork& network) {
        network.set_real_address(node(i), *parse_socket_address(listen_address(i)));
        return network.proxy_address_of(node(i)).to_string();
      }));
    }
    for (std::size_t i = 0; i < members; ++i) {
      members_[i].folder = root_ + "/" + std::to_string(i);
      std::filesystem::create_directory(folder(i));
      write_key(folder(i) + "/key", kKeyText);
      std::ofstream(folder(i) + "/fleet.toml")
          << "[fleet]\nkey = \"key\"\nperiod_ms = 100\nlease_ms = 1000\n";
      write_config(i, {"z"});
    }
  }
  ~ProcessCluster() {
    members_.clear();
    std::filesystem::remove_all(root_);
  }
  ProcessCluster(const ProcessCluster&) = delete;
  ProcessCluster& operator=(const ProcessCluster&) = delete;

  // ---- Network ----

  template <class Action>
  void change_network(Action action) {
    network_.run_on_thread([&](FaultInjectingNetwork& network) {
      action(network);
    });
  }
  // Drops all that the member sends, all that it is sent, or both.
  void cut(std::size_t member, bool outgoing, bool incoming) {
    set_partitioned(member, outgoing, incoming, true);
  }
  void isolate(std::size_t member) { set_partitioned(member, true, true, true); }
  void reconnect(std::size_t member) { set_partitioned(member, true, true, false); }

  // ---- Processes ----

  const std::string& folder(std::size_t i) const { return members_[i].folder; }
  DispatcherProcess& process(std::size_t i) { return members_[i].process; }
  void write_config(std::size_t i, const std::vector<std::string>& zones) {
    json config = member_config(members_.size(), i, proxy_addresses_);
    config["settings"]["localities"] = zones;
    std::ofstream(folder(i) + "/config.json") << config.dump();
  }
  void reload(std::size_t i) { process(i).send_signal(SIGHUP); }
  void reload_with_zones(std::size_t i, const std::vector<std::string>& zones) {
    write_config(i, zones);
    reload(i);
  }
  // Starts a process of that member, which replaces an earlier one.
  void start(std::size_t i) {
    process(i) = DispatcherProcess();
    process(i).start({.directory = folder(i),
                      .log_path = folder(i) + "/log" + std::to_string(++members_[i].starts),
                      .operator_file = folder(i) + "/fleet.toml"});
    process(i).wait_for_log("ready to serve");
  }
  void start_all() {
    for (std::size_t i = 0; i < members_.size(); ++i) start(i);
  }
  void kill(std::size_t i) {
    process(i).send_signal(SIGKILL);
    process(i).wait_for_exit();
  }

  // ---- Metrics ----

  std::uint64_t metric(std::size_t i, const std::string& name) {
    const std::string all = call_admin(process(i), "METRICS");
    const std::string prefix = "\nsvc.fleet." + name + "=";
    const auto at = all.find(prefix);
    return at == std::string::npos ? 0 : std::stoull(all.substr(at + prefix.size()));
  }
  Values metric_of_all(const std::string& name) {
    Values values;
    for (std::size_t i = 0; i < members_.size(); ++i) values.push_back(metric(i, name));
    return values;
  }
  // Waits for 2 * kWaitLimit, then fails with all logs and metrics.
  template <class Condition>
  void wait_until(const std::string& what, Condition holds) {
    const auto deadline = std::chrono::steady_clock::now() + 2 * kWaitLimit;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > deadline) fail_test("never: " + what + "\n" + describe_all());
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  void wait_for_metric(std::size_t i, const std::string& name, std::uint64_t value) {
    wait_until(std::to_string(i) + ": " + name + "=" + std::to_string(value), [&] {
      return metric(i, name) == value;
    });
  }
  void wait_for_metric_of_all(const std::string& name, std::uint64_t value) {
    for (std::size_t i = 0; i < members_.size(); ++i) wait_for_metric(i, name, value);
  }
  // Every member knows all others, holds the lease, and knows the same epoch.
  void wait_until_converged() {
    const Values all_members(members_.size(), members_.size());
    const Values all_hold_lease(members_.size(), 2);
    wait_until("converged", [&] {
      const Values epochs = metric_of_all("epoch");
      return metric_of_all("standing") == all_hold_lease && metric_of_all("alive") == all_members &&
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

  static NodeId node(std::size_t i) { return static_cast<NodeId>(i); }
  void set_partitioned(std::size_t member, bool outgoing, bool incoming, bool is_partitioned) {
    LinkRule rule;
    rule.is_partitioned = is_partitioned;
    change_network([&](FaultInjectingNetwork& network) {
      for (std::size_t other = 0; other < members_.size(); ++other) {
        if (other == member) continue;
        if (outgoing) network.set_rule(node(member), node(other), rule);
        if (incoming) network.set_rule(node(other), node(member), rule);
      }
    });
  }
  std::string describe_all() {
    std::string text;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      text += process(i).log() + call_admin(process(i), "METRICS") + "\n";
    }
    return text;
  }

  std::string root_ = make_temporary_directory();
  FaultInjectingNetworkThread network_;
  std::vector<std::string> proxy_addresses_;
  std::vector<Member> members_;
};

// Checks all along that the condition holds.
template <class Condition>
void require_throughout(std::chrono::milliseconds span, Condition holds) {
  const auto end = std::chrono::steady_clock::now() + span;
  while (std::chrono::steady_clock::now() < end) {
    REQUIRE(holds());
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

TEST_CASE(
    "cluster processes: all members see all and share one plan, with datagrams lost, duplicated and "
    "reordered") {
  struct Row {
    const char* name;
    std::size_t members;
    double loss;
    double duplication;
    double reordering;
    bool is_apart;  // two never hear one another: each knows the other by a third's gossip alone
  };
  for (const Row& row : {Row{"quiet", 3, 0, 0, 0, false}, Row{"five, bad", 5, 0.05, 0.05, 0.05, false},
                         Row{"each datagram twice", 3, 0, 1, 0, false}, Row{"two apart", 3, 0, 0, 0, true}}) {
    CAPTURE(row.name);
    ProcessCluster cluster(row.members, 7);
    cluster.change_network([&](FaultInjectingNetwork& network) {
      LinkRule rule;
      rule.loss_probability = row.loss;
      rule.duplicate_probability = row.duplication;
      rule.reorder_probability = row.reordering;
      network.set_default_rule(rule);
      if (row.is_apart) network.set_partitioned(0, 1);
    });
    cluster.start_all();
    cluster.wait_until_converged();
    if (row.duplication == 1) {
      cluster.wait_until("duplicates are counted", [&] {
        return cluster.metric(0, "dropped.seen") > 20;
      });
    }
  }
}

TEST_CASE("cluster processes: a partitioned member loses the lease, and the majority goes on") {
  struct Row {
    const char* name;
    bool cuts_outgoing;
    bool cuts_incoming;
  };
  for (const Row& row : {Row{"mute", true, false}, Row{"deaf", false, true}, Row{"both", true, true}}) {
    CAPTURE(row.name);
    ProcessCluster cluster(3);
    cluster.start_all();
    cluster.wait_until_converged();
    const auto epoch = cluster.metric(2, "epoch");
    cluster.cut(2, row.cuts_outgoing, row.cuts_incoming);
    cluster.wait_for_metric(2, "standing", 1);
    for (std::size_t i : {0u, 1u}) cluster.reload_with_zones(i, {"z", "y"});
    for (std::size_t i : {0u, 1u}) {
      cluster.wait_for_metric(i, "reads_plan", 1);
      cluster.wait_until("a new plan", [&] {
        return cluster.metric(i, "epoch") > epoch;
      });
      cluster.wait_for_metric(i, "standing", 2);
    }
    CHECK(cluster.metric(2, "standing") != 2);
    if (row.cuts_incoming) CHECK(cluster.metric(2, "epoch") == epoch);
    cluster.reload_with_zones(2, {"z", "y"});
    cluster.reconnect(2);
    cluster.wait_until_converged();
    CHECK(cluster.metric(2, "epoch") > epoch);
  }
}

TEST_CASE("cluster processes: a stalled member acts on nothing until it has heard the others again") {
  ProcessCluster cluster(3);
  cluster.start_all();
  cluster.wait_until_converged();
  const auto wakes = cluster.metric(1, "wakes");
  cluster.process(1).send_signal(SIGSTOP);
  for (std::size_t i : {0u, 2u}) cluster.wait_for_metric(i, "alive", 2);
  std::this_thread::sleep_for(3s);  // longer than any lease that it had
  cluster.isolate(1);
  cluster.process(1).send_signal(SIGCONT);
  cluster.wait_until("it has noticed", [&] {
    return cluster.metric(1, "wakes") > wakes;
  });
  require_throughout(1500ms, [&] {
    return cluster.metric(1, "standing") != 2;
  });
  for (std::size_t i : {0u, 2u}) cluster.wait_for_metric(i, "standing", 2);
  cluster.reconnect(1);
  cluster.wait_until_converged();
}

TEST_CASE("cluster processes: a killed and restarted member votes only after recovery") {
  ProcessCluster cluster(3);
  cluster.start_all();
  cluster.wait_until_converged();
  // An epoch that is not the settings', so that one that forgets it would be seen.
  for (std::size_t i = 0; i < 3; ++i) cluster.reload_with_zones(i, {"z", "y"});
  cluster.wait_until("a plan with the new zones", [&] {
    return cluster.metric(0, "epoch") >= 1;
  });
  cluster.wait_until_converged();
  for (const std::size_t member : {2u, 0u, 1u}) {
    CAPTURE(member);
    const auto epoch = cluster.metric(member, "epoch");
    cluster.kill(member);
    cluster.isolate(member);
    cluster.start(member);
    require_throughout(700ms, [&] {
      return cluster.metric(member, "votes") == 0;
    });
    cluster.reconnect(member);
    cluster.wait_for_metric(member, "votes", 1);
    CHECK(cluster.metric(member, "epoch") >= epoch);
    cluster.wait_until_converged();
    for (const auto each : cluster.metric_of_all("epoch")) CHECK(each >= epoch);
  }
}

TEST_CASE(
    "cluster processes: other zones at SIGHUP are one epoch for all, readable to those that have them") {
  ProcessCluster cluster(3);
  cluster.start_all();
  cluster.wait_until_converged();
  const auto epoch = cluster.metric(0, "epoch");
  // In a minority there is no plan to be had; it is made once a majority is there.
  cluster.isolate(0);
  cluster.wait_for_metric(0, "majority", 0);
  cluster.reload_with_zones(0, {"z", "y"});
  cluster.wait_for_metric(0, "reads_plan", 0);
  cluster.reconnect(0);
  for (std::size_t i = 0; i < 3; ++i) cluster.wait_for_metric(i, "reads_plan", i == 0);
  cluster.wait_for_metric_of_all("epoch", epoch + 1);
  cluster.wait_for_metric(0, "standing", 2);
  cluster.wait_for_metric(1, "standing", 1);
  CHECK(cluster.process(1).log().find("localities=\"z\"") != std::string::npos);
  for (std::size_t i : {1u, 2u}) cluster.reload_with_zones(i, {"z", "y"});
  cluster.wait_until_converged();
  CHECK(cluster.metric_of_all("epoch") == Values(3, epoch + 1));

  SECTION("two with different ones don't outbid each other for ever") {
    cluster.reload_with_zones(0, {"z", "a"});
    cluster.reload_with_zones(1, {"z", "b"});
    cluster.wait_until("both had their turn", [&] {
      const Values reads = cluster.metric_of_all("reads_plan");
      const Values epochs = cluster.metric_of_all("epoch");
      return reads[0] + reads[1] == 1 && reads[2] == 0 && epochs == Values(3, epochs[0]) &&
             epochs[0] >= epoch + 3;
    });
    const Values settled = cluster.metric_of_all("epoch");
    CHECK(settled[0] <= epoch + 4);
    require_throughout(3s, [&] {
      return cluster.metric_of_all("epoch") == settled;
    });
  }
}

TEST_CASE("cluster processes: a member with another key is heard by nobody until it has the right one") {
  ProcessCluster cluster(3);
  write_key(cluster.folder(2) + "/key", kKeyText + "!");
  cluster.start_all();
  for (std::size_t i : {0u, 1u}) cluster.wait_for_metric(i, "standing", 2);
  for (std::size_t i = 0; i < 3; ++i)
    cluster.wait_until("forged ones are counted", [&] {
      return cluster.metric(i, "dropped.forged") > 3;
    });
  cluster.wait_until("each side knows its own", [&] {
    return cluster.metric_of_all("alive") == Values{2, 2, 1};
  });
  CHECK(cluster.metric(2, "standing") != 2);
  write_key(cluster.folder(2) + "/key", kKeyText);
  cluster.reload(2);
  cluster.wait_until_converged();
}

TEST_CASE("cluster processes: keys are changed in three rounds without the loss of a datagram") {
  ProcessCluster cluster(3);
  cluster.start_all();
  cluster.wait_until_converged();
  const std::string old_key = kKeyText;
  const std::string new_key = kKeyText + "-new";
  for (const auto& [first, second] : {std::pair(old_key, new_key), {new_key, old_key}, {new_key, new_key}}) {
    for (std::size_t i = 0; i < 3; ++i) {
      write_key(cluster.folder(i) + "/key", first);
      write_key(cluster.folder(i) + "/former", second);
      std::ofstream(cluster.folder(i) + "/fleet.toml")
          << "[fleet]\nkey = \"key\"\nformer_key = \"former\"\nperiod_ms = 100\nlease_ms = 1000\n";
      const std::string before = call_admin(cluster.process(i), "METRICS");
      const auto loads = before.substr(before.find("svc.loads="));
      cluster.reload(i);
      cluster.wait_until("it is taken", [&] {
        return call_admin(cluster.process(i), "METRICS").find(loads.substr(0, loads.find('\n') + 1)) ==
               std::string::npos;
      });
    }
  }
  cluster.wait_until_converged();
  CHECK(cluster.metric_of_all("dropped.forged") == Values(3, 0));
}

TEST_CASE("cluster processes: a rejected reload changes nothing of the cluster") {
  ProcessCluster cluster(3);
  cluster.start_all();
  cluster.wait_until_converged();
  write_key(cluster.folder(0) + "/key", "short");
  cluster.reload_with_zones(0, {"z", "y"});
  cluster.process(0).wait_for_log("configuration reload failed: fleet.key");
  const auto received = cluster.metric(0, "received");
  cluster.wait_until("it hears on", [&] {
    return cluster.metric(0, "received") > received + 20;
  });
  CHECK(cluster.metric(0, "reads_plan") == 1);
  CHECK(cluster.metric_of_all("dropped.forged") == Values(3, 0));
  cluster.wait_until_converged();
}

TEST_CASE("cluster processes: a dispatcher that starts with other zones proposes no plan of them by itself") {
  ProcessCluster cluster(3);
  cluster.start_all();
  for (std::size_t i = 0; i < 3; ++i) cluster.reload_with_zones(i, {"z", "y"});
  cluster.wait_until("a plan", [&] {
    return cluster.metric(2, "epoch") >= 1;
  });
  cluster.wait_until_converged();
  const Values epochs = cluster.metric_of_all("epoch");
  cluster.kill(2);
  cluster.write_config(2, {"z"});
  cluster.start(2);
  cluster.wait_until("it has the plan", [&] {
    return cluster.metric(2, "epoch") >= epochs[0];
  });
  cluster.wait_for_metric(2, "standing", 1);
  CHECK(cluster.metric(2, "reads_plan") == 0);
  for (std::size_t i : {0u, 1u}) CHECK(cluster.metric(i, "reads_plan") == 1);
}

TEST_CASE("cluster processes: a successor takes the address over, and the member is missed only briefly") {
  ProcessCluster cluster(3);
  cluster.start_all();
  cluster.wait_until_converged();
  DispatcherProcess old = std::move(cluster.process(2));
  cluster.start(2);
  cluster.process(2).wait_for_log("peer socket not bound, retrying");
  CHECK(cluster.metric(2, "standing") == 0);
  old.send_signal(SIGTERM);
  CHECK(old.wait_for_exit() == 0);
  cluster.wait_until_converged();
  // And without one: the others go on.
  cluster.process(2).send_signal(SIGTERM);
  CHECK(cluster.process(2).wait_for_exit() == 0);
  for (std::size_t i : {0u, 1u}) {
    cluster.wait_for_metric(i, "alive", 2);
    cluster.wait_for_metric(i, "standing", 2);
  }
  cluster.start(2);
  cluster.wait_until_converged();
}

TEST_CASE("cluster processes: --check names the invalid key") {
  const std::string folder = make_temporary_directory();
  write_key(folder + "/good", kKeyText);
  write_key(folder + "/short", "short");
  write_key(folder + "/open", kKeyText, 0604);
  struct Row {
    const char* section;  // the lines of [fleet]
    const char* patch;    // of the platform's file
    const char* error;    // part of the text; empty: the configuration is valid
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
    CAPTURE(row.section, row.patch);
    json config = member_config(3, 0, {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"});
    config.merge_patch(json::parse(row.patch));
    std::ofstream(folder + "/config.json") << config.dump();
    std::ofstream(folder + "/fleet.toml") << "[fleet]\n" << row.section << "\n";
    const std::string command = "NODE_CONFIG=" + folder +
                                "/config.json " ROOKPROXY_BINARY " --check --file " + folder +
                                "/fleet.toml 2>&1";
    std::unique_ptr<FILE, int (*)(FILE*)> pipe(::popen(command.c_str(), "r"), &::pclose);
    std::string output;
    for (char part[256]; std::fgets(part, sizeof part, pipe.get());) output += part;
    const int code = WEXITSTATUS(::pclose(pipe.release()));
    CAPTURE(output);
    CHECK(code == (*row.error ? 2 : 0));
    CHECK(output.find(row.error) != std::string::npos);
  }
  std::filesystem::remove_all(folder);
}
