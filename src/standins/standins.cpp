#include "standins/standins.h"

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

std::optional<int> number_after(const std::string& text, const std::string& word) {
  const auto at = text.find(word);
  if (at == std::string::npos) return std::nullopt;
  return std::atoi(text.c_str() + at + word.size());
}

void put16(std::string& out, unsigned value) {
  out += static_cast<char>(value >> 8);
  out += static_cast<char>(value);
}

}  // namespace

std::string new_folder() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base ? base : "/tmp") + "/rookproxy-test-XXXXXX";
  return ::mkdtemp(path.data()) ? path : "";
}

bool readable(const Fd& fd, std::chrono::milliseconds within) {
  pollfd one{fd.get(), POLLIN, 0};
  return ::poll(&one, 1, static_cast<int>(within.count())) > 0;
}

Fd listen_anywhere() { return listen_tcp({kLoopback, 0}); }

Peer Peer::connect(std::uint16_t port) { return Peer(connect_tcp({kLoopback, port})); }

void Peer::send(std::string_view bytes) {
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

bool Peer::more(std::chrono::milliseconds within) {
  if (tls_ && fd_ && !ended_) {
    char bytes[16 * 1024];
    const int got = tls_->read(bytes, sizeof bytes, within);
    if (got == 0) ended_ = true;
    if (got > 0) buffer_.append(bytes, static_cast<std::size_t>(got));
    return got > 0;
  }
  if (ended_ || !fd_ || !readable(fd_, within)) return false;
  char bytes[64 * 1024];
  const ssize_t got = ::recv(fd_.get(), bytes, sizeof bytes, 0);
  if (got <= 0) ended_ = true;
  if (got < 0) reset_ = true;
  if (got > 0) buffer_.append(bytes, static_cast<std::size_t>(got));
  return got > 0;
}

bool Peer::has(std::size_t bytes, std::chrono::milliseconds within) {
  while (buffer_.size() < bytes) {
    if (!more(within)) return false;
  }
  return true;
}

bool Peer::at_end(std::chrono::milliseconds within) {
  while (!ended_ && more(within)) continue;
  return ended_;
}

std::string Peer::take(std::size_t bytes) {
  std::string out = buffer_.substr(0, bytes);
  buffer_.erase(0, bytes);
  return out;
}

std::optional<mysql::Message> take_mysql(Peer& peer) {
  for (;;) {
    mysql::Message message = mysql::take_message(peer.buffer(), SIZE_MAX);
    if (message.used > 0) {
      peer.take(message.used);
      return message;
    }
    if (!peer.more()) return std::nullopt;
  }
}

// ---- the directory

std::string dns_answer(std::string_view query, std::uint32_t serial, const std::vector<Member>& members) {
  std::string out(query.substr(0, 2));
  put16(out, 0x8400);
  put16(out, 1);
  put16(out, static_cast<unsigned>(members.size()));
  put16(out, 1);
  put16(out, static_cast<unsigned>(2 * members.size()));
  out += query.substr(12);  // the question
  const auto record = [&out](unsigned type, const std::string& data) {
    put16(out, type);
    put16(out, 1);
    out.append(4, '\0');
    put16(out, static_cast<unsigned>(data.size()));
    out += data;
  };
  const std::string to_question = "\xc0\x0c";
  std::vector<std::size_t> targets;
  for (const Member& member : members) {
    std::string data;
    put16(data, member.state == lemonshift::EngineState::kServing ? 0 : 1);
    put16(data, 10);
    put16(data, member.address.port);
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
    put16(soa, value >> 16);
    put16(soa, value & 0xffff);
  }
  record(6, soa);
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::string owner = {static_cast<char>(0xc0 | targets[i] >> 8), static_cast<char>(targets[i])};
    std::string address;
    put16(address, members[i].address.ip >> 16);
    put16(address, members[i].address.ip & 0xffff);
    out += owner;
    record(1, address);
    std::string texts;
    for (const std::string& text :
         {"kind=" + members[i].kind, std::string("cell=0"), std::string("started=0")}) {
      texts += static_cast<char>(text.size());
      texts += text;
    }
    out += owner;
    record(16, texts);
  }
  return out;
}

DirectoryStandIn::DirectoryStandIn(std::uint32_t serial) : serial_(serial) {
  socket_ = Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Endpoint{kLoopback, 0}.socket_address();
  if (::bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("no port for the directory");
  }
  thread_ = std::thread([this] { serve(); });
}

DirectoryStandIn::~DirectoryStandIn() {
  stop_ = true;
  thread_.join();
}

void DirectoryStandIn::tell(std::vector<Member> members) {
  const std::lock_guard lock(mutex_);
  members_ = std::move(members);
  ++serial_;
}

std::uint32_t DirectoryStandIn::serial() {
  const std::lock_guard lock(mutex_);
  return serial_;
}

