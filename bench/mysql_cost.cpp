// Compares what a request costs two builds of the dispatcher: CPU time and memory, in alternating runs with
// the same load of MySQL queries and executions of prepared statements. docs/performance.md has the command
// and results.
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_mysql_engine.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "mysql/protocol.h"
#include "net/sockets.h"

namespace {

using namespace rookproxy;
using namespace std::chrono_literals;

constexpr std::size_t kClients = 8;
constexpr const char* kStatement = "SELECT rows_3 FROM marks_11.marks WHERE pupil = 'p'";
constexpr const char* kPreparedStatement = "SELECT rows_3 FROM marks_11.marks WHERE pupil = 'prepared'";

std::string config_text(const std::string& folder, std::uint16_t port,
                        const std::vector<std::uint16_t>& engines) {
  std::ostringstream text;
  text
      << "name = \"cost\"\nseed = \"1f\"\nlink = \"mysql\"\nshared_folder = \"" << folder << "\"\n"
      << "[limits]\nmemory_mb = 192\nsockets = 1024\n[mysql]\nlisten = \"127.0.0.1:" << port << "\"\n"
      << "read_class = \"lookup\"\nload_class = \"load\"\nread_deadline_ms = 3000\nload_deadline_ms = 25000\n"
      << "[mysql.users]\nschool = \"secret\"\n[mysql_engines]\nuser = \"rookproxy\"\n"
      << "password = \"engine-secret\"\nschema = \"\"\n[log]\nlevel = \"error\"\n";
  for (std::size_t number = 0; number < engines.size(); ++number) {
    text << "[[engines]]\nid = \"e" << number << "\"\nhost_port = \"127.0.0.1:" << engines[number]
         << "\"\nlocality = \"z\"\nflavor = \"m\"\nphase = \"up\"\n";
  }
  text << "[settings]\nfleet_size = 1\nordinal = 0\nlocalities = [\"z\"]\nzone = \"z\"\nmodels = [\"m\"]\n"
       << "membership_mode = \"automatic\"\n"
       << "[[settings.grades]]\nname = \"lookup\"\neffect = \"pure\"\nvalue = 1.0\ntarget = 600000\n"
       << "deadline = 3000000\n"
       << "[[settings.grades]]\nname = \"load\"\neffect = \"side_effect\"\nvalue = 6.0\ntarget = 4000000\n"
       << "deadline = 25000000\n"
       << "[settings.domain]\ncpu_of_kind = [8]\nram_of_kind_mb = [16384.0]\nthreads_by_class = [1, 2]\n"
       << "is_load = [false, true]\nyields_to_loads = [true, false]\n"
       << "[settings.permissions]\ncancel = true\nmax_attempts = 6\nmax_retry_after = 2000000\n"
       << "keepalive = 30000000\ndial_timeout = 250000\n[settings.report]\nsource = \"off\"\n"
       << "[settings.safety]\ndrain_grace = 2000000\n";
  return text.str();
}

class Dispatcher {
 public:
  Dispatcher(const std::string& program, const std::string& file) : process_(::fork()) {
    if (process_ != 0) return;
    ::execl(program.c_str(), program.c_str(), "--file", file.c_str(), nullptr);
    ::_exit(127);
  }
  ~Dispatcher() {
    ::kill(process_, SIGTERM);
    ::waitpid(process_, nullptr, 0);
  }
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // The CPU time that the process has used.
  [[nodiscard]] std::chrono::duration<double> cpu_time() const {
    constexpr int kFieldsAfterName = 11;
    std::ifstream file("/proc/" + std::to_string(process_) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 0; field < kFieldsAfterName; ++field) fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return std::chrono::duration<double>((user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK)));
  }
  [[nodiscard]] std::int64_t anonymous_kilobytes() const {
    std::ifstream file("/proc/" + std::to_string(process_) + "/status");
    for (std::string key; file >> key;) {
      std::int64_t value = 0;
      if (key == "RssAnon:" && file >> value) return value;
    }
    return 0;
  }

 private:
  pid_t process_;
};

