#include "support/scenario.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/credential_fixture.h"
#include "fakes/fake_discovery_server.h"
#include "fakes/fake_mysql_engine.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "frontend/frames.h"
#include "support/confine.h"
#include "support/descriptors.h"
#include "support/process.h"
#include "upstream/lines.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

std::string unescape_text(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out += text[i];
    } else {
      const char c = text[++i];
      out += c == 't' ? '\t' : c == 'n' ? '\n' : c == 'r' ? '\r' : c;
    }
  }
  return out;
}

std::string decode_hex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  }
  return out;
}

struct ScriptedLineEngine {
  FileDescriptor listener = listen_on_free_port();
  std::uint16_t port = local_port(listener);
  std::vector<TestConnection> connections;
  std::size_t last_connection = 0;  // the peer that the last command came from
  std::string last_request_id;      // of the last REQ
  int request_count = 0;            // that came
  std::string unsent_remainder;     // of an answer that was begun
  std::vector<FileDescriptor> queue_fillers;

  // Its queue takes no connection any more: the kernel drops what comes, as a machine that is cut off does.
  void fill_accept_queue() {
    ::listen(listener.get(), 0);
    for (int i = 0; i < 8; ++i) queue_fillers.push_back(connect_tcp({0x7f000001, port}));
  }
  void drain_accept_queue() {
    queue_fillers.clear();
    while (wait_until_readable(listener, 20ms)) accept_connection(listener);
    ::listen(listener.get(), 64);
  }

  // The next command from any connection: its line, and the body of a REQ after it.
  std::optional<std::string> next_command(std::chrono::milliseconds within) {
    const auto until = std::chrono::steady_clock::now() + within;
    do {
      if (listener && wait_until_readable(listener, 1ms))
        connections.emplace_back(accept_connection(listener));
      for (std::size_t i = 0; i < connections.size(); ++i) {
        connections[i].read_more(1ms);
        const auto end = connections[i].buffer().find("\r\n");
        if (end == std::string::npos) continue;
        std::string line = connections[i].buffer().substr(0, end);
        std::size_t used = end + 2;
        if (line.starts_with("REQ ")) {
          const std::size_t body = std::stoul(line.substr(line.rfind(' ') + 1));
          if (!connections[i].wait_for_bytes(used + body + 2)) fail_test("a body that ends too soon");
          line += "\n" + connections[i].buffer().substr(used, body);
          used += body + 2;
          last_request_id = line.substr(4, line.find(' ', 4) - 4);
          ++request_count;
        }
        connections[i].take(used);
        last_connection = i;
        return line;
      }
    } while (std::chrono::steady_clock::now() < until);
    return std::nullopt;
  }
};

struct ScenarioClient {
  TestConnection peer;
  bool speaks_mysql = false;
  std::vector<std::uint32_t> statements;  // by order of their prepares
  std::string unsent_remainder = {};      // of a frame that was begun
};

class ScenarioRunner {
 public:
  ScenarioRunner() {
    directory_path_ = make_temporary_directory();
    require(!directory_path_.empty(), "no folder");
    credentials_ = std::make_unique<CredentialFixture>(directory_path_);
  }
  ~ScenarioRunner() { std::filesystem::remove_all(directory_path_); }
  std::string log() const {
    return (previous_process_.started() ? previous_process_.log() + "-- its successor:\n" : "") +
           (process_.started() ? process_.log() : "");
  }

