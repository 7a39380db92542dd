#include "config/config.h"

#include <toml++/toml.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "base/numbers.h"
#include "config/reader.h"
#include "settings/settings_reader.h"

namespace rookproxy {
namespace {

using nlohmann::json;

// The settings as the pairs that the simulator's first message has, so that one reader serves both.
void flatten(const json& value, const std::string& path, std::vector<std::string>& pairs) {
  const auto plain = [](const json& item) {
    std::string text = item.is_string() ? item.get<std::string>() : item.dump();
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\t'; }, '_');
    return text;
  };
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, path.empty() ? key : path + "." + key, pairs);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    pairs.push_back(path + ".count=" + std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), pairs);
  } else if (value.is_array()) {
    std::string list;
    for (const auto& item : value) {
      if (!list.empty()) list += ',';
      list += plain(item);
    }
    pairs.push_back(path + "=" + list);
  } else if (!value.is_null()) {
    pairs.push_back(path + "=" + plain(value));
  }
}

// The module's reader takes its own defaults for what is missing, as the simulator's wire has it. Here a
// class with no deadline, or with an effect that nobody named, would be served by rules that nobody set.
void check_classes(const ConfigReader& settings) {
  const json& grades = settings.required("grades");
  if (!grades.is_array() || grades.empty()) throw ConfigError(settings.path("grades"), "names no class");
  std::set<std::string> names;
  for (std::size_t i = 0; i < grades.size(); ++i) {
    const ConfigReader cls(grades[i], settings.path("grades." + std::to_string(i)));
    const std::string name = cls.text("name");
    // Names stand in figures, a line each, and in the engines' lists of fields.
    const bool plain = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
      return c > ' ' && c < 0x7f && c != '=' && c != ',';
    });
    if (!plain) throw ConfigError(cls.path("name"), "not a plain word ('" + name + "')");
    if (!names.insert(name).second) throw ConfigError(cls.path("name"), "there twice ('" + name + "')");
    cls.text("effect");
    cls.number("target", 1, 1e15);
    cls.number("deadline", 1, 1e15);
  }
  settings.table("permissions").number("max_attempts", 1, 1e6);
}

// What was told and is told no more has been cut off, not taken back: a running dispatcher does not fall back
// to defaults. Only what the pages call optional may go, and single classes, tenants and engines.
void check_nothing_removed(const json& was, const json& now, const std::string& path) {
  static const std::set<std::string, std::less<>> optional{
      "aim_stretch", "keep_order",   "models_allowed", "allowed_in", "streaming", "window",
      "group",       "repeat_ratio", "counted_over",   "min_extra",  "turn_gap",  "fleet"};
  for (const auto& [key, value] : was.items()) {
    const std::string at = path + "." + key;
    if (value.is_null() || optional.contains(key)) continue;
    if (!now.contains(key) || now[key].is_null()) throw ConfigError(at, "missing, and it was there before");
    if (value.is_object() && now[key].is_object()) check_nothing_removed(value, now[key], at);
    if (key != "grades" || !value.is_array() || !now[key].is_array()) continue;
    // Of classes, what each of them had. The first stands for all: they come from one form.
    for (std::size_t i = 0; i < now[key].size() && !value.empty(); ++i) {
      check_nothing_removed(value.front(), now[key][i], at + "." + std::to_string(i));
    }
  }
}

