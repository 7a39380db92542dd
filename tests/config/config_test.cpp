// Tests of reading configuration files.
#include "config/config.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "fakes/temporary_directory.h"
#include "net/socket_address.h"

using namespace rookproxy;
using namespace std::chrono_literals;

namespace {

// The error message for a minimal valid configuration changed by a merge patch; empty if the result is valid.
std::string error_for(const std::string& patch) {
  auto document =
      nlohmann::json::parse(R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","known":{"offset":1,
    "batch":[{"offset":1,"topology":{"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:3","phase":"up"}]}}]},
    "settings":{"grades":[{"name":"q","effect":"pure","target":1,"deadline":5},
    {"name":"w","effect":"side_effect","target":1,"deadline":5}],"permissions":{"max_attempts":2}}})");
  document.merge_patch(nlohmann::json::parse(patch));
  try {
    (void)read_config(document);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_CASE("config: an invalid value is reported with the path of its key") {
  CHECK(error_for("{}").empty());
  CHECK(error_for(R"({"listen":"nowhere"})").starts_with("listen: "));
  CHECK(error_for(R"({"listen":null})").starts_with("listen: missing"));
  CHECK(error_for(R"({"seed":"xyz"})").starts_with("seed: "));
  CHECK(error_for(R"({"limits":{"sockets":3}})").starts_with("limits.sockets: out of range"));
  CHECK(error_for(R"({"limits":{"memory_mb":"many"}})").starts_with("limits.memory_mb: not a number"));
  CHECK(error_for(R"({"settings":{"grades":[]}})").starts_with("settings.grades: "));
  CHECK(error_for(R"({"settings":{"permissions":{"max_attempts":0}}})")
            .starts_with("settings.permissions.max_attempts: "));
  CHECK(error_for(R"({"settings":{"permissions":null}})").starts_with("settings.permissions: missing"));
  const auto with_class = [](const std::string& cls) {
    return error_for(R"({"settings":{"grades":[{"name":"q","effect":"pure","target":1,"deadline":5},)" + cls +
                     "]}}");
  };
  CHECK(with_class(R"({"name":"v","effect":"pure","target":1,"deadline":5})").empty());
  CHECK(with_class(R"({"name":"v","effect":"pure","target":1,"deadline":0})")
            .starts_with("settings.grades.1.deadline: "));
  CHECK(with_class(R"({"name":"v","effect":"pure","target":1})") == "settings.grades.1.deadline: missing");
  CHECK(with_class(R"({"name":"v","target":1,"deadline":5})") == "settings.grades.1.effect: missing");
  CHECK(with_class(R"({"name":"v","effect":"odd","target":1,"deadline":5})").find("effect") !=
        std::string::npos);
  CHECK(with_class(R"({"effect":"pure","target":1,"deadline":5})") == "settings.grades.1.name: missing");
  CHECK(with_class(R"({"name":"q","effect":"pure","target":1,"deadline":5})").find("twice") !=
        std::string::npos);
  CHECK(with_class(R"({"name":"a\nb","effect":"pure","target":1,"deadline":5})")
            .starts_with("settings.grades.1.name: "));
  CHECK(error_for(R"({"settings":{"ordinal":9}})").find("ordinal") != std::string::npos);
  CHECK(error_for(R"({"passed_socket":1})").starts_with("passed_socket: out of range"));
  CHECK(error_for(R"({"ops":"somewhere"})").starts_with("ops: "));
  CHECK(error_for(R"({"settings":{"safety":{"drain_grace":-1}}})").find("safety.drain_grace") !=
        std::string::npos);
  CHECK(error_for(R"({"known":{"batch":[{"topology":{"members":[{"id":"a"}]}}]}})") ==
        "known.batch.0.topology.members.0.host_port: missing");
  CHECK(error_for(R"({"engines":[{"id":"a","host_port":"127.0.0.1:9","phase":"asleep"}]})")
            .starts_with("engines.0.phase: "));
  CHECK(error_for(R"({"link":"telex"})").starts_with("link: "));
  const std::string mysql = R"("link":"mysql","mysql_engines":{"user":"u"},"mysql":{"listen":"127.0.0.1:4",)";
  CHECK(error_for("{" + mysql + R"("users":{"a":"b"},"read_class":"q","load_class":"w"}})").empty());
  CHECK(error_for("{" + mysql + R"("users":{"a":"b"},"read_class":"q","load_class":"q"}})")
            .starts_with("mysql.load_class: "));
  CHECK(error_for("{" + mysql + R"("users":{},"read_class":"q","load_class":"w"}})")
            .starts_with("mysql.users: "));
  CHECK(error_for("{" + mysql + R"("users":{"a":"b"},"raed_class":"q","load_class":"w"}})") ==
        "mysql.raed_class: unknown key");
  CHECK(error_for(R"({"log":{"level":"loud"}})").starts_with("log.level: "));
}

TEST_CASE("config: a reload that lacks a key of the running configuration is rejected") {
  // Guards against a truncated file being accepted as one that relies on defaults.
  const std::string folder = test::make_temporary_directory();
  const std::string path = folder + "/config.json";
  const auto example = read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml");
  const auto write = [&](const nlohmann::json& document) { std::ofstream(path) << document.dump(); };
  write(example);
  const Environment environment{path, "127.0.0.1:9", "", folder};
  const Config running = load_config(environment, "");
  CHECK(running.admin == SocketAddress{0x7f000001, 9});  // The environment overrides the file.
  const auto error_without = [&](const char* pointer) {
    const nlohmann::json::json_pointer at(pointer);
    auto document = example;
    document[at.parent_pointer()].erase(at.back());
    write(document);
    try {
      (void)load_config(environment, "", running);
    } catch (const ConfigError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  for (const char* key : {"/settings", "/limits", "/seed", "/settings/safety", "/settings/fleet_size",
                          "/settings/permissions/cancel", "/settings/domain/is_load"}) {
    INFO(key);
    CHECK(error_without(key).find(nlohmann::json::json_pointer(key).back() + ": missing") !=
          std::string::npos);
  }
  auto document = example;
  document["settings"]["grades"][1].erase("late_worth");
  write(document);
  CHECK_THROWS_WITH(load_config(environment, "", running),
                    Catch::Contains("settings.grades.1.late_worth: missing"));
  CHECK(error_without("/log").empty());
  CHECK(error_without("/settings/permissions/keepalive").find("keepalive") != std::string::npos);
  for (const char* text : {"", "{\"settings\":{\"grades\":["}) {
    std::ofstream(path) << text;
    CHECK_THROWS_AS(load_config(environment, "", running), ConfigError);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("config: the example file is valid, and initial endpoints result from applying events in order") {
  const auto example = read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml");
  CHECK(read_config(example).mysql->load_class == "load");
  auto document = example;
  document.erase("engines");
  document["known"] = nlohmann::json::parse(R"({"offset":3,"batch":[
    {"topology":{"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:3"},{"id":"b","host_port":"127.0.0.1:4"}]}},
    {"topology":{"complete":false,"members":[{"id":"a","phase":"removed"},
      {"id":"b","host_port":"127.0.0.1:4","phase":"draining","up_since_ms":5}]}}]})");
  const Config config = read_config(document);
  REQUIRE(config.initial_endpoints.size() == 1);
  CHECK(config.initial_endpoints[0].id == "b");
  CHECK(config.initial_endpoints[0].state == routing::EngineState::kDraining);
  CHECK(config.initial_endpoints[0].started_at == Time(5ms));
  CHECK(config.initial_endpoints_version == 3);
}