mysql::Message read_message(test::TestConnection& connection) {
  auto message = test::read_mysql_message(connection);
  if (!message) throw std::runtime_error("no response from the dispatcher");
  return std::move(*message);
}

void read_response(test::TestConnection& connection, mysql::ResponseTracker::Kind kind) {
  mysql::ResponseTracker tracker(kind);
  while (!tracker.on_packet(read_message(connection).payload)) {
  }
  if (tracker.failed()) throw std::runtime_error("a request failed");
}

test::TestConnection log_in(std::uint16_t port) {
  test::TestConnection connection = test::TestConnection::connect(port);
  const mysql::Greeting greeting = mysql::parse_greeting(read_message(connection).payload);
  mysql::Login login;
  login.capabilities = mysql::kCapabilities & ~mysql::kConnectAttrs & ~mysql::kConnectWithDb;
  login.user = "school";
  login.plugin = greeting.plugin;
  login.auth_response = mysql::make_auth_response(greeting.plugin, "secret", greeting.nonce).value();
  std::uint8_t sequence = 1;
  connection.send(mysql::split_into_packets(mysql::login_payload(login), sequence));
  while (!read_message(connection).payload.starts_with('\0')) {
  }
  return connection;
}

void send_command(test::TestConnection& connection, std::uint8_t code, const std::string& arguments) {
  std::uint8_t sequence = 0;
  connection.send(mysql::split_into_packets(static_cast<char>(code) + arguments, sequence));
}

// Sends queries and executions in turns over one connection.
void run_client(std::uint16_t port, std::size_t requests) {
  test::TestConnection connection = log_in(port);
  send_command(connection, mysql::kStmtPrepare, kPreparedStatement);
  const mysql::Message prepared = read_message(connection);
  std::string execution = prepared.payload.substr(1, 4);
  mysql::append_integer(execution, 0, 1);  // no cursor
  mysql::append_integer(execution, 1, 4);  // iterations
  for (std::size_t request = 0; request < requests; request += 2) {
    send_command(connection, mysql::kQuery, kStatement);
    read_response(connection, mysql::ResponseTracker::Kind::kPlain);
    send_command(connection, mysql::kStmtExecute, execution);
    read_response(connection, mysql::ResponseTracker::Kind::kPlain);
  }
}

void run_clients(std::uint16_t port, std::size_t requests) {
  std::vector<std::thread> clients;
  for (std::size_t client = 0; client < kClients; ++client) {
    clients.emplace_back([=] { run_client(port, requests / kClients); });
  }
  for (std::thread& client : clients) client.join();
}

void measure(const std::string& name, const std::string& program, std::size_t requests) {
  const std::string folder = test::make_temporary_directory();
  test::FakeMysqlEngine first;
  test::FakeMysqlEngine second;
  const std::uint16_t port = local_port(test::listen_on_free_port());
  const std::string file = folder + "/cost.toml";
  std::ofstream(file) << config_text(folder, port, {first.port(), second.port()});
  const Dispatcher dispatcher(program, file);
  std::this_thread::sleep_for(500ms);
  const std::int64_t idle = dispatcher.anonymous_kilobytes();
  run_clients(port, requests / 10);
  const auto before = dispatcher.cpu_time();
  run_clients(port, requests);
  const auto used = dispatcher.cpu_time() - before;
  std::cout << name << ": " << used.count() * 1e6 / static_cast<double>(requests) << " us of CPU a request, "
            << idle << " kB idle, " << dispatcher.anonymous_kilobytes() << " kB after" << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("What a request costs two builds of the dispatcher, in turns.", "mysql_cost");
  std::string before;
  std::string after;
  std::size_t requests = 40'000;
  int rounds = 5;
  app.add_option("--before", before, "path of the first program")->required();
  app.add_option("--after", after, "path of the second program")->required();
  app.add_option("--requests", requests, "requests of each run");
  app.add_option("--rounds", rounds, "runs of each program");
  CLI11_PARSE(app, argc, argv);
  for (int round = 0; round < rounds; ++round) {
    measure("before", before, requests);
    measure("after ", after, requests);
  }
}