void read_settings(const json& settings, Config& config) {
  std::vector<std::string> pairs;
  flatten(settings, "", pairs);
  const std::vector<std::string_view> views(pairs.begin(), pairs.end());
  check_classes(ConfigReader(settings, "settings"));
  try {
    config.settings = rookproxy::settings::parse_settings(config.seed, views);
    // The module has checks of its own. A running one could not be talked into half of what it turns down.
    const routing::Router trial(config.settings);
  } catch (const std::exception& fault) {
    throw ConfigError("settings", fault.what());
  }
  // The wire writes '_' for some characters; on sockets tenants are named as in the settings themselves.
  if (const auto parties = settings.find("parties"); parties != settings.end() && parties->is_array()) {
    for (std::size_t i = 0; i < config.settings.tenants.size(); ++i) {
      const json& party = (*parties)[i];
      const json name = party.is_object() ? party.value("name", json()) : json();
      if (name.is_string()) config.settings.tenants[i].name = name.get<std::string>();
    }
  }
  const ConfigReader reader(settings, "settings");
  if (reader.has("localities")) {
    for (const auto& zone : reader.required("localities")) {
      if (!zone.is_string()) throw ConfigError("settings.localities", "not a list of texts");
      config.zones.push_back(zone.get<std::string>());
    }
  }
  config.timer_resolution =
      Duration(reader.integer_or("resolution", config.timer_resolution.count(), 0, 1'000'000));
  if (!reader.has("permissions")) return;
  const ConfigReader permissions = reader.table("permissions");
  const auto micros = [&](const char* key, Duration fallback) {
    return Duration(permissions.integer_or(key, fallback.count(), 1, 3'600'000'000));
  };
  config.keepalive = micros("keepalive", config.keepalive);
  config.connect_timeout = micros("dial_timeout", config.connect_timeout);
  // 0 stands for clients that heed no advice; they are given some for those that do.
  const auto longest = permissions.integer_or("max_retry_after", 0, 0, 3'600'000'000);
  if (longest > 0) config.rejection_retry_after = Duration(longest);
  config.streams_per_connection =
      static_cast<std::size_t>(permissions.integer_or("multiplex", 32, 1, 10'000));
}

routing::EngineState read_engine_state(const std::string& word, const std::string& path) {
  if (word == "up") return routing::EngineState::kServing;
  if (word == "draining") return routing::EngineState::kDraining;
  if (word == "removed") return routing::EngineState::kRemoved;
  throw ConfigError(path, "unknown state '" + word + "'");
}

// The first event carries the whole list, each later one what changed or, if complete, the whole list again.
void read_initial_endpoints(const ConfigReader& known, Config& config) {
  config.initial_endpoints_version =
      static_cast<std::uint64_t>(known.integer_or("offset", 0, 0, 1'000'000'000'000));
  std::vector<EngineEndpoint> members;
  std::size_t event_number = 0;
  for (const auto& event : known.required("batch")) {
    const std::string path = "known.batch." + std::to_string(event_number++);
    const ConfigReader topology = ConfigReader(event, path).table("topology");
    if (topology.json().value("complete", false)) members.clear();
    std::size_t number = 0;
    for (const auto& entry : topology.required("members")) {
      EngineEndpoint member =
          read_engine_endpoint(entry, topology.path("members." + std::to_string(number++)));
      std::erase_if(members, [&](const EngineEndpoint& old) { return old.id == member.id; });
      if (member.state != routing::EngineState::kRemoved) members.push_back(std::move(member));
    }
  }
  config.initial_endpoints = std::move(members);
}

std::optional<int> passed_socket(const ConfigReader& reader) {
  if (!reader.has("passed_socket")) return std::nullopt;
  return static_cast<int>(reader.integer_or("passed_socket", 3, 3, 1'000'000));
}

void read_mysql_frontend(const ConfigReader& mysql, Config& config) {
  mysql.allow_only({"listen", "users", "read_class", "load_class", "read_deadline_ms", "load_deadline_ms",
                    "most_connections", "idle_ms", "passed_socket"});
  MysqlFrontConfig front;
  front.listen = mysql.endpoint("listen");
  front.passed_socket = passed_socket(mysql);
  const ConfigReader users = mysql.table("users");
  for (const auto& [name, password] : users.json().items()) front.users[name] = users.text(name);
  if (front.users.empty()) throw ConfigError(mysql.path("users"), "names nobody, so nobody could log in");
  const auto class_of = [&](const char* key) {
    const std::string name = mysql.text(key);
    for (const auto& cls : config.settings.classes) {
      if (cls.name == name) return &cls;
    }
    throw ConfigError(mysql.path(key), "no class '" + name + "' in settings.grades");
  };
  const auto* read = class_of("read_class");
  const auto* load = class_of("load_class");
  // A statement not known to only read must not be sent twice, so its class must be one that forbids it.
  if (load->idempotency != routing::Idempotency::kNonIdempotent) {
    throw ConfigError(mysql.path("load_class"),
                      "class '" + load->name + "' may be repeated; it must be side_effect");
  }
  front.read_class = read->name;
  front.load_class = load->name;
  front.read_timeout = mysql.milliseconds_or("read_deadline_ms", from_routing_duration(read->timeout), 50);
  front.load_timeout = mysql.milliseconds_or("load_deadline_ms", from_routing_duration(load->timeout), 50);
  front.max_connections = static_cast<std::size_t>(
      mysql.integer_or("most_connections", 100, 1, static_cast<std::int64_t>(config.sockets)));
  front.idle_timeout = mysql.milliseconds_or("idle_ms", front.idle_timeout, 100);
  config.mysql = std::move(front);
}

}  // namespace

LogConfig read_log_config(const ConfigReader& log) {
  log.allow_only({"level", "syslog", "facility"});
  LogConfig config;
  const auto level = parse_log_level(log.text_or("level", "info"));
  if (!level) throw ConfigError(log.path("level"), "not one of error, warning, notice, info, debug");
  config.level = *level;
  if (log.has("syslog")) config.syslog = log.endpoint("syslog");
  config.facility = static_cast<int>(log.integer_or("facility", 16, 0, 23));
  return config;
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw ConfigError(path, "can't be read");
  return text.str();
}

json read_toml(const std::string& path) {
  try {
    std::ostringstream out;
    out << toml::json_formatter(toml::parse(read_file(path)));
    return json::parse(out.str());
  } catch (const toml::parse_error& fault) {
    throw ConfigError(path + ":" + std::to_string(fault.source().begin.line),
                      std::string(fault.description()));
  }
}

EngineEndpoint read_engine_endpoint(const json& entry, const std::string& path) {
  const ConfigReader reader(entry, path);
  EngineEndpoint member;
  member.id = reader.text("id");
  if (member.id.empty()) throw ConfigError(reader.path("id"), "empty");
  member.state = read_engine_state(reader.text_or("phase", "up"), reader.path("phase"));
  if (member.state != routing::EngineState::kRemoved || reader.has("host_port")) {
    member.address = reader.endpoint("host_port");
  }
  member.zone = reader.text_or("locality", "");
  member.machine_type = reader.text_or("flavor", "");
  member.cell = static_cast<std::uint32_t>(reader.integer_or("cell", 0, 0, UINT32_MAX));
  member.weight = reader.has("size") ? reader.number("size", 0, 1e9) : 1;
  const auto started = reader.integer_or("up_since_ms", 0, 0, 1'000'000'000'000'000);
  if (started > 0) member.started_at = Time(std::chrono::milliseconds(started));
  return member;
}

Config read_config(const json& document) {
  const ConfigReader reader(document, "");
  Config config;
  config.name = reader.text_or("name", config.name);
  if (reader.has("listen")) config.listen = reader.endpoint("listen");
  if (reader.has("ops")) config.admin = reader.endpoint("ops");
  config.passed_socket = passed_socket(reader);
  if (config.passed_socket && !config.listen)
    throw ConfigError("passed_socket", "there is no `listen` for it");
  config.shared_folder = reader.text_or("shared_folder", "/tmp");
  if (reader.has("seed")) {
    const std::string seed = reader.text("seed");
    const auto read = parse_number<std::uint64_t>(seed, 16);
    if (!read) throw ConfigError("seed", "not hex digits ('" + seed + "')");
    config.seed = *read;
  }
  if (reader.has("limits")) {
    const ConfigReader limits = reader.table("limits");
    config.memory_mb = static_cast<std::size_t>(limits.integer_or("memory_mb", 192, 16, 1'000'000));
    config.sockets = static_cast<std::size_t>(limits.integer_or("sockets", 1024, 32, 1'000'000));
  }
  if (reader.has("nameserver")) config.nameserver = reader.endpoint("nameserver");
  config.service = reader.text_or("service", config.service);
  config.discovery_poll_interval =
      reader.milliseconds_or("directory_poll_ms", config.discovery_poll_interval, 10);
  read_settings(reader.required("settings"), config);
  try {
    config.peers = read_peers(document);
  } catch (const ConfigError& fault) {
    config.peers_error = fault.what();
  }
  if (reader.has("known")) read_initial_endpoints(reader.table("known"), config);
  if (reader.has("engines")) {  // an operator's fixed list
    std::size_t number = 0;
    config.initial_endpoints.clear();
    for (const auto& entry : reader.required("engines")) {
      config.initial_endpoints.push_back(read_engine_endpoint(entry, "engines." + std::to_string(number++)));
    }
  }
  const std::string link = reader.text_or("link", "lines");
  if (link != "lines" && link != "mysql")
    throw ConfigError("link", "neither 'lines' nor 'mysql' ('" + link + "')");
  config.engine_protocol = link == "mysql" ? EngineProtocol::kMysql : EngineProtocol::kLines;
  if (config.engine_protocol == EngineProtocol::kMysql) {
    const ConfigReader engines = reader.table("mysql_engines");
    engines.allow_only({"user", "password", "schema"});
    config.mysql_engines = {engines.text("user"), engines.text_or("password", ""),
                            engines.text_or("schema", "")};
  }
  if (reader.has("mysql")) {
    if (config.engine_protocol != EngineProtocol::kMysql)
      throw ConfigError("link", "the MySQL front needs engines that speak MySQL");
    read_mysql_frontend(reader.table("mysql"), config);
  }
  if (reader.has("access")) {
    config.access = read_access(reader.required("access"), config.settings);
    config.credential_poll_interval =
        reader.table("access").milliseconds_or("poll_ms", config.credential_poll_interval, 20);
    // Passwords stay for whoever sets them up, and each of those has to be somebody.
    if (config.mysql) {
      for (const auto& [name, password] : config.mysql->users) {
        if (!config.access->users.contains(name))
          throw ConfigError("access.users", "says nothing of '" + name + "', who is in mysql.users");
      }
    }
  }
  if (reader.has("tls")) {
    config.tls = read_tls(reader.required("tls"));
    if (config.tls->frames && !config.listen) throw ConfigError("tls.frames", "there is no `listen` for it");
    if (config.tls->mysql != TlsConfig::MysqlMode::kOff && !config.mysql)
      throw ConfigError("tls.mysql", "there is no [mysql] for it");
    if (config.tls->server.client_certificates != tls::ClientCertificates::kNone && !config.access)
      throw ConfigError("tls.client_certificates", "there is no [access] to say what they stand for");
    if (config.access && !config.access->keys_file.empty() && config.mysql &&
        config.tls->mysql == TlsConfig::MysqlMode::kOff) {
      throw ConfigError("tls.mysql", "off, and tokens are taken in TLS only");
    }
  }
  if (reader.has("fleet")) config.cluster = read_cluster(reader.required("fleet"), config);
  if (reader.has("log")) config.log = read_log_config(reader.table("log"));
  if (!config.listen && !config.mysql) throw ConfigError("listen", "missing, and there is no other front");
  if (config.initial_endpoints.empty() && !config.nameserver)
    throw ConfigError("engines", "no engines and no nameserver");
  return config;
}

Environment read_environment() {
  const auto read = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value ? value : "");
  };
  return {read("NODE_CONFIG"), read("NODE_OPS"), read("NODE_PASSED_SOCKET"), read("TMPDIR")};
}

// Files that an operator's file names without a folder's root lie beside it.
void resolve_relative_files(json& document, const std::string& operators) {
  const auto folder = std::filesystem::path(operators).parent_path();
  for (const auto& [section, keys] :
       std::map<std::string, std::vector<std::string>>{{"access", {"keys", "revoked"}},
                                                       {"tls", {"certificate", "key", "client_ca", "crl"}},
                                                       {"fleet", {"key", "former_key"}}}) {
    if (!document.contains(section) || !document[section].is_object()) continue;
    for (const auto& key : keys) {
      json& at = document[section];
      if (!at.contains(key) || !at[key].is_string()) continue;
      const std::string name = at[key].get<std::string>();
      if (!name.empty()) at[key] = (folder / name).string();
    }
  }
}

Config load_config(const Environment& environment, const std::string& operators) {
  const std::string& platform = environment.config_file;
  json document = json::object();
  if (!platform.empty()) {
    try {
      document = json::parse(read_file(platform));
    } catch (const json::exception& fault) {
      throw ConfigError(platform, fault.what());
    }
  }
  if (!operators.empty()) {
    json file = read_toml(operators);
    resolve_relative_files(file, operators);
    document.merge_patch(file);
  }
  if (!environment.admin.empty()) document["ops"] = environment.admin;
  // $TMPDIR is set for many reasons: a folder that was named is meant.
  if (!environment.shared_folder.empty() && !document.contains("shared_folder"))
    document["shared_folder"] = environment.shared_folder;
  if (!environment.passed_socket.empty()) {
    const auto number = parse_number<int>(environment.passed_socket);
    if (!number)
      throw ConfigError("$NODE_PASSED_SOCKET", "not a number ('" + environment.passed_socket + "')");
    // The platform's front has it; the MySQL front, where it stands alone.
    (document.contains("listen") ? document : document["mysql"])["passed_socket"] = *number;
  }
  Config config = read_config(document);
  config.document = std::make_shared<const json>(std::move(document));
  return config;
}

Config load_config(const Environment& environment, const std::string& operators, const Config& running) {
  Config fresh = load_config(environment, operators);
  if (running.mysql && !fresh.mysql) throw ConfigError("mysql", "missing, and its front is open");
  for (const char* key : {"name", "listen", "seed", "limits", "nameserver", "known", "settings"}) {
    const json& was = *running.document;
    if (!was.contains(key)) continue;
    // A directory may give way to a fixed list.
    const bool lists_engines = std::string_view(key) == "nameserver" || std::string_view(key) == "known";
    if (lists_engines && fresh.document->contains("engines")) continue;
    if (!fresh.document->contains(key)) throw ConfigError(key, "missing, and it was there before");
    if (was[key].is_object()) check_nothing_removed(was[key], (*fresh.document)[key], key);
  }
  return fresh;
}

}  // namespace rookproxy
