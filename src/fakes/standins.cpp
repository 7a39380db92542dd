#include "fakes/standins.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kLoopback = 0x7f000001;

std::optional<int> find_number_after(const std::string& text, const std::string& word) {
  const auto at = text.find(word);
  if (at == std::string::npos) return std::nullopt;
  return std::atoi(text.c_str() + at + word.size());
}

void append_big_endian_16(std::string& out, unsigned value) {
  out += static_cast<char>(value >> 8);
  out += static_cast<char>(value);
}

}  // namespace

std::string make_temporary_directory() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base ? base : "/tmp") + "/rookproxy-test-XXXXXX";
  return ::mkdtemp(path.data()) ? path : "";
}

bool wait_until_readable(const FileDescriptor& fd, std::chrono::milliseconds within) {
  pollfd one{fd.get(), POLLIN, 0};
  return ::poll(&one, 1, static_cast<int>(within.count())) > 0;
}

FileDescriptor listen_on_free_port() { return listen_tcp({kLoopback, 0}); }

TestConnection TestConnection::connect(std::uint16_t port) {
  return TestConnection(connect_tcp({kLoopback, port}));
}

void TestConnection::send(std::string_view bytes) {
  if (tls_) {
    if (!tls_->send(bytes)) ended_ = true;
    return;
  }
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    pollfd one{fd_.get(), POLLOUT, 0};
    if (::poll(&one, 1, 20'000) <= 0 || (one.revents & (POLLERR | POLLHUP)) != 0) return;
  }
}

bool TestConnection::read_more(std::chrono::milliseconds within) {
  if (tls_ && fd_ && !ended_) {
    char bytes[16 * 1024];
    const int got = tls_->read(bytes, sizeof bytes, within);
    if (got == 0) ended_ = true;
    if (got > 0) buffer_.append(bytes, static_cast<std::size_t>(got));
    return got > 0;
  }
  if (ended_ || !fd_ || !wait_until_readable(fd_, within)) return false;
  char bytes[64 * 1024];
  const ssize_t got = ::recv(fd_.get(), bytes, sizeof bytes, 0);
  if (got <= 0) ended_ = true;
  if (got < 0) reset_ = true;
  if (got > 0) buffer_.append(bytes, static_cast<std::size_t>(got));
  return got > 0;
}

bool TestConnection::wait_for_bytes(std::size_t bytes, std::chrono::milliseconds within) {
  while (buffer_.size() < bytes) {
    if (!read_more(within)) return false;
  }
  return true;
}

bool TestConnection::wait_for_end(std::chrono::milliseconds within) {
  while (!ended_ && read_more(within)) continue;
  return ended_;
}

std::string TestConnection::take(std::size_t bytes) {
  std::string out = buffer_.substr(0, bytes);
  buffer_.erase(0, bytes);
  return out;
}

std::optional<mysql::Message> read_mysql_message(TestConnection& peer) {
  for (;;) {
    mysql::Message message = mysql::parse_message(peer.buffer(), SIZE_MAX);
    if (message.consumed > 0) {
      peer.take(message.consumed);
      return message;
    }
    if (!peer.read_more()) return std::nullopt;
  }
}

// ---- the directory

std::string make_dns_response(std::string_view query, std::uint32_t serial,
                              const std::vector<EngineEndpoint>& members) {
  std::string out(query.substr(0, 2));
  append_big_endian_16(out, 0x8400);
  append_big_endian_16(out, 1);
  append_big_endian_16(out, static_cast<unsigned>(members.size()));
  append_big_endian_16(out, 1);
  append_big_endian_16(out, static_cast<unsigned>(2 * members.size()));
  out += query.substr(12);  // the question
  const auto record = [&out](unsigned type, const std::string& data) {
    append_big_endian_16(out, type);
    append_big_endian_16(out, 1);
    out.append(4, '\0');
    append_big_endian_16(out, static_cast<unsigned>(data.size()));
    out += data;
  };
  const std::string to_question = "\xc0\x0c";
  std::vector<std::size_t> targets;
  for (const EngineEndpoint& member : members) {
    std::string data;
    append_big_endian_16(data, member.state == routing::EngineState::kServing ? 0 : 1);
    append_big_endian_16(data, 10);
    append_big_endian_16(data, member.address.port);
    const std::string zone = member.zone.empty() ? "z" : member.zone;
    for (const std::string& label : {member.id, zone, std::string("hosts")}) {
      data += static_cast<char>(label.size());
      data += label;
    }
    data += '\0';
    out += to_question;
    targets.push_back(out.size() + 10 + 6);  // compressed to later on
    record(33, data);
  }
  out += to_question;
  std::string soa = to_question + to_question;
  for (const std::uint32_t value : {serial, 1u, 1u, 1u, 1u}) {
    append_big_endian_16(soa, value >> 16);
    append_big_endian_16(soa, value & 0xffff);
  }
  record(6, soa);
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::string owner = {static_cast<char>(0xc0 | targets[i] >> 8), static_cast<char>(targets[i])};
    std::string address;
    append_big_endian_16(address, members[i].address.ip >> 16);
    append_big_endian_16(address, members[i].address.ip & 0xffff);
    out += owner;
    record(1, address);
    std::string texts;
    for (const std::string& text :
         {"kind=" + members[i].machine_type, std::string("cell=0"), std::string("started=0")}) {
      texts += static_cast<char>(text.size());
      texts += text;
    }
    out += owner;
    record(16, texts);
  }
  return out;
}

