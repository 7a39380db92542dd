#include "support/flooded_dispatcher.h"

#include <fstream>

#include "support/dispatcher_config.h"
#include "support/flood_messages.h"

namespace rookproxy::test {
namespace {

void enable_mysql(nlohmann::json& config) {
  config["link"] = "mysql";
  config["mysql_engines"] = {{"user", "rookproxy"}, {"password", "engine-secret"}};
  config["mysql"] = {{"listen", "127.0.0.1:0"},  {"users", {{"school", "secret"}}},
                     {"read_class", "lookup"},   {"load_class", "load"},
                     {"read_deadline_ms", 3000}, {"load_deadline_ms", 25000}};
}

}  // namespace

FloodedDispatcher::FloodedDispatcher(Protocol protocol, std::size_t memory_mb, std::size_t descriptors)
    : protocol_(protocol) {
  const bool speaks_mysql = protocol == Protocol::kMysql;
  nlohmann::json config = default_dispatcher_config();
  config["log"]["level"] = "notice";
  config["limits"]["memory_mb"] = memory_mb;
  config["limits"]["sockets"] = descriptors;
  config["known"]["batch"] =
      make_known_batch({{"e1", speaks_mysql ? mysql_engine_.port() : line_engine_.port()}});
  if (speaks_mysql) enable_mysql(config);
  std::ofstream(directory_.file("config.json")) << config;
  DispatcherOptions options;
  options.directory = directory_.path();
  options.log_path = directory_.file("log");
  process_.start(options);
  process_.wait_for_log("ready to serve");
  port_ = process_.port_logged_with(speaks_mysql ? "serving mysql" : "serving frames");
}

TestConnection FloodedDispatcher::connect() const {
  return protocol_ == Protocol::kMysql ? connect_and_log_in(port_) : TestConnection::connect(port_);
}

}  // namespace rookproxy::test
