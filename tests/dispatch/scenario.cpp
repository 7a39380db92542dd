#include "scenario.h"

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

#include "confine.h"
#include "descriptors.h"
#include "front/frames.h"
#include "link/lines.h"
#include "process.h"
#include "standins/callers.h"
#include "standins/lines_engine.h"
#include "standins/standins.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

std::string unescape(const std::string& text) {
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

std::string from_hex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  }
  return out;
}

struct LineEngine {
  Fd listener = listen_anywhere();
  std::uint16_t port = local_port(listener);
  std::vector<Peer> peers;
  std::size_t last = 0;  // the peer that the last command came from
  std::string id;        // of the last REQ
  int requests = 0;      // that came
  std::string unsent;    // of an answer that was begun
  std::vector<Fd> filling;

  // Its queue takes no connection any more: the kernel drops what comes, as a machine that is cut off does.
  void fill() {
    ::listen(listener.get(), 0);
    for (int i = 0; i < 8; ++i) filling.push_back(connect_tcp({0x7f000001, port}));
  }
  void let() {
    filling.clear();
    while (readable(listener, 20ms)) accept_from(listener);
    ::listen(listener.get(), 64);
  }

  // The next command from any connection: its line, and the body of a REQ after it.
  std::optional<std::string> next(std::chrono::milliseconds within) {
    const auto until = std::chrono::steady_clock::now() + within;
    do {
      if (listener && readable(listener, 1ms)) peers.emplace_back(accept_from(listener));
      for (std::size_t i = 0; i < peers.size(); ++i) {
        peers[i].more(1ms);
        const auto end = peers[i].buffer().find("\r\n");
        if (end == std::string::npos) continue;
        std::string line = peers[i].buffer().substr(0, end);
        std::size_t used = end + 2;
        if (line.starts_with("REQ ")) {
          const std::size_t body = std::stoul(line.substr(line.rfind(' ') + 1));
          if (!peers[i].has(used + body + 2)) fail("a body that ends too soon");
          line += "\n" + peers[i].buffer().substr(used, body);
          used += body + 2;
          id = line.substr(4, line.find(' ', 4) - 4);
          ++requests;
        }
        peers[i].take(used);
        last = i;
        return line;
      }
    } while (std::chrono::steady_clock::now() < until);
    return std::nullopt;
  }
};

struct Client {
  Peer peer;
  bool mysql = false;
  std::vector<std::uint32_t> statements;  // by order of their prepares
  std::string unsent = {};                // of a frame that was begun
};

class Player {
 public:
  Player() {
    folder_ = new_folder();
    require(!folder_.empty(), "no folder");
    callers_ = std::make_unique<Callers>(folder_);
  }
  ~Player() { std::filesystem::remove_all(folder_); }
  std::string log() const {
    return (old_.started() ? old_.log() + "-- its successor:\n" : "") +
           (process_.started() ? process_.log() : "");
  }

