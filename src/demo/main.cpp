// rookproxy-demo: starts rookproxy with an embedded configuration and two fake engines, runs one statement
// through its MySQL frontend, and then keeps serving.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "fakes/fake_mysql_engine.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "mysql/protocol.h"
#include "net/sockets.h"

namespace {

using namespace rookproxy;
using test::FakeMysqlEngine;
using test::TestConnection;
using namespace std::chrono_literals;

// The packet header of the MySQL protocol.
constexpr std::size_t kPacketHeaderSize = 4;
constexpr auto kGreetingWait = 200ms;
constexpr auto kConnectInterval = 100ms;
constexpr int kMaxConnectAttempts = 50;

// The account in mysql_engines is the one that the fake engines accept (src/fakes).
constexpr const char* kDemoConfigTemplate = R"(name = "demo"
seed = "1"
link = "mysql"
[mysql]
listen = "127.0.0.1:%FRONT%"
read_class = "lookup"
load_class = "load"
[mysql.users]
demo = "demo"
[mysql_engines]
user = "rookproxy"
password = "engine-secret"
[[engines]]
id = "engine-1"
host_port = "127.0.0.1:%ONE%"
locality = "here"
flavor = "stand-in"
[[engines]]
id = "engine-2"
host_port = "127.0.0.1:%TWO%"
locality = "here"
flavor = "stand-in"
[settings]
fleet_size = 1
ordinal = 0
localities = ["here"]
zone = "here"
models = ["stand-in"]
membership_mode = "automatic"
[[settings.grades]]
name = "lookup"
effect = "pure"
value = 1.0
target = 600000
deadline = 3000000
[[settings.grades]]
name = "load"
effect = "side_effect"
value = 6.0
target = 4000000
deadline = 25000000
[settings.domain]
cpu_of_kind = [8]
ram_of_kind_mb = [16384.0]
threads_by_class = [1, 2]
is_load = [false, true]
yields_to_loads = [true, false]
[settings.permissions]
cancel = true
second_copies = true
max_attempts = 6
max_retry_after = 2000000
[settings.report]
source = "off"
[settings.safety]
drain_grace = 2000000
)";

std::string replace_port_placeholder(std::string text, const std::string& mark, std::uint16_t port) {
  return text.replace(text.find(mark), mark.size(), std::to_string(port));
}

class ChildProcess {
 public:
  ChildProcess(const std::string& program, const std::string& file) : pid_(::fork()) {
    if (pid_ != 0) return;
    ::execl(program.c_str(), program.c_str(), "--file", file.c_str(), nullptr);
    ::_exit(127);
  }
  ~ChildProcess() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGTERM);
    ::waitpid(pid_, nullptr, 0);
  }
  bool is_running() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  int wait() {
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
  }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;
};

mysql::Message read_message_or_throw(TestConnection& peer) {
  auto message = test::read_mysql_message(peer);
  if (!message) throw std::runtime_error("the dispatcher closed the connection");
  if (message->payload.starts_with('\xff')) {
    throw std::runtime_error("the dispatcher returned an error: " +
                             mysql::parse_error(message->payload).text);
  }
  return *message;
}

// Logs in, runs the statement and returns the rows as text.
std::string run_query(TestConnection& peer, const std::string& statement) {
  const auto greeting = mysql::parse_greeting(read_message_or_throw(peer).payload);
  mysql::Login login;
  login.user = "demo";
  login.capabilities = mysql::kCapabilities;
  login.plugin = greeting.plugin;
  login.auth_response = *mysql::make_auth_response(greeting.plugin, "demo", greeting.nonce);
  std::uint8_t sequence = 1;
  peer.send(mysql::split_into_packets(mysql::login_payload(login), sequence));
  while (read_message_or_throw(peer).payload[0] != '\0') continue;
  sequence = 0;
  peer.send(mysql::split_into_packets(static_cast<char>(mysql::kQuery) + statement, sequence));
  mysql::ResponseTracker tracker;
  std::string response;
  for (std::uint8_t number = 1;;) {
    const auto message = read_message_or_throw(peer);
    response += mysql::split_into_packets(message.payload, number);
    if (tracker.on_packet(message.payload)) return mysql::format_rows(response);
  }
}

std::uint16_t free_port() { return local_port(test::listen_on_free_port()); }

volatile sig_atomic_t child_pid = 0;
void forward_termination_signal(int) {
  if (child_pid > 0) ::kill(static_cast<pid_t>(child_pid), SIGTERM);
}

std::string make_config(std::uint16_t frontend_port, std::uint16_t first_engine_port,
                        std::uint16_t second_engine_port) {
  std::string config = kDemoConfigTemplate;
  config = replace_port_placeholder(config, "%FRONT%", frontend_port);
  config = replace_port_placeholder(config, "%ONE%", first_engine_port);
  return replace_port_placeholder(config, "%TWO%", second_engine_port);
}

// Connects until the dispatcher sends its greeting; a refused connection ends at once.
TestConnection connect_when_ready(ChildProcess& dispatcher, std::uint16_t port) {
  TestConnection connection = TestConnection::connect(port);
  for (int attempts = 0; !connection.wait_for_bytes(kPacketHeaderSize, kGreetingWait); ++attempts) {
    if (attempts == kMaxConnectAttempts || !dispatcher.is_running()) {
      throw std::runtime_error("the dispatcher did not start");
    }
    std::this_thread::sleep_for(kConnectInterval);
    connection = TestConnection::connect(port);
  }
  return connection;
}

// Starts a dispatcher and runs the statement through it. Unless `once` is set, the dispatcher keeps serving
// until a signal ends it.
void run_demo(const std::string& statement, bool once) {
  const test::TemporaryDirectory directory;
  FakeMysqlEngine first_engine;
  FakeMysqlEngine second_engine;
  const std::uint16_t frontend_port = free_port();
  const std::string config_path = directory.file("demo.toml");
  std::ofstream(config_path) << make_config(frontend_port, first_engine.port(), second_engine.port());
  const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "rookproxy";
  ChildProcess dispatcher(program.string(), config_path);
  child_pid = dispatcher.pid();
  ::signal(SIGINT, forward_termination_signal);
  ::signal(SIGTERM, forward_termination_signal);
  TestConnection connection = connect_when_ready(dispatcher, frontend_port);
  std::cout << statement << "\n" << run_query(connection, statement) << std::flush;
  if (once) return;
  std::cout << "serving on 127.0.0.1:" << frontend_port << ", user demo, password demo; stop with Ctrl-C"
            << std::endl;
  dispatcher.wait();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Runs a dispatcher with two fake engines and an embedded configuration.", "rookproxy-demo");
  bool once = false;
  std::string statement = "SELECT name FROM marks_17.pupils LIMIT rows_3";
  app.add_flag("--once", once, "exits after the first response");
  app.add_option("--query", statement, "the statement to run; the fake engines return N rows for rows_N");
  CLI11_PARSE(app, argc, argv);
  try {
    run_demo(statement, once);
  } catch (const std::exception& error) {
    std::cerr << "rookproxy-demo: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
