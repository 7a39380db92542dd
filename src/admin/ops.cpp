#include "admin/ops.h"

#include <algorithm>

namespace rookproxy {
namespace {

// Tenants may be named as their operators like; a figure is one word of a line.
std::string plain_word(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return c <= ' ' || c >= 0x7f || c == '='; }, '_');
  return name;
}

}  // namespace

std::string format_metrics(const Metrics& figures, const Gauges& gauges) {
  std::string text;
  const auto put = [&text](std::string_view name, std::uint64_t value) {
    text += "svc.";
    text += name;
    text += '=' + std::to_string(value) + '\n';
  };
  for (const auto& [name, one] : figures.by_class) {
    put("passed." + name, one.served);
    put("dropped." + name, one.rejected);
    put("bad_gateway." + name, one.failed);
  }
  put("upstream_tries", figures.attempts_written);
  put("in_progress", gauges.requests_in_progress);
  put("known_query_engines", gauges.engines_listed);
  put("skipped_query_engines", gauges.engines_avoided);
  if (figures.auth.enabled) {
    const AuthMetrics& access = figures.auth;
    put("keys", access.key_count);
    put("token_checks.cached", access.signature_checks_cached);
    put("token_checks.run", access.signature_checks_run);
    put("token_checks.bad", access.signature_checks_failed);
    put("token_checks.us", static_cast<std::uint64_t>(access.signature_check_time.count()));
    for (const auto& [word, times] : access.denied_by_code) put("denied." + word, times);
  }
  for (const auto& [tenant, classes] : figures.by_tenant) {
    const std::string at = "tenant." + plain_word(tenant) + ".";
    for (const auto& [name, one] : classes) {
      put(at + "passed." + name, one.served);
      put(at + "dropped." + name, one.rejected);
      put(at + "bad_gateway." + name, one.failed);
    }
  }
  put("loads", figures.config_reloads);
  put("load_errors", figures.config_reload_errors);
  return text;
}

std::string admin_response(std::string_view call, const AdminSource& source) {
  if (call == "STATUS") {
    const std::string why = source.not_ready_reason();
    return why.empty() ? "+OK ready" : "-ERR not ready: " + why;
  }
  if (call == "METRICS") {
    std::string text = "+OK\n" + format_metrics(source.metrics(), source.gauges());
    for (const auto& [name, value] : source.optional_metrics())
      text += "svc." + name + "=" + std::to_string(value) + "\n";
    return text + ".";
  }
  return "-ERR unknown call; STATUS and METRICS are answered here";
}

class AdminServer::Client final : public StreamHandler {
 public:
  Client(AdminServer& server, SlotKey key, FileDescriptor fd)
      : server_(server),
        key_(key),
        stream_(server.loop_, std::move(fd), *this, false, server.limits_.max_command_bytes + 2) {
    timer_ = server_.loop_.run_at(server_.loop_.now() + server_.limits_.timeout,
                                  [this] { server_.close_client(key_); });
  }
  ~Client() { server_.loop_.cancel(timer_); }

  std::size_t on_bytes(std::string_view bytes) override {
    if (answered_) return bytes.size();  // one call a connection: what follows it is read and dropped
    const auto end = bytes.find('\n');
    std::string_view call = bytes.substr(0, end);
    const bool too_long = call.size() > server_.limits_.max_command_bytes;
    if (end == bytes.npos && !too_long) return 0;
    if (call.ends_with('\r')) call.remove_suffix(1);
    // Its own connection ends once it has the answer, so nothing is left unread that could reset it.
    answered_ = true;
    stream_.write((too_long ? "-ERR the line is too long" : admin_response(call, server_.source_)) + "\n");
    stream_.shutdown_write();
    return bytes.size();
  }
  void on_closed(std::string_view) override { server_.close_client(key_); }

 private:
  AdminServer& server_;
  SlotKey key_;
  bool answered_ = false;
  TimerId timer_{};
  Stream stream_;
};

AdminServer::AdminServer(EventLoop& loop, FileDescriptor listener, const AdminSource& source, Limits limits)
    : loop_(loop),
      source_(source),
      limits_(limits),
      acceptor_(loop, std::move(listener), [this](FileDescriptor fd) { accept(std::move(fd)); }) {}

AdminServer::~AdminServer() = default;

void AdminServer::accept(FileDescriptor fd) {
  if (clients_.size() >= limits_.max_clients) {
    const auto keys = clients_.keys();
    close_client(*std::min_element(keys.begin(), keys.end()));  // keys sort by age
  }
  const SlotKey key = clients_.insert(nullptr);
  *clients_.find(key) = std::make_unique<Client>(*this, key, std::move(fd));
}

void AdminServer::close_client(SlotKey key) {
  auto caller = clients_.take(key);
  if (!caller) return;
  // It may be in the middle of a call of its own.
  loop_.defer([kept = std::make_shared<std::unique_ptr<Client>>(std::move(*caller))] {});
}

}  // namespace rookproxy