  void step(const std::string& line) {
    in_ = std::istringstream(line);
    const std::string verb = word();
    if (verb == "engines" || verb == "mysql-engines") return engines(verb == "mysql-engines");
    if (verb == "set") return set();
    if (verb == "start") return start();
    if (verb == "directory") return directory();
    if (verb == "move") return move_directory();
    if (verb == "configure") return configure(rest());
    if (verb == "call") {
      const std::string text = rest();
      const bool old = text.starts_with("old ");
      answer_ = call_operators(old ? old_ : process_, text.substr(old ? 4 : 0));
      return;
    }
    if (verb == "descriptors") return void(descriptors_ = std::stoul(word()));
    if (verb == "confine") return void(confined_ = true);
    if (verb == "pass") {
      const auto pass = [this](json& listen) {
        passed_.push_back(listen_anywhere());
        listen = "127.0.0.1:" + std::to_string(local_port(passed_.back()));
      };
      pass(config_["listen"]);
      if (mysql_engines_.empty()) return;
      pass(config_["mysql"]["listen"]);
      config_["mysql"]["passed_socket"] = 4;
      return;
    }
    if (verb == "upgrade") {
      old_ = std::move(process_);
      process_ = Process();
      return start();
    }
    if (verb == "hold") return hold();
    if (verb == "crowd") {
      for (int left = std::stoi(word()); left > 0; --left) held_.push_back(Peer::connect(frames_port_));
      return;
    }
    if (verb == "idlers") return idlers(std::stoi(word()));
    if (verb == "client") return connect();
    if (verb == "mysql") return log_in();
    if (verb == "knock") {
      clients_.insert_or_assign(word(), Client{Peer::connect(mysql_port_), true, {}});
      return;
    }
    if (verb == "send") return send();
    if (verb == "expect") return expect();
    if (verb == "close") return close();
    if (verb == "fill") return line_engines_.at(word()).fill();
    if (verb == "let") return line_engines_.at(word()).let();
    if (verb == "absorb") {
      LineEngine& engine = line_engines_.at(word());
      const auto quiet = std::chrono::milliseconds(std::stoi(word()));
      while (engine.next(quiet)) {
      }
      return;
    }
    if (verb == "repeat") {
      const int times = std::stoi(word());
      const std::string again = rest();
      for (int i = 0; i < times; ++i) step(again);
      return;
    }
    if (verb == "wait") return std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(word())));
    if (verb == "access") {
      config_["access"] = callers_->section();
      return;
    }
    if (verb == "key") {
      const std::string name = word();
      return callers_->make_key(name, word());
    }
    if (verb == "publish") {
      std::vector<std::string> keys;
      for (std::string spec = word(); !spec.empty(); spec = word()) keys.push_back(spec);
      return callers_->publish(keys);
    }
    if (verb == "token") {
      const std::string name = word(), key = word(), role = word(), changes = rest();
      tokens_[name] = callers_->token(key, role, changes.empty() ? json::object() : json::parse(changes));
      return;
    }
    if (verb == "tls") {
      const std::string fronts = word(), clients = word();
      const bool mysql = fronts != "frames";
      config_["tls"] = callers_->tls(fronts != "mysql", mysql ? "required" : "off",
                                     clients.empty() ? "none" : clients, word() == "crl");
      return;
    }
    if (verb == "certificate") return make_certificate();
    if (verb == "crl") {
      const int to = std::stoi(word());
      const std::string from = word();
      return callers_->publish_crl(from.empty() ? -1 : std::stoi(from), to);
    }
    if (verb == "lines-engines") return auto_engines();
    if (verb == "rotate") return rotate_under_load();
    if (verb == "renew") return callers_->renew_server();
    if (verb == "driver") return run_driver();
    if (verb == "spoil") {
      std::ofstream(folder_ + "/keys.json") << rest();
      return;
    }
    if (verb == "revoke") {
      const std::string kind = word(), what = word();
      if (kind != "certificate") return callers_->revoke(kind, what);
      callers_->revoke_certificate(what);
      return callers_->publish_crl(-1, 3600);
    }
    if (verb == "signal") {
      std::string name = word();
      Process& to = name == "old" ? old_ : process_;
      if (name == "old") name = word();
      static const std::map<std::string, int> numbers{{"HUP", SIGHUP},   {"INT", SIGINT},
                                                      {"KILL", SIGKILL}, {"TERM", SIGTERM},
                                                      {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
      return to.signal(numbers.at(name));
    }
    fail("unknown step");
  }

 private:
  std::string word() {
    std::string out;
    in_ >> out;
    return out;
  }
  std::string rest() {
    std::string out;
    std::getline(in_ >> std::ws, out);
    return unescape(out);
  }

  std::uint16_t engine_port(const std::string& name) {
    return mysql_engines_.contains(name) ? mysql_engines_[name]->port() : line_engines_.at(name).port;
  }

  void engines(bool mysql) {
    json members = json::array();
    for (std::string name = word(); !name.empty(); name = word()) {
      if (mysql) {
        mysql_engines_[name] = std::make_unique<MysqlStandIn>();
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

  void auto_engines() {
    json members = json::array();
    for (std::string name = word(); !name.empty(); name = word()) {
      auto_engines_[name] = std::make_unique<LinesEngine>();
      auto_engines_[name]->keep_statements();
      members.push_back({{"id", name},
                         {"host_port", "127.0.0.1:" + std::to_string(auto_engines_[name]->port())},
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
    return frames::make_frame(frames::kRequest, stream, payload + statement);
  }

  // rotate under load from N connections: `old` gives way to `new` while all of them ask, by the token of the
  // key that is signed with, and strangers ask in between.
  void rotate_under_load() {
    word(), word(), word();
    const int connections = std::stoi(word());
    const std::vector<std::string> valid{callers_->token("old", "student"),
                                         callers_->token("new", "student")};
    const std::string stranger = callers_->token("stranger", "student");
    std::atomic<int> key{0}, served{0}, denied{0}, strangers_denied{0}, failed{0};
    std::atomic<bool> stop{false};
    const auto ask = [&](int number) {
      Peer peer = Peer::connect(frames_port_);
      const bool is_stranger = number < 0;
      for (std::uint32_t stream = 1; !stop; ++stream) {
        const std::uint64_t call = (static_cast<std::uint64_t>(number + 2) << 32) + stream;
        peer.send(frame_of(stream, call, is_stranger ? stranger : valid[static_cast<std::size_t>(key.load())],
                           is_stranger ? "SELECT x FROM sales_9.stolen" : "SELECT x FROM sales_17.orders"));
        frames::Frame frame;
        std::size_t used = 0;
        while (frames::parse_frame(peer.buffer(), frame, used) != frames::Parse::kOne) {
          if (!peer.more()) {
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
      const auto until = std::chrono::steady_clock::now() + kPatience;
      while (served < from + 20 * connections && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(1ms);
    };
    some_more();
    callers_->publish({"old", "new"});
    expect_figure("keys=2");
    some_more();
    key = 1;
    some_more();
    callers_->publish({"new"});
    expect_figure("keys=1");
    some_more();
    stop = true;
    for (auto& thread : threads) thread.join();
    require(failed == 0, std::to_string(failed) + " connections ended");
    require(served >= 80 * connections, "only " + std::to_string(served) + " served");
    require(denied == 0, std::to_string(denied) + " valid callers refused");
    require(strangers_denied > 0, "the stranger was never denied");
    for (auto& [name, engine] : auto_engines_)
      require(engine->seen("stolen") == 0, "a stranger's query reached " + name);
  }

  void set() {
    const std::string pointer = word();
    config_[json::json_pointer(pointer)] = json::parse(rest());
  }

  void start() {
    configure("");
    {
      std::optional<DescriptorLimit> limit;
      if (descriptors_ > 0) limit.emplace(descriptors_);
      process_.start(folder_, folder_ + "/log" + std::to_string(++starts_), passed_, confined_);
    }
    process_.wait_for("ready to serve");
    frames_port_ = static_cast<std::uint16_t>(std::stoi(process_.wait_for("start [rookproxy@32473 port=\"")));
    if (!mysql_engines_.empty()) {
      process_.wait_for("serving mysql");
      const std::string log = process_.log();
      const auto line = log.substr(0, log.find(" serving mysql")).rfind("port=\"");
      mysql_port_ = static_cast<std::uint16_t>(std::stoi(log.substr(line + 6)));
    }
  }

  void hold() {
    const int count = std::stoi(word());
    const std::string text = rest();
    for (int i = 0; i < count; ++i) {
      held_.push_back(Peer::connect(process_.ops_port()));
      held_.back().send(text);
    }
  }

  // Figures may be a little late.
  void expect_figure(const std::string& wanted) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    for (;;) {
      const std::string all = call_operators(process_, "METRICS");
      if (all.find("\nsvc." + wanted + "\n") != std::string::npos) return;
      require(std::chrono::steady_clock::now() < until, "the figures are\n" + all);
      std::this_thread::sleep_for(5ms);
    }
  }

  // Writes the file anew: as it stands, or with that text.
  void configure(const std::string& text) {
    config_["nameserver"] = "127.0.0.1:" + std::to_string(silent_ ? local_port(silent_) : directory_->port());
    std::ofstream(folder_ + "/config.json") << (text.empty() ? config_.dump() : text);
  }

  // The former one answers no more.
  void move_directory() {
    word();
    const bool silent = word() == "silent";
    directory_ = std::make_unique<DirectoryStandIn>(directory_->serial());
    silent_ = silent ? bind_udp({0x7f000001, 0}) : Fd();
  }

  void directory() {
    std::vector<Member> members;
    for (std::string entry = word(); !entry.empty(); entry = word()) {
      const auto equals = entry.find('=');
      Member member;
      member.id = entry.substr(0, equals);
      member.address = {0x7f000001, engine_port(member.id)};
      member.kind = "m";
      if (entry.substr(equals + 1) == "draining") member.state = lemonshift::EngineState::kDraining;
      members.push_back(std::move(member));
    }
    directory_->tell(std::move(members));
    process_.wait_for("new list");
    process_.wait_for("serial=\"" + std::to_string(directory_->serial()));
  }

  void idlers(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string name = "idler" + std::to_string(i);
      step("client " + name);
      step("send " + name + " request 1 lookup 3000 SELECT 1");
      step("expect " + name + R"( served 1 a\tb\tc\n)");
    }
  }

  // client C [tls [CERTIFICATE] [denied]]
  void connect() {
    const std::string name = word(), tls = word();
    std::string certificate = word();
    Client client{Peer::connect(frames_port_), false, {}};
    if (tls == "tls") secure(client.peer, certificate);
    clients_.insert_or_assign(name, std::move(client));
  }

  void secure(Peer& peer, const std::string& certificate) {
    if (certificate.empty()) return peer.secure();
    const Certificate& one = callers_->certificate(certificate);
    peer.secure(one.pem(), one.key_pem());
  }

  // certificate NAME [ALTERNATIVE|-] [FROM TO] [stranger] [server]
  void make_certificate() {
    const std::string name = word(), alternative = word(), from = word(), to = word();
    const std::string more = rest();
    callers_->make_certificate(name, alternative == "-" ? "" : alternative,
                               from.empty() ? -10 : std::stoi(from), to.empty() ? 3600 : std::stoi(to),
                               more.find("stranger") != more.npos, more.find("server") == more.npos);
  }

  // A client library's script, told where to connect and with which token.
  void run_driver() {
    const std::string file = word(), token = tokens_.at(word()), user = word();
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
    const std::string name = word();
    std::string schema = word(), user = "school", token, certificate;
    Client client{Peer::connect(mysql_port_), true, {}};
    const auto greeting = take_mysql(client.peer);
    require(greeting.has_value(), "no greeting");
    const auto read = mysql::read_greeting(greeting->payload);
    mysql::Login login;
    login.capabilities = mysql::kCapabilities & ~mysql::kConnectAttrs;
    std::uint8_t sequence = 1;
    bool denied = schema == "denied";
    if (schema == "tls") {
      schema.clear();
      if (const std::string other = word(); !other.empty() && other != "-") user = other;
      for (std::string part = word(); !part.empty(); part = word()) {
        if (part == "denied") denied = true;
        if (part == "as") token = word();
        if (part == "with") certificate = word();
        if (part == "in") schema = word();
      }
      if (tokens_.contains(token)) token = tokens_.at(token);
      login.capabilities |= mysql::kSsl;
      std::string request;
      mysql::put_number(request, login.capabilities, 4);
      mysql::put_number(request, 1 << 24, 4);
      request += static_cast<char>(mysql::kUtf8mb4);
      request.append(23, '\0');
      client.peer.send(mysql::packets(request, sequence));
      secure(client.peer, certificate);
    }
    if (schema.empty()) login.capabilities &= ~mysql::kConnectWithDb;
    login.user = user;
    login.schema = schema;
    login.plugin = read.plugin;
    login.proof = *mysql::proof_for(read.plugin, "secret", read.nonce);
    client.peer.send(mysql::packets(mysql::login_payload(login), sequence));
    prove(client, token, denied);
    clients_.insert_or_assign(name, std::move(client));
  }

  // The rest of a log-in, up to its end: by token where that is asked for, else by the password.
  void prove(Client& client, const std::string& token, bool denied) {
    auto answer = take_mysql(client.peer);
    if (answer && answer->payload.starts_with('\xfe')) {
      const std::string_view asked = std::string_view(answer->payload).substr(1);
      const std::string plugin(asked.substr(0, asked.find('\0')));
      std::uint8_t sequence = answer->next_sequence;
      const std::string nonce(asked.substr(plugin.size() + 1, 20));
      const std::string proof =
          plugin == mysql::kClearPassword ? token + '\0' : *mysql::proof_for(plugin, "secret", nonce);
      client.peer.send(mysql::packets(proof, sequence));
      answer = take_mysql(client.peer);
    }
    if (answer && answer->payload == "\x01\x03") answer = take_mysql(client.peer);
    if (denied) return require(answer && answer->payload.starts_with('\xff'), "let in");
    const std::string why =
        answer && answer->payload.starts_with('\xff') ? mysql::read_error(answer->payload).text : "";
    require(answer && answer->payload.starts_with('\0'), "the log-in failed: " + why);
  }

  void send() {
    const std::string name = word(), what = word();
    if (line_engines_.contains(name)) {
      LineEngine& engine = line_engines_.at(name);
      if (what == "raw") return engine.peers.at(engine.last).send(rest());
      if (what == "finish") return engine.peers.at(engine.last).send(std::exchange(engine.unsent, ""));
      const bool half = what == "begin";
      const std::string kind = half ? word() : what, fields = word(), body = rest();
      std::string answer =
          engine.id + " " + kind + " " + fields + " " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
      if (half) {
        engine.unsent = answer.substr(answer.size() / 2);
        answer.resize(answer.size() / 2);
      }
      return engine.peers.at(engine.last).send(answer);
    }
    Client& client = clients_.at(name);
    client.mysql ? send_mysql(client, what) : send_frame(client, what);
  }

  void send_frame(Client& client, std::string what) {
    std::chrono::milliseconds pause{0};
    const bool half = what == "begin";
    if (half) what = word();
    if (what == "finish") return client.peer.send(std::exchange(client.unsent, ""));
    if (what == "slowly") pause = std::chrono::milliseconds(std::stoi(word()) / 10), what = word();
    std::string as;
    if (what == "as") as = word(), what = word();
    if (what == "hex") return client.peer.send(from_hex(word()));
    const std::string number = word();
    const auto stream = number == "+" ? ++streams_ : static_cast<std::uint32_t>(std::stoul(number));
    if (what == "abandon") return client.peer.send(frames::make_frame(frames::kAbandon, stream, ""));
    if (what == "ready")
      return client.peer.send(frames::make_frame(frames::kIsReady, stream, std::string(1, '\0')));
    frames::Fields fields;
    if (what == "request") {
      fields["op"] = word();
      fields["ttl"] = word();
      std::ostringstream call;
      call << std::hex << 0x1000000000000000 + ++calls_;
      fields["call"] = call.str();
    } else {
      std::istringstream list(word());
      for (std::string part; std::getline(list, part, ',');) {
        fields[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
      }
    }
    if (const auto call_id = fields.find("call"); call_id != fields.end() && call_id->second == "new") {
      std::ostringstream call;
      call << std::hex << 0x2000000000000000 + ++calls_;
      fields["call"] = call.str();
    }
    if (!as.empty()) fields["token"] = tokens_.contains(as) ? tokens_.at(as) : as;
    std::string payload(1, static_cast<char>(fields.size()));
    for (const auto& [key, value] : fields) {
      payload += static_cast<char>(key.size()) + key;
      payload += static_cast<char>(value.size() >> 8);
      payload += static_cast<char>(value.size()) + value;
    }
    const std::string frame = frames::make_frame(frames::kRequest, stream, payload + rest());
    if (half) {
      client.unsent = frame.substr(frame.size() / 2);
      return client.peer.send(frame.substr(0, frame.size() / 2));
    }
    const std::size_t piece = pause == 0ms ? frame.size() : (frame.size() + 9) / 10;
    for (std::size_t at = 0; at < frame.size(); at += piece) {
      client.peer.send(std::string_view(frame).substr(at, piece));
      std::this_thread::sleep_for(pause);
    }
  }

  void send_mysql(Client& client, const std::string& what) {
    std::string payload;
    if (what == "user") {  // COM_CHANGE_USER: send C user NAME TOKEN [denied]
      const std::string user = word();
      std::string token = word();
      payload = '\x11' + user + std::string("\0\0\0", 3);
      mysql::put_number(payload, mysql::kUtf8mb4, 2);
      payload += "caching_sha2_password" + std::string(1, '\0');
      std::uint8_t sequence = 0;
      client.peer.send(mysql::packets(payload, sequence));
      client.statements.clear();
      return prove(client, tokens_.contains(token) ? tokens_.at(token) : token, word() == "denied");
    }
    if (what == "query") payload = '\x03' + rest();
    if (what == "prepare") payload = '\x16' + rest();
    if (what == "command") payload = from_hex(word());
    if (what == "execute" || what == "again") {
      payload = '\x17';
      mysql::put_number(payload, client.statements.at(std::stoul(word()) - 1), 4);
      payload += std::string("\0\1\0\0\0", 5);
      if (const std::string value = rest(); !value.empty()) {
        const bool is_long = value == "LONG";
        payload += '\0';
        payload += what == "execute" ? std::string("\1\xfd\0", 3) : std::string(1, '\0');
        if (!is_long) mysql::put_lenenc_text(payload, value);
      }
    }
    if (what == "long") {
      payload = '\x18';
      mysql::put_number(payload, client.statements.at(std::stoul(word()) - 1), 4);
      mysql::put_number(payload, std::stoul(word()), 2);
      payload += rest();
    }
    std::uint8_t sequence = 0;
    client.peer.send(mysql::packets(payload, sequence));
  }

  std::optional<frames::Frame> next_frame(Client& client, std::string& kept) {
    frames::Frame frame;
    std::size_t used = 0;
    while (frames::parse_frame(client.peer.buffer(), frame, used) != frames::Parse::kOne) {
      if (!client.peer.more()) return std::nullopt;
    }
    kept = client.peer.take(used);
    frames::parse_frame(kept, frame, used);
    return frame;
  }

  // That frame, whatever comes before it, which is kept.
  void expect_go_away_among(Client& client) {
    std::string others, kept;
    for (;;) {
      const auto frame = next_frame(client, kept);
      require(frame.has_value(), "it never came");
      if (frame->type == frames::kGoAway) break;
      others += kept;
    }
    client.peer.buffer().insert(0, others);
  }

  void expect_frame(Client& client, const std::string& what) {
    if (what == "goaway" && word() == "among") return expect_go_away_among(client);
    std::string kept;
    const auto frame = next_frame(client, kept);
    require(frame.has_value(), "nothing came");
    if (what == "goaway")
      return require(frame->type == frames::kGoAway && frame->stream == 0, "not a go-away");
    if (what == "ready") {
      require(frame->type == frames::kReady, "not an answer on readiness");
      return require(frame->payload[0] == std::stoi(word()), "the other readiness");
    }
    require(frame->type == frames::kAnswer, "not an answer but type " + std::to_string(frame->type));
    if (what == "error") return require(frame->stream == 0, "an error on a stream");
    const bool refused = what == "refused" || what == "denied" || what == "pushback";
    const int code = what == "final" ? frame->payload[0] : what == "served" ? 0 : refused ? 1 : 2;
    std::string_view body = frame->payload.substr(1);
    frames::Fields fields;
    require(frames::parse_fields(body, fields), "unreadable fields");
    require(frame->stream == std::stoul(word()), "on stream " + std::to_string(frame->stream));
    require(frame->payload[0] == code,
            "code " + std::to_string(frame->payload[0]) + ": " + std::string(body));
    if (what == "denied") {
      const auto reason = fields.find("denied");
      return require(reason != fields.end() && reason->second == word(),
                     "denied for another reason: " + std::string(body));
    }
    require(code != 1 || fields.contains("pushback"), "a refusal without a time to come back");
    if (what == "pushback") {
      const std::string wanted = word();
      return require(fields["pushback"] == wanted, "it says " + fields["pushback"]);
    }
    const std::string text = rest();
    require(code == 0 ? body == text : body.find(text) != body.npos, "body '" + std::string(body) + "'");
  }

  void expect_mysql(Client& client, const std::string& what) {
    const auto first = take_mysql(client.peer);
    require(first.has_value(), "nothing came");
    require(first->first_sequence == 1, "a sequence that does not start at 1");
    const std::string& payload = first->payload;
    const std::string got = payload.starts_with('\xff') ? std::to_string(mysql::read_error(payload).code) +
                                                              " " + mysql::read_error(payload).text
                                                        : "no error";
    if (what == "error") {
      require(got.starts_with(word()), got);
      return require(got.find(rest()) != std::string::npos, got);
    }
    require(got == "no error", got);
    if (what == "ok") return require(payload.starts_with('\0'), "not OK");
    mysql::ResponseTracker tracker(what == "prepared" ? mysql::ResponseTracker::Kind::kPrepare
                                                      : mysql::ResponseTracker::Kind::kPlain);
    std::uint8_t sequence = first->next_sequence;
    int messages = 1;
    for (bool whole = tracker.take(payload); !whole; ++messages) {
      const auto message = take_mysql(client.peer);
      require(message.has_value(), "an answer that ends too soon");
      require(message->first_sequence == sequence, "packets out of order");
      sequence = message->next_sequence;
      whole = tracker.take(message->payload);
    }
    if (what == "prepared") {
      mysql::PayloadReader reader(std::string_view(payload).substr(1));
      return client.statements.push_back(static_cast<std::uint32_t>(reader.number(4)));
    }
    // Count, one column, two ends, and the rows.
    require(messages - 4 == std::stoi(word()), std::to_string(messages - 4) + " rows");
  }

  std::vector<std::string> gathered(bool prepared) {
    std::vector<std::string> all;
    for (auto& [name, engine] : mysql_engines_) {
      for (auto& one : prepared ? engine->prepared() : engine->executed()) all.push_back(one);
    }
    return all;
  }

  void expect_count(const std::string& what) {
    const long wanted = std::stol(word());
    const std::string text = rest();
    const auto until = std::chrono::steady_clock::now() + kPatience;
    for (;;) {
      const auto all = gathered(what == "prepared");
      const long count =
          what == "duplicates"
              ? static_cast<long>(duplicates(all))
              : std::count_if(all.begin(), all.end(), [&](const auto& s) { return s.find(text) != s.npos; });
      if (count == wanted) return;
      require(count < wanted && std::chrono::steady_clock::now() < until, "counted " + std::to_string(count));
      std::this_thread::sleep_for(5ms);
    }
  }

  void expect() {
    const std::string name = word();
    if (name == "figure") return expect_figure(rest());
    if (name == "answer") {
      return require(answer_.find(rest()) != std::string::npos, "the answer is\n" + answer_);
    }
    if (name == "log") return static_cast<void>(process_.wait_for(rest()));
    if (name == "nolog") {
      const std::string text = rest();
      return require(process_.log().find(text) == std::string::npos, "the log holds it");
    }
    if (name == "executed" || name == "prepared" || name == "duplicates") return expect_count(name);
    const std::string what = word();
    if (name == "old" && what == "log") return static_cast<void>(old_.wait_for(rest()));
    if (name == "dispatcher" || name == "old") {
      return require((name == "old" ? old_ : process_).exit_code() == std::stoi(word()), "another exit code");
    }
    if (line_engines_.contains(name)) return expect_engine(line_engines_.at(name), what);
    Client& client = clients_.at(name);
    if (what == "closed") return require(client.peer.at_end(), "still open");
    if (what == "eof") {
      require(client.peer.at_end(), "still open");
      require(!client.peer.was_reset(), "reset");
      return require(client.peer.buffer().empty(), "something came before the end");
    }
    if (what == "nothing") {
      const bool quiet =
          client.peer.buffer().empty() && !client.peer.more(std::chrono::milliseconds(std::stoi(word())));
      require(quiet || client.peer.ended(), "something came");
      return require(!client.peer.ended(), "its connection ended");
    }
    client.mysql ? expect_mysql(client, what) : expect_frame(client, what);
  }

  void expect_engine(LineEngine& engine, const std::string& what) {
    if (what == "nothing") {
      const auto command = engine.next(std::chrono::milliseconds(std::stoi(word())));
      require(!command, "it got " + command.value_or(""));
      return require(engine.peers.empty() || !engine.peers.at(engine.last).ended(), "its connection ended");
    }
    if (what == "closed") return require(engine.peers.at(engine.last).at_end(), "still open");
    if (what == "requests") {
      while (engine.next(20ms)) {
      }
      return require(engine.requests == std::stoi(word()), std::to_string(engine.requests) + " came");
    }
    const auto command = engine.next(kPatience);
    require(command.has_value(), "nothing came");
    const std::string text = rest();
    require(command->starts_with(what + " ") && command->find(text) != std::string::npos,
            "it got " + *command);
  }

  void close() {
    const std::string name = word();
    if (!line_engines_.contains(name)) return clients_.at(name).peer.close();
    LineEngine& engine = line_engines_.at(name);
    const std::string what = word();
    if (!what.empty()) {
      engine.listener.reset();
      // Held, or the kernel may give the number to the dispatcher's own front, which would be dialled.
      Fd holder(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      const int on = 1;  // beside connections that are still open there
      ::setsockopt(holder.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      const sockaddr_in address = Endpoint{0x7f000001, engine.port}.socket_address();
      if (::bind(holder.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        fail("a closed port that can't be held");
      }
      engine.filling.push_back(std::move(holder));
    }
    if (what != "door") engine.peers.clear();
  }

  std::istringstream in_;
  std::string folder_;
  json config_ = base_config();
  std::unique_ptr<DirectoryStandIn> directory_ = std::make_unique<DirectoryStandIn>();
  std::map<std::string, LineEngine> line_engines_;
  std::map<std::string, std::unique_ptr<MysqlStandIn>> mysql_engines_;
  std::map<std::string, std::unique_ptr<LinesEngine>> auto_engines_;
  std::unique_ptr<Callers> callers_;
  std::map<std::string, std::string> tokens_;
  std::map<std::string, Client> clients_;
  std::vector<Peer> held_;
  std::string answer_;
  std::vector<Fd> passed_;
  Fd silent_;  // in the directory's place
  std::size_t descriptors_ = 0;
  bool confined_ = false;
  Process old_, process_;
  int starts_ = 0;
  std::uint16_t frames_port_ = 0, mysql_port_ = 0;
  std::uint64_t calls_ = 0;
  std::uint32_t streams_ = 1000;
};

}  // namespace

void play(const std::string& scenario) {
  Player player;
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