FakeDiscoveryServer::FakeDiscoveryServer(std::uint32_t serial) : version_(serial) {
  socket_ = FileDescriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = SocketAddress{kLoopback, 0}.to_sockaddr();
  if (::bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("no port for the directory");
  }
  thread_ = std::thread([this] { serve(); });
}

FakeDiscoveryServer::~FakeDiscoveryServer() {
  stop_ = true;
  thread_.join();
}

void FakeDiscoveryServer::set_endpoints(std::vector<EngineEndpoint> members) {
  const std::lock_guard lock(mutex_);
  endpoints_ = std::move(members);
  ++version_;
}

std::uint32_t FakeDiscoveryServer::version() {
  const std::lock_guard lock(mutex_);
  return version_;
}

void FakeDiscoveryServer::serve() {
  while (!stop_) {
    if (!wait_until_readable(socket_, 20ms)) continue;
    char bytes[1024];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(socket_.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 12) continue;
    const std::lock_guard lock(mutex_);
    const auto answer = make_dns_response({bytes, static_cast<std::size_t>(got)}, version_, endpoints_);
    ::sendto(socket_.get(), answer.data(), answer.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
  }
}

// ---- the engine

struct FakeMysqlEngine::Session {
  explicit Session(FileDescriptor fd) : peer(std::move(fd)) {}
  TestConnection peer;
  std::uint8_t sequence = 0;
  std::uint32_t thread = 0;
  std::shared_ptr<std::atomic<bool>> killed = std::make_shared<std::atomic<bool>>(false);
  struct Prepared {
    std::string text;
    std::size_t parameters;
    std::map<int, std::string> long_data;
  };
  std::map<std::uint32_t, Prepared> statements;
  std::uint32_t next = 100;
  void reply(std::string_view payload) { peer.send(mysql::split_into_packets(payload, sequence)); }
  void column(const std::string& name) {
    std::string out;
    for (const std::string& text :
         {std::string("def"), std::string(), std::string(), std::string(), name, name}) {
      mysql::append_length_encoded_string(out, text);
    }
    out += '\x0c';
    mysql::append_integer(out, mysql::kUtf8mb4, 2);
    mysql::append_integer(out, 255, 4);
    mysql::append_integer(out, 0xfd, 1);  // VAR_STRING
    out.append(5, '\0');
    reply(out);
  }
  void eof() { reply(std::string("\xfe\0\0\2\0", 5)); }
};

FakeMysqlEngine::FakeMysqlEngine() : listener_(listen_on_free_port()), accept_thread_([this] { accept(); }) {}

FakeMysqlEngine::~FakeMysqlEngine() {
  stop_ = true;
  accept_thread_.join();
  for (auto& session : session_threads_) session.join();
}

std::vector<std::string> FakeMysqlEngine::executed_statements() {
  const std::lock_guard lock(mutex_);
  return executed_statements_;
}

std::vector<std::string> FakeMysqlEngine::prepared_statements() {
  const std::lock_guard lock(mutex_);
  return prepared_statements_;
}

void FakeMysqlEngine::accept() {
  while (!stop_) {
    if (!wait_until_readable(listener_, 20ms)) continue;
    if (FileDescriptor fd = accept_connection(listener_)) {
      session_threads_.emplace_back(
          [this, kept = std::make_shared<FileDescriptor>(std::move(fd))] { serve(std::move(*kept)); });
    }
  }
}

void FakeMysqlEngine::serve(FileDescriptor fd) {
  Session session(std::move(fd));
  TestConnection& peer = session.peer;
  mysql::Greeting greeting;
  {
    const std::lock_guard lock(mutex_);
    session.thread = greeting.connection_id = next_thread_id_++;
    kill_flags_[session.thread] = session.killed;
  }
  greeting.capabilities = mysql::kCapabilities;
  greeting.nonce = mysql::generate_nonce();
  greeting.plugin = mysql::kNativePassword;
  greeting.version = "8.0.0-stand-in";
  session.reply(mysql::greeting_payload(greeting));
  const auto next = [&]() -> std::optional<mysql::Message> {
    while (!stop_ && peer.buffer().empty()) {
      if (wait_until_readable(peer.fd(), 20ms) && !peer.read_more()) return std::nullopt;
    }
    return stop_ ? std::nullopt : read_mysql_message(peer);
  };
  const auto login_message = next();
  if (!login_message) return;
  const auto login = mysql::parse_login(login_message->payload);
  session.sequence = login_message->next_sequence;
  if (login.user != "rookproxy" ||
      login.auth_response != mysql::make_auth_response(login.plugin, "engine-secret", greeting.nonce)) {
    return session.reply(mysql::error_payload(mysql::kAccessDenied, "Access denied"));
  }
  session.reply(mysql::ok_payload());
  while (const auto message = next()) {
    session.sequence = message->next_sequence;
    const std::string& payload = message->payload;
    mysql::PayloadReader reader(std::string_view(payload).substr(1));
    switch (payload[0]) {
      case mysql::kPing:
        session.reply(mysql::ok_payload());
        break;
      case mysql::kInitDb:
        if (reader.take_remaining() == "nowhere") {
          session.reply(mysql::error_payload(1049, "Unknown database"));
        } else {
          session.reply(mysql::ok_payload());
        }
        break;
      case mysql::kQuery: {
        const std::string text(reader.take_remaining());
        if (!run(session, text, text, false)) return;
        break;
      }
      case mysql::kStmtPrepare: {
        const std::string text(reader.take_remaining());
        const auto marks = static_cast<std::size_t>(std::count(text.begin(), text.end(), '?'));
        const std::uint32_t id = session.next++;
        session.statements[id] = {text, marks, {}};
        {
          const std::lock_guard lock(mutex_);
          prepared_statements_.push_back(text);
        }
        std::string ok(1, '\0');
        mysql::append_integer(ok, id, 4);
        mysql::append_integer(ok, 0, 2);
        mysql::append_integer(ok, marks, 2);
        ok.append(3, '\0');
        session.reply(ok);
        for (std::size_t i = 0; i < marks; ++i) session.column("?");
        if (marks > 0) session.eof();
        break;
      }
      case mysql::kStmtSendLongData: {
        const auto id = static_cast<std::uint32_t>(reader.integer(4));
        const int parameter = static_cast<int>(reader.integer(2));
        session.statements.at(id).long_data[parameter] += reader.take_remaining();
        break;
      }
      case mysql::kStmtClose:
        session.statements.erase(static_cast<std::uint32_t>(reader.integer(4)));
        break;
      case mysql::kStmtExecute: {
        const auto found = session.statements.find(static_cast<std::uint32_t>(reader.integer(4)));
        if (found == session.statements.end()) {
          session.reply(mysql::error_payload(mysql::kUnknownStatement, "Unknown prepared statement handler"));
          break;
        }
        auto& statement = found->second;
        reader.integer(5);
        std::string shown = statement.text + " <-";
        if (statement.parameters > 0) {
          const auto nulls = reader.take((statement.parameters + 7) / 8);
          if (reader.integer(1) != 1) {
            session.reply(mysql::error_payload(mysql::kWrongArguments, "no types on this session"));
            break;
          }
          reader.take(2 * statement.parameters);
          for (std::size_t i = 0; i < statement.parameters; ++i) {
            const auto long_one = statement.long_data.find(static_cast<int>(i));
            const bool null = (nulls[i / 8] >> (i % 8) & 1) != 0;
            shown += ' ';
            if (long_one != statement.long_data.end()) {
              shown += long_one->second;
            } else {
              shown += null ? "NULL" : std::string(reader.length_encoded_string());
            }
          }
        }
        statement.long_data.clear();
        if (!run(session, shown, shown, true)) return;
        break;
      }
      default:
        session.reply(mysql::error_payload(mysql::kUnknownCommand, "Unknown command"));
    }
  }
}

// False: the session ends here.
bool FakeMysqlEngine::run(Session& session, const std::string& text, const std::string& shown, bool binary) {
  if (text.starts_with("KILL QUERY ")) {
    const std::lock_guard lock(mutex_);
    const auto found = kill_flags_.find(static_cast<std::uint32_t>(*find_number_after(text, "KILL QUERY ")));
    if (found != kill_flags_.end()) *found->second = true;
    session.reply(mysql::ok_payload());
    return true;
  }
  if (text.find("full") != std::string::npos) {
    session.reply(mysql::error_payload(mysql::kTooManyConnections, "Too many connections"));
    return true;
  }
  if (text.find("bad") != std::string::npos) {
    session.reply(mysql::error_payload(1064, "You have an error in your SQL syntax"));
    return true;
  }
  {
    const std::lock_guard lock(mutex_);
    executed_statements_.push_back(shown);
  }
  for (int left = find_number_after(text, "sleep_").value_or(0); left > 0 && !stop_; left -= 10) {
    if (*session.killed) {
      session.reply(mysql::error_payload(mysql::kQueryInterrupted, "Query execution was interrupted"));
      return true;
    }
    std::this_thread::sleep_for(10ms);
  }
  if (text.find("cut") != std::string::npos) return false;
  const auto rows = find_number_after(text, "rows_");
  const auto wide = find_number_after(text, "wide_");
  if (!rows && !wide) {
    session.reply(mysql::ok_payload(1, 7));
    return true;
  }
  session.reply("\1");
  session.column("c");
  session.eof();
  for (int i = 0; i < rows.value_or(1); ++i) {
    std::string row;
    if (binary) row.assign(2, '\0');  // no nulls
    mysql::append_length_encoded_string(
        row, wide ? std::string(static_cast<std::size_t>(*wide), 'w') : "row" + std::to_string(i));
    session.reply(row);
  }
  session.eof();
  return true;
}

std::size_t count_repeated_executions(const std::vector<std::string>& executed) {
  std::set<std::string> seen;
  std::size_t count = 0;
  for (const auto& one : executed) count += !seen.insert(one).second;
  return count;
}

}  // namespace rookproxy::test