  void step(const std::string& line) {
    step_words_ = std::istringstream(line);
    const std::string verb = next_word();
    if (verb == "engines" || verb == "mysql-engines") return create_engines(verb == "mysql-engines");
    if (verb == "set") return set();
    if (verb == "start") return start();
    if (verb == "directory") return publish_endpoints();
    if (verb == "move") return move_discovery_server();
    if (verb == "configure") return configure(remaining_text());
    if (verb == "call") {
      const std::string text = remaining_text();
      const bool old = text.starts_with("old ");
      admin_response_ = call_admin(old ? previous_process_ : process_, text.substr(old ? 4 : 0));
      return;
    }
    if (verb == "descriptors") return void(descriptor_limit_ = std::stoul(next_word()));
    if (verb == "confine") return void(filters_system_calls_ = true);
    if (verb == "pass") {
      const auto pass = [this](json& listen) {
        inherited_sockets_.push_back(listen_on_free_port());
        listen = "127.0.0.1:" + std::to_string(local_port(inherited_sockets_.back()));
      };
      pass(config_["listen"]);
      if (mysql_engines_.empty()) return;
      pass(config_["mysql"]["listen"]);
      config_["mysql"]["passed_socket"] = 4;
      return;
    }
    if (verb == "upgrade") {
      previous_process_ = std::move(process_);
      process_ = DispatcherProcess();
      return start();
    }
    if (verb == "hold") return open_admin_connections();
    if (verb == "crowd") {
      for (int left = std::stoi(next_word()); left > 0; --left)
        open_connections_.push_back(TestConnection::connect(frames_port_));
      return;
    }
    if (verb == "idlers") return create_idle_clients(std::stoi(next_word()));
    if (verb == "client") return connect();
    if (verb == "mysql") return log_in();
    if (verb == "knock") {
      clients_.insert_or_assign(next_word(), ScenarioClient{TestConnection::connect(mysql_port_), true, {}});
      return;
    }
    if (verb == "send") return send();
    if (verb == "expect") return expect();
    if (verb == "close") return close();
    if (verb == "fill") return line_engines_.at(next_word()).fill_accept_queue();
    if (verb == "let") return line_engines_.at(next_word()).drain_accept_queue();
    if (verb == "absorb") {
      ScriptedLineEngine& engine = line_engines_.at(next_word());
      const auto quiet = std::chrono::milliseconds(std::stoi(next_word()));
      while (engine.next_command(quiet)) {
      }
      return;
    }
    if (verb == "repeat") {
      const int times = std::stoi(next_word());
      const std::string again = remaining_text();
      for (int i = 0; i < times; ++i) step(again);
      return;
    }
    if (verb == "wait") return std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(next_word())));
    if (verb == "access") {
      config_["access"] = credentials_->access_section();
      return;
    }
    if (verb == "key") {
      const std::string name = next_word();
      return credentials_->make_key(name, next_word());
    }
    if (verb == "publish") {
      std::vector<std::string> keys;
      for (std::string spec = next_word(); !spec.empty(); spec = next_word()) keys.push_back(spec);
      return credentials_->publish_keys(keys);
    }
    if (verb == "token") {
      const std::string name = next_word(), key = next_word(), role = next_word(), changes = remaining_text();
      tokens_[name] =
          credentials_->mint_token(key, role, changes.empty() ? json::object() : json::parse(changes));
      return;
    }
    if (verb == "tls") {
      const std::string fronts = next_word(), clients = next_word();
      const bool mysql = fronts != "frames";
      config_["tls"] = credentials_->tls_section({fronts != "mysql", mysql ? "required" : "off",
                                                  clients.empty() ? "none" : clients, next_word() == "crl"});
      return;
    }
    if (verb == "certificate") return make_certificate();
    if (verb == "crl") {
      const int to = std::stoi(next_word());
      const std::string from = next_word();
      return credentials_->publish_revocation_list(
          {std::chrono::seconds(from.empty() ? -1 : std::stoi(from)), std::chrono::seconds(to)});
    }
    if (verb == "lines-engines") return create_auto_reply_engines();
    if (verb == "rotate") return rotate_under_load();
    if (verb == "renew") return credentials_->renew_server_certificate();
    if (verb == "driver") return run_driver();
    if (verb == "spoil") {
      std::ofstream(directory_path_ + "/keys.json") << remaining_text();
      return;
    }
    if (verb == "revoke") {
      const std::string kind = next_word(), what = next_word();
      if (kind != "certificate") return credentials_->revoke_token(kind, what);
      credentials_->revoke_certificate(what);
      return credentials_->publish_revocation_list();
    }
    if (verb == "signal") {
      std::string name = next_word();
      DispatcherProcess& to = name == "old" ? previous_process_ : process_;
      if (name == "old") name = next_word();
      static const std::map<std::string, int> numbers{{"HUP", SIGHUP},   {"INT", SIGINT},
                                                      {"KILL", SIGKILL}, {"TERM", SIGTERM},
                                                      {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
      return to.send_signal(numbers.at(name));
    }
    fail_test("unknown step");
  }

 private:
  std::string next_word() {
    std::string out;
    step_words_ >> out;
    return out;
  }
  std::string remaining_text() {
    std::string out;
    std::getline(step_words_ >> std::ws, out);
    return unescape_text(out);
  }

  std::uint16_t engine_port(const std::string& name) {
    return mysql_engines_.contains(name) ? mysql_engines_[name]->port() : line_engines_.at(name).port;
  }

  void create_engines(bool mysql) {
    json members = json::array();
    for (std::string name = next_word(); !name.empty(); name = next_word()) {
      if (mysql) {
        mysql_engines_[name] = std::make_unique<FakeMysqlEngine>();
      } else {
        line_engines_[name];
      }
      members.push_back({{"id", name},
                         {"host_port", "127.0.0.1:" + std::to_string(engine_port(name))},
                         {"locality", "z"},
                         {"flavor", "m"},
                         {"phase", "up"},
                         {"size", 1},
                         {"up_since_ms", 0}});
    }
    config_["known"]["batch"] =
        json::array({{{"offset", 1},
                      {"topology", {{"revision", 1}, {"complete", true}, {"members", std::move(members)}}}}});
    if (!mysql) return;
    config_["link"] = "mysql";
    config_["mysql_engines"] = {{"user", "rookproxy"}, {"password", "engine-secret"}};
    config_["mysql"] = {{"listen", "127.0.0.1:0"},
                        {"users", {{"school", "secret"}}},
                        {"read_class", "lookup"},
                        {"load_class", "load"}};
  }

  void create_auto_reply_engines() {
    json members = json::array();
    for (std::string name = next_word(); !name.empty(); name = next_word()) {
      auto_reply_engines_[name] = std::make_unique<AutoReplyLineEngine>();
      auto_reply_engines_[name]->record_statements();
      members.push_back({{"id", name},
                         {"host_port", "127.0.0.1:" + std::to_string(auto_reply_engines_[name]->port())},
                         {"locality", "z"},
                         {"flavor", "m"},
                         {"phase", "up"},
                         {"size", 1},
                         {"up_since_ms", 0}});
    }
    config_["known"]["batch"] =
        json::array({{{"offset", 1},
                      {"topology", {{"revision", 1}, {"complete", true}, {"members", std::move(members)}}}}});
  }

  // One request as a frame, by token.
  std::string frame_of(std::uint32_t stream, std::uint64_t call, const std::string& token,
                       const std::string& statement) {
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << call;
    const frames::Fields fields{{"op", "lookup"}, {"ttl", "3000"}, {"call", id.str()}, {"token", token}};
    std::string payload(1, static_cast<char>(fields.size()));
    for (const auto& [key, value] : fields) {
      payload += static_cast<char>(key.size()) + key;
      payload += static_cast<char>(value.size() >> 8);
      payload += static_cast<char>(value.size()) + value;
    }
    return frames::encode_frame(frames::kRequest, stream, payload + statement);
  }

  // rotate under load from N connections: `old` gives way to `new` while all of them ask, by the token of the
  // key that is signed with, and strangers ask in between.
  void rotate_under_load() {
    next_word(), next_word(), next_word();
    const int connections = std::stoi(next_word());
    const std::vector<std::string> valid{credentials_->mint_token("old", "student"),
                                         credentials_->mint_token("new", "student")};
    const std::string stranger = credentials_->mint_token("stranger", "student");
    std::atomic<int> key{0}, served{0}, denied{0}, strangers_denied{0}, failed{0};
    std::atomic<bool> stop{false};
    const auto ask = [&](int number) {
      TestConnection peer = TestConnection::connect(frames_port_);
      const bool is_stranger = number < 0;
      for (std::uint32_t stream = 1; !stop; ++stream) {
        const std::uint64_t call = (static_cast<std::uint64_t>(number + 2) << 32) + stream;
        peer.send(frame_of(stream, call, is_stranger ? stranger : valid[static_cast<std::size_t>(key.load())],
                           is_stranger ? "SELECT x FROM sales_9.stolen" : "SELECT x FROM sales_17.orders"));
        frames::Frame frame;
        std::size_t used = 0;
        while (frames::parse_frame(peer.buffer(), frame, used) != frames::ParseStatus::kComplete) {
          if (!peer.read_more()) {
            ++failed;
            return;
          }
        }
        if (is_stranger && frame.payload[0] == 1) ++strangers_denied;
        if (!is_stranger) ++(frame.payload[0] == 0 ? served : denied);
        peer.take(used);
      }
    };
    struct Threads : std::vector<std::thread> {
      std::atomic<bool>& stop;
      explicit Threads(std::atomic<bool>& flag) : stop(flag) {}
      ~Threads() {
        stop = true;
        for (auto& thread : *this) {
          if (thread.joinable()) thread.join();
        }
      }
    } threads(stop);
    for (int i = 0; i < connections; ++i) threads.emplace_back(ask, i);
    threads.emplace_back(ask, -1);
    const auto some_more = [&] {
      const int from = served;
      const auto until = std::chrono::steady_clock::now() + kWaitLimit;
      while (served < from + 20 * connections && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(1ms);
    };
    some_more();
    credentials_->publish_keys({"old", "new"});
    expect_metric("keys=2");
    some_more();
    key = 1;
    some_more();
    credentials_->publish_keys({"new"});
    expect_metric("keys=1");
    some_more();
    stop = true;
    for (auto& thread : threads) thread.join();
    require(failed == 0, std::to_string(failed) + " connections ended");
    require(served >= 80 * connections, "only " + std::to_string(served) + " served");
    require(denied == 0, std::to_string(denied) + " valid callers refused");
    require(strangers_denied > 0, "the stranger was never denied");
    for (auto& [name, engine] : auto_reply_engines_)
      require(engine->count_statements_containing("stolen") == 0, "a stranger's query reached " + name);
  }

  void set() {
    const std::string pointer = next_word();
    config_[json::json_pointer(pointer)] = json::parse(remaining_text());
  }

  void start() {
    configure("");
    {
      std::optional<DescriptorLimit> limit;
      if (descriptor_limit_ > 0) limit.emplace(descriptor_limit_);
      process_.start(directory_path_, directory_path_ + "/log" + std::to_string(++start_count_),
                     inherited_sockets_, filters_system_calls_);
    }
    process_.wait_for_log("ready to serve");
    frames_port_ =
        static_cast<std::uint16_t>(std::stoi(process_.wait_for_log("start [rookproxy@32473 port=\"")));
    if (!mysql_engines_.empty()) {
      process_.wait_for_log("serving mysql");
      const std::string log = process_.log();
      const auto line = log.substr(0, log.find(" serving mysql")).rfind("port=\"");
      mysql_port_ = static_cast<std::uint16_t>(std::stoi(log.substr(line + 6)));
    }
  }

  void open_admin_connections() {
    const int count = std::stoi(next_word());
    const std::string text = remaining_text();
    for (int i = 0; i < count; ++i) {
      open_connections_.push_back(TestConnection::connect(process_.admin_port()));
      open_connections_.back().send(text);
    }
  }

  // Figures may be a little late.
  void expect_metric(const std::string& wanted) {
    const auto until = std::chrono::steady_clock::now() + kWaitLimit;
    for (;;) {
      const std::string all = call_admin(process_, "METRICS");
      if (all.find("\nsvc." + wanted + "\n") != std::string::npos) return;
      require(std::chrono::steady_clock::now() < until, "the figures are\n" + all);
      std::this_thread::sleep_for(5ms);
    }
  }

  // Writes the file anew: as it stands, or with that text.
  void configure(const std::string& text) {
    config_["nameserver"] =
        "127.0.0.1:" + std::to_string(unresponsive_discovery_ ? local_port(unresponsive_discovery_)
                                                              : discovery_server_->port());
    std::ofstream(directory_path_ + "/config.json") << (text.empty() ? config_.dump() : text);
  }

  // The former one answers no more.
  void move_discovery_server() {
    next_word();
    const bool silent = next_word() == "silent";
    discovery_server_ = std::make_unique<FakeDiscoveryServer>(discovery_server_->version());
    unresponsive_discovery_ = silent ? bind_udp({0x7f000001, 0}) : FileDescriptor();
  }

  void publish_endpoints() {
    std::vector<EngineEndpoint> members;
    for (std::string entry = next_word(); !entry.empty(); entry = next_word()) {
      const auto equals = entry.find('=');
      EngineEndpoint member;
      member.id = entry.substr(0, equals);
      member.address = {0x7f000001, engine_port(member.id)};
      member.machine_type = "m";
      if (entry.substr(equals + 1) == "draining") member.state = routing::EngineState::kDraining;
      members.push_back(std::move(member));
    }
    discovery_server_->set_endpoints(std::move(members));
    process_.wait_for_log("new list");
    process_.wait_for_log("serial=\"" + std::to_string(discovery_server_->version()));
  }

  void create_idle_clients(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string name = "idler" + std::to_string(i);
      step("client " + name);
      step("send " + name + " request 1 lookup 3000 SELECT 1");
      step("expect " + name + R"( served 1 a\tb\tc\n)");
    }
  }

  // client C [tls [CERTIFICATE] [denied]]
  void connect() {
    const std::string name = next_word(), tls = next_word();
    std::string certificate = next_word();
    ScenarioClient client{TestConnection::connect(frames_port_), false, {}};
    if (tls == "tls") secure(client.peer, certificate);
    clients_.insert_or_assign(name, std::move(client));
  }

  void secure(TestConnection& peer, const std::string& certificate) {
    if (certificate.empty()) return peer.start_tls();
    const Certificate& one = credentials_->certificate(certificate);
    peer.start_tls(one.pem(), one.private_key_pem());
  }

  // certificate NAME [ALTERNATIVE|-] [FROM TO] [stranger] [server]
  void make_certificate() {
    const std::string name = next_word(), alternative = next_word(), from = next_word(), to = next_word();
    const std::string more = remaining_text();
    credentials_->issue_certificate({name,
                                     alternative == "-" ? "" : alternative,
                                     {std::chrono::seconds(from.empty() ? -10 : std::stoi(from)),
                                      std::chrono::seconds(to.empty() ? 3600 : std::stoi(to))},
                                     more.find("stranger") != more.npos,
                                     more.find("server") == more.npos ? CertificateRequest::Usage::kClient
                                                                      : CertificateRequest::Usage::kServer});
  }

  // A client library's script, told where to connect and with which token.
  void run_driver() {
    const std::string file = next_word(), token = tokens_.at(next_word()), user = next_word();
    const pid_t child = ::fork();
    if (child == 0) {
      ::execl("/usr/bin/python3", "python3", (std::string(ROOKPROXY_ROOT "/tests/drivers/") + file).c_str(),
              std::to_string(mysql_port_).c_str(), user.c_str(), token.c_str(), nullptr);
      ::_exit(99);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    require(WIFEXITED(status) && WEXITSTATUS(status) == 0, "the driver failed");
  }

  // mysql C [SCHEMA|denied] | mysql C tls [USER|-] [as TOKEN] [with CERTIFICATE] [denied]
  void log_in() {
    const std::string name = next_word();
    std::string schema = next_word(), user = "school", token, certificate;
    ScenarioClient client{TestConnection::connect(mysql_port_), true, {}};
    const auto greeting = read_mysql_message(client.peer);
    require(greeting.has_value(), "no greeting");
    const auto read = mysql::parse_greeting(greeting->payload);
    mysql::Login login;
    login.capabilities = mysql::kCapabilities & ~mysql::kConnectAttrs;
    std::uint8_t sequence = 1;
    bool denied = schema == "denied";
    if (schema == "tls") {
      schema.clear();
      if (const std::string other = next_word(); !other.empty() && other != "-") user = other;
      for (std::string part = next_word(); !part.empty(); part = next_word()) {
        if (part == "denied") denied = true;
        if (part == "as") token = next_word();
        if (part == "with") certificate = next_word();
        if (part == "in") schema = next_word();
      }
      if (tokens_.contains(token)) token = tokens_.at(token);
      login.capabilities |= mysql::kSsl;
      std::string request;
      mysql::append_integer(request, login.capabilities, 4);
      mysql::append_integer(request, 1 << 24, 4);
      request += static_cast<char>(mysql::kUtf8mb4);
      request.append(23, '\0');
      client.peer.send(mysql::split_into_packets(request, sequence));
      secure(client.peer, certificate);
    }
    if (schema.empty()) login.capabilities &= ~mysql::kConnectWithDb;
    login.user = user;
    login.schema = schema;
    login.plugin = read.plugin;
    login.auth_response = *mysql::make_auth_response(read.plugin, "secret", read.nonce);
    client.peer.send(mysql::split_into_packets(mysql::login_payload(login), sequence));
    complete_login(client, token, denied);
    clients_.insert_or_assign(name, std::move(client));
  }

  // The rest of a log-in, up to its end: by token where that is asked for, else by the password.
  void complete_login(ScenarioClient& client, const std::string& token, bool denied) {
    auto answer = read_mysql_message(client.peer);
    if (answer && answer->payload.starts_with('\xfe')) {
      const std::string_view asked = std::string_view(answer->payload).substr(1);
      const std::string plugin(asked.substr(0, asked.find('\0')));
      std::uint8_t sequence = answer->next_sequence;
      const std::string nonce(asked.substr(plugin.size() + 1, 20));
      const std::string proof = plugin == mysql::kClearPassword
                                    ? token + '\0'
                                    : *mysql::make_auth_response(plugin, "secret", nonce);
      client.peer.send(mysql::split_into_packets(proof, sequence));
      answer = read_mysql_message(client.peer);
    }
    if (answer && answer->payload == "\x01\x03") answer = read_mysql_message(client.peer);
    if (denied) return require(answer && answer->payload.starts_with('\xff'), "let in");
    const std::string why =
        answer && answer->payload.starts_with('\xff') ? mysql::parse_error(answer->payload).text : "";
    require(answer && answer->payload.starts_with('\0'), "the log-in failed: " + why);
  }

  void send() {
    const std::string name = next_word(), what = next_word();
    if (line_engines_.contains(name)) {
      ScriptedLineEngine& engine = line_engines_.at(name);
      if (what == "raw") return engine.connections.at(engine.last_connection).send(remaining_text());
      if (what == "finish")
        return engine.connections.at(engine.last_connection).send(std::exchange(engine.unsent_remainder, ""));
      const bool half = what == "begin";
      const std::string kind = half ? next_word() : what, fields = next_word(), body = remaining_text();
      std::string answer = engine.last_request_id + " " + kind + " " + fields + " " +
                           std::to_string(body.size()) + "\r\n" + body + "\r\n";
      if (half) {
        engine.unsent_remainder = answer.substr(answer.size() / 2);
        answer.resize(answer.size() / 2);
      }
      return engine.connections.at(engine.last_connection).send(answer);
    }
    ScenarioClient& client = clients_.at(name);
    client.speaks_mysql ? send_mysql(client, what) : send_frame(client, what);
  }

  void send_frame(ScenarioClient& client, std::string what) {
    std::chrono::milliseconds pause{0};
    const bool half = what == "begin";
    if (half) what = next_word();
    if (what == "finish") return client.peer.send(std::exchange(client.unsent_remainder, ""));
    if (what == "slowly") pause = std::chrono::milliseconds(std::stoi(next_word()) / 10), what = next_word();
    std::string as;
    if (what == "as") as = next_word(), what = next_word();
    if (what == "hex") return client.peer.send(decode_hex(next_word()));
    const std::string number = next_word();
    const auto stream = number == "+" ? ++last_stream_ : static_cast<std::uint32_t>(std::stoul(number));
    if (what == "abandon") return client.peer.send(frames::encode_frame(frames::kCancel, stream, ""));
    if (what == "ready")
      return client.peer.send(frames::encode_frame(frames::kReadinessQuery, stream, std::string(1, '\0')));
    frames::Fields fields;
    if (what == "request") {
      fields["op"] = next_word();
      fields["ttl"] = next_word();
      std::ostringstream call;
      call << std::hex << 0x1000000000000000 + ++last_call_id_;
      fields["call"] = call.str();
    } else {
      std::istringstream list(next_word());
      for (std::string part; std::getline(list, part, ',');) {
        fields[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
      }
    }
    if (const auto call_id = fields.find("call"); call_id != fields.end() && call_id->second == "new") {
      std::ostringstream call;
      call << std::hex << 0x2000000000000000 + ++last_call_id_;
      fields["call"] = call.str();
    }
    if (!as.empty()) fields["token"] = tokens_.contains(as) ? tokens_.at(as) : as;
    std::string payload(1, static_cast<char>(fields.size()));
    for (const auto& [key, value] : fields) {
      payload += static_cast<char>(key.size()) + key;
      payload += static_cast<char>(value.size() >> 8);
      payload += static_cast<char>(value.size()) + value;
    }
    const std::string frame = frames::encode_frame(frames::kRequest, stream, payload + remaining_text());
    if (half) {
      client.unsent_remainder = frame.substr(frame.size() / 2);
      return client.peer.send(frame.substr(0, frame.size() / 2));
    }
    const std::size_t piece = pause == 0ms ? frame.size() : (frame.size() + 9) / 10;
    for (std::size_t at = 0; at < frame.size(); at += piece) {
      client.peer.send(std::string_view(frame).substr(at, piece));
      std::this_thread::sleep_for(pause);
    }
  }

  void send_mysql(ScenarioClient& client, const std::string& what) {
    std::string payload;
    if (what == "user") {  // COM_CHANGE_USER: send C user NAME TOKEN [denied]
      const std::string user = next_word();
      std::string token = next_word();
      payload = '\x11' + user + std::string("\0\0\0", 3);
      mysql::append_integer(payload, mysql::kUtf8mb4, 2);
      payload += "caching_sha2_password" + std::string(1, '\0');
      std::uint8_t sequence = 0;
      client.peer.send(mysql::split_into_packets(payload, sequence));
      client.statements.clear();
      return complete_login(client, tokens_.contains(token) ? tokens_.at(token) : token,
                            next_word() == "denied");
    }
    if (what == "query") payload = '\x03' + remaining_text();
    if (what == "prepare") payload = '\x16' + remaining_text();
    if (what == "command") payload = decode_hex(next_word());
    if (what == "execute" || what == "again") {
      payload = '\x17';
      mysql::append_integer(payload, client.statements.at(std::stoul(next_word()) - 1), 4);
      payload += std::string("\0\1\0\0\0", 5);
      if (const std::string value = remaining_text(); !value.empty()) {
        const bool is_long = value == "LONG";
        payload += '\0';
        payload += what == "execute" ? std::string("\1\xfd\0", 3) : std::string(1, '\0');
        if (!is_long) mysql::append_length_encoded_string(payload, value);
      }
    }
    if (what == "long") {
      payload = '\x18';
      mysql::append_integer(payload, client.statements.at(std::stoul(next_word()) - 1), 4);
      mysql::append_integer(payload, std::stoul(next_word()), 2);
      payload += remaining_text();
    }
    std::uint8_t sequence = 0;
    client.peer.send(mysql::split_into_packets(payload, sequence));
  }

  std::optional<frames::Frame> next_frame(ScenarioClient& client, std::string& kept) {
    frames::Frame frame;
    std::size_t used = 0;
    while (frames::parse_frame(client.peer.buffer(), frame, used) != frames::ParseStatus::kComplete) {
      if (!client.peer.read_more()) return std::nullopt;
    }
    kept = client.peer.take(used);
    frames::parse_frame(kept, frame, used);
    return frame;
  }

  // That frame, whatever comes before it, which is kept.
  void expect_go_away_among(ScenarioClient& client) {
    std::string others, kept;
    for (;;) {
      const auto frame = next_frame(client, kept);
      require(frame.has_value(), "it never came");
      if (frame->type == frames::kGoAway) break;
      others += kept;
    }
    client.peer.buffer().insert(0, others);
  }

  void expect_frame(ScenarioClient& client, const std::string& what) {
    if (what == "goaway" && next_word() == "among") return expect_go_away_among(client);
    std::string kept;
    const auto frame = next_frame(client, kept);
    require(frame.has_value(), "nothing came");
    if (what == "goaway")
      return require(frame->type == frames::kGoAway && frame->stream_id == 0, "not a go-away");
    if (what == "ready") {
      require(frame->type == frames::kReadiness, "not an answer on readiness");
      return require(frame->payload[0] == std::stoi(next_word()), "the other readiness");
    }
    require(frame->type == frames::kResponse, "not an answer but type " + std::to_string(frame->type));
    if (what == "error") return require(frame->stream_id == 0, "an error on a stream");
    const bool refused = what == "refused" || what == "denied" || what == "pushback";
    const int code = what == "final" ? frame->payload[0] : what == "served" ? 0 : refused ? 1 : 2;
    std::string_view body = frame->payload.substr(1);
    frames::Fields fields;
    require(frames::parse_fields(body, fields), "unreadable fields");
    require(frame->stream_id == std::stoul(next_word()), "on stream " + std::to_string(frame->stream_id));
    require(frame->payload[0] == code,
            "code " + std::to_string(frame->payload[0]) + ": " + std::string(body));
    if (what == "denied") {
      const auto reason = fields.find("denied");
      return require(reason != fields.end() && reason->second == next_word(),
                     "denied for another reason: " + std::string(body));
    }
    require(code != 1 || fields.contains("pushback"), "a refusal without a time to come back");
    if (what == "pushback") {
      const std::string wanted = next_word();
      return require(fields["pushback"] == wanted, "it says " + fields["pushback"]);
    }
    const std::string text = remaining_text();
    require(code == 0 ? body == text : body.find(text) != body.npos, "body '" + std::string(body) + "'");
  }

  void expect_mysql(ScenarioClient& client, const std::string& what) {
    const auto first = read_mysql_message(client.peer);
    require(first.has_value(), "nothing came");
    require(first->first_sequence == 1, "a sequence that does not start at 1");
    const std::string& payload = first->payload;
    const std::string got = payload.starts_with('\xff') ? std::to_string(mysql::parse_error(payload).code) +
                                                              " " + mysql::parse_error(payload).text
                                                        : "no error";
    if (what == "error") {
      require(got.starts_with(next_word()), got);
      return require(got.find(remaining_text()) != std::string::npos, got);
    }
    require(got == "no error", got);
    if (what == "ok") return require(payload.starts_with('\0'), "not OK");
    mysql::ResponseTracker tracker(what == "prepared" ? mysql::ResponseTracker::Kind::kPrepare
                                                      : mysql::ResponseTracker::Kind::kPlain);
    std::uint8_t sequence = first->next_sequence;
    int messages = 1;
    for (bool whole = tracker.on_packet(payload); !whole; ++messages) {
      const auto message = read_mysql_message(client.peer);
      require(message.has_value(), "an answer that ends too soon");
      require(message->first_sequence == sequence, "packets out of order");
      sequence = message->next_sequence;
      whole = tracker.on_packet(message->payload);
    }
    if (what == "prepared") {
      mysql::PayloadReader reader(std::string_view(payload).substr(1));
      return client.statements.push_back(static_cast<std::uint32_t>(reader.integer(4)));
    }
    // Count, one column, two ends, and the rows.
    require(messages - 4 == std::stoi(next_word()), std::to_string(messages - 4) + " rows");
  }

  std::vector<std::string> all_statements(bool prepared) {
    std::vector<std::string> all;
    for (auto& [name, engine] : mysql_engines_) {
      for (auto& one : prepared ? engine->prepared_statements() : engine->executed_statements())
        all.push_back(one);
    }
    return all;
  }

  void expect_count(const std::string& what) {
    const long wanted = std::stol(next_word());
    const std::string text = remaining_text();
    const auto until = std::chrono::steady_clock::now() + kWaitLimit;
    for (;;) {
      const auto all = all_statements(what == "prepared");
      const long count =
          what == "duplicates"
              ? static_cast<long>(count_repeated_executions(all))
              : std::count_if(all.begin(), all.end(), [&](const auto& s) { return s.find(text) != s.npos; });
      if (count == wanted) return;
      require(count < wanted && std::chrono::steady_clock::now() < until, "counted " + std::to_string(count));
      std::this_thread::sleep_for(5ms);
    }
  }

  void expect() {
    const std::string name = next_word();
    if (name == "figure") return expect_metric(remaining_text());
    if (name == "answer") {
      return require(admin_response_.find(remaining_text()) != std::string::npos,
                     "the answer is\n" + admin_response_);
    }
    if (name == "log") return static_cast<void>(process_.wait_for_log(remaining_text()));
    if (name == "nolog") {
      const std::string text = remaining_text();
      return require(process_.log().find(text) == std::string::npos, "the log holds it");
    }
    if (name == "executed" || name == "prepared" || name == "duplicates") return expect_count(name);
    const std::string what = next_word();
    if (name == "old" && what == "log")
      return static_cast<void>(previous_process_.wait_for_log(remaining_text()));
    if (name == "dispatcher" || name == "old") {
      return require((name == "old" ? previous_process_ : process_).wait_for_exit() == std::stoi(next_word()),
                     "another exit code");
    }
    if (line_engines_.contains(name)) return expect_engine(line_engines_.at(name), what);
    ScenarioClient& client = clients_.at(name);
    if (what == "closed") return require(client.peer.wait_for_end(), "still open");
    if (what == "eof") {
      require(client.peer.wait_for_end(), "still open");
      require(!client.peer.was_reset(), "reset");
      return require(client.peer.buffer().empty(), "something came before the end");
    }
    if (what == "nothing") {
      const bool quiet = client.peer.buffer().empty() &&
                         !client.peer.read_more(std::chrono::milliseconds(std::stoi(next_word())));
      require(quiet || client.peer.has_ended(), "something came");
      return require(!client.peer.has_ended(), "its connection ended");
    }
    client.speaks_mysql ? expect_mysql(client, what) : expect_frame(client, what);
  }

  void expect_engine(ScriptedLineEngine& engine, const std::string& what) {
    if (what == "nothing") {
      const auto command = engine.next_command(std::chrono::milliseconds(std::stoi(next_word())));
      require(!command, "it got " + command.value_or(""));
      return require(engine.connections.empty() || !engine.connections.at(engine.last_connection).has_ended(),
                     "its connection ended");
    }
    if (what == "closed")
      return require(engine.connections.at(engine.last_connection).wait_for_end(), "still open");
    if (what == "requests") {
      while (engine.next_command(20ms)) {
      }
      return require(engine.request_count == std::stoi(next_word()),
                     std::to_string(engine.request_count) + " came");
    }
    const auto command = engine.next_command(kWaitLimit);
    require(command.has_value(), "nothing came");
    const std::string text = remaining_text();
    require(command->starts_with(what + " ") && command->find(text) != std::string::npos,
            "it got " + *command);
  }

  void close() {
    const std::string name = next_word();
    if (!line_engines_.contains(name)) return clients_.at(name).peer.close();
    ScriptedLineEngine& engine = line_engines_.at(name);
    const std::string what = next_word();
    if (!what.empty()) {
      engine.listener.reset();
      // Held, or the kernel may give the number to the dispatcher's own front, which would be dialled.
      FileDescriptor holder(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      const int on = 1;  // beside connections that are still open there
      ::setsockopt(holder.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      const sockaddr_in address = SocketAddress{0x7f000001, engine.port}.to_sockaddr();
      if (::bind(holder.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        fail_test("a closed port that can't be held");
      }
      engine.queue_fillers.push_back(std::move(holder));
    }
    if (what != "door") engine.connections.clear();
  }

  std::istringstream step_words_;
  std::string directory_path_;
  json config_ = default_dispatcher_config();
  std::unique_ptr<FakeDiscoveryServer> discovery_server_ = std::make_unique<FakeDiscoveryServer>();
  std::map<std::string, ScriptedLineEngine> line_engines_;
  std::map<std::string, std::unique_ptr<FakeMysqlEngine>> mysql_engines_;
  std::map<std::string, std::unique_ptr<AutoReplyLineEngine>> auto_reply_engines_;
  std::unique_ptr<CredentialFixture> credentials_;
  std::map<std::string, std::string> tokens_;
  std::map<std::string, ScenarioClient> clients_;
  std::vector<TestConnection> open_connections_;
  std::string admin_response_;
  std::vector<FileDescriptor> inherited_sockets_;
  FileDescriptor unresponsive_discovery_;  // in the directory's place
  std::size_t descriptor_limit_ = 0;
  bool filters_system_calls_ = false;
  DispatcherProcess previous_process_, process_;
  int start_count_ = 0;
  std::uint16_t frames_port_ = 0, mysql_port_ = 0;
  std::uint64_t last_call_id_ = 0;
  std::uint32_t last_stream_ = 1000;
};

}  // namespace

void run_scenario(const std::string& scenario) {
  ScenarioRunner player;
  std::istringstream lines(scenario);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    line.erase(0, std::min(line.find_first_not_of(" \t"), line.size()));
    if (line.empty() || line.starts_with('#')) continue;
    try {
      player.step(line);
    } catch (const std::exception& fault) {
      throw std::runtime_error("line " + std::to_string(number) + ", '" + line.substr(0, 200) +
                               "': " + fault.what() + "\n" + player.log());
    }
  }
}

}  // namespace rookproxy::test