void DirectoryStandIn::serve() {
  while (!stop_) {
    if (!readable(socket_, 20ms)) continue;
    char bytes[1024];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(socket_.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 12) continue;
    const std::lock_guard lock(mutex_);
    const auto answer = dns_answer({bytes, static_cast<std::size_t>(got)}, serial_, members_);
    ::sendto(socket_.get(), answer.data(), answer.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
  }
}

// ---- the engine

struct MysqlStandIn::Session {
  explicit Session(Fd fd) : peer(std::move(fd)) {}
  Peer peer;
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
  void reply(std::string_view payload) { peer.send(mysql::packets(payload, sequence)); }
  void column(const std::string& name) {
    std::string out;
    for (const std::string& text :
         {std::string("def"), std::string(), std::string(), std::string(), name, name}) {
      mysql::put_lenenc_text(out, text);
    }
    out += '\x0c';
    mysql::put_number(out, mysql::kUtf8mb4, 2);
    mysql::put_number(out, 255, 4);
    mysql::put_number(out, 0xfd, 1);  // VAR_STRING
    out.append(5, '\0');
    reply(out);
  }
  void eof() { reply(std::string("\xfe\0\0\2\0", 5)); }
};

MysqlStandIn::MysqlStandIn() : listener_(listen_anywhere()), accepting_([this] { accept(); }) {}

MysqlStandIn::~MysqlStandIn() {
  stop_ = true;
  accepting_.join();
  for (auto& session : sessions_) session.join();
}

std::vector<std::string> MysqlStandIn::executed() {
  const std::lock_guard lock(mutex_);
  return executed_;
}

std::vector<std::string> MysqlStandIn::prepared() {
  const std::lock_guard lock(mutex_);
  return prepared_;
}

void MysqlStandIn::accept() {
  while (!stop_) {
    if (!readable(listener_, 20ms)) continue;
    if (Fd fd = accept_from(listener_)) {
      sessions_.emplace_back([this, kept = std::make_shared<Fd>(std::move(fd))] { serve(std::move(*kept)); });
    }
  }
}

void MysqlStandIn::serve(Fd fd) {
  Session session(std::move(fd));
  Peer& peer = session.peer;
  mysql::Greeting greeting;
  {
    const std::lock_guard lock(mutex_);
    session.thread = greeting.thread = next_thread_++;
    killed_[session.thread] = session.killed;
  }
  greeting.capabilities = mysql::kCapabilities;
  greeting.nonce = mysql::new_nonce();
  greeting.plugin = mysql::kNativePassword;
  greeting.version = "8.0.0-stand-in";
  session.reply(mysql::greeting_payload(greeting));
  const auto next = [&]() -> std::optional<mysql::Message> {
    while (!stop_ && peer.buffer().empty()) {
      if (readable(peer.fd(), 20ms) && !peer.more()) return std::nullopt;
    }
    return stop_ ? std::nullopt : take_mysql(peer);
  };
  const auto login_message = next();
  if (!login_message) return;
  const auto login = mysql::read_login(login_message->payload);
  session.sequence = login_message->next_sequence;
  if (login.user != "rookproxy" ||
      login.proof != mysql::proof_for(login.plugin, "engine-secret", greeting.nonce)) {
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
        if (reader.rest() == "nowhere") {
          session.reply(mysql::error_payload(1049, "Unknown database"));
        } else {
          session.reply(mysql::ok_payload());
        }
        break;
      case mysql::kQuery: {
        const std::string text(reader.rest());
        if (!run(session, text, text, false)) return;
        break;
      }
      case mysql::kStmtPrepare: {
        const std::string text(reader.rest());
        const auto marks = static_cast<std::size_t>(std::count(text.begin(), text.end(), '?'));
        const std::uint32_t id = session.next++;
        session.statements[id] = {text, marks, {}};
        {
          const std::lock_guard lock(mutex_);
          prepared_.push_back(text);
        }
        std::string ok(1, '\0');
        mysql::put_number(ok, id, 4);
        mysql::put_number(ok, 0, 2);
        mysql::put_number(ok, marks, 2);
        ok.append(3, '\0');
        session.reply(ok);
        for (std::size_t i = 0; i < marks; ++i) session.column("?");
        if (marks > 0) session.eof();
        break;
      }
      case mysql::kStmtSendLongData: {
        const auto id = static_cast<std::uint32_t>(reader.number(4));
        const int parameter = static_cast<int>(reader.number(2));
        session.statements.at(id).long_data[parameter] += reader.rest();
        break;
      }
      case mysql::kStmtClose:
        session.statements.erase(static_cast<std::uint32_t>(reader.number(4)));
        break;
      case mysql::kStmtExecute: {
        const auto found = session.statements.find(static_cast<std::uint32_t>(reader.number(4)));
        if (found == session.statements.end()) {
          session.reply(mysql::error_payload(mysql::kUnknownStatement, "Unknown prepared statement handler"));
          break;
        }
        auto& statement = found->second;
        reader.number(5);
        std::string shown = statement.text + " <-";
        if (statement.parameters > 0) {
          const auto nulls = reader.take((statement.parameters + 7) / 8);
          if (reader.number(1) != 1) {
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
              shown += null ? "NULL" : std::string(reader.lenenc_text());
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
bool MysqlStandIn::run(Session& session, const std::string& text, const std::string& shown, bool binary) {
  if (text.starts_with("KILL QUERY ")) {
    const std::lock_guard lock(mutex_);
    const auto found = killed_.find(static_cast<std::uint32_t>(*number_after(text, "KILL QUERY ")));
    if (found != killed_.end()) *found->second = true;
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
    executed_.push_back(shown);
  }
  for (int left = number_after(text, "sleep_").value_or(0); left > 0 && !stop_; left -= 10) {
    if (*session.killed) {
      session.reply(mysql::error_payload(mysql::kQueryInterrupted, "Query execution was interrupted"));
      return true;
    }
    std::this_thread::sleep_for(10ms);
  }
  if (text.find("cut") != std::string::npos) return false;
  const auto rows = number_after(text, "rows_");
  const auto wide = number_after(text, "wide_");
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
    mysql::put_lenenc_text(
        row, wide ? std::string(static_cast<std::size_t>(*wide), 'w') : "row" + std::to_string(i));
    session.reply(row);
  }
  session.eof();
  return true;
}

std::size_t duplicates(const std::vector<std::string>& executed) {
  std::set<std::string> seen;
  std::size_t count = 0;
  for (const auto& one : executed) count += !seen.insert(one).second;
  return count;
}

}  // namespace rookproxy::test
