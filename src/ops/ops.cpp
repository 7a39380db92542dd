#include "ops/ops.h"

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

std::string figures_text(const Figures& figures, const Gauges& gauges) {
  std::string text;
  const auto put = [&text](std::string_view name, std::uint64_t value) {
    text += "svc.";
    text += name;
    text += '=' + std::to_string(value) + '\n';
  };
  for (const auto& [name, one] : figures.by_class) {
    put("passed." + name, one.served);
    put("dropped." + name, one.refused);
    put("bad_gateway." + name, one.failed);
  }
  put("upstream_tries", figures.attempts_written);
  put("in_progress", gauges.in_progress);
  put("known_query_engines", gauges.engines_listed);
  put("skipped_query_engines", gauges.engines_avoided);
  if (figures.access.on) {
    const AccessFigures& access = figures.access;
    put("keys", access.keys);
    put("token_checks.cached", access.checks_cached);
    put("token_checks.run", access.checks_run);
    put("token_checks.bad", access.checks_bad);
    put("token_checks.us", static_cast<std::uint64_t>(access.check_time.count()));
    for (const auto& [word, times] : access.denied) put("denied." + word, times);
  }
  for (const auto& [tenant, classes] : figures.by_tenant) {
    const std::string at = "tenant." + plain_word(tenant) + ".";
    for (const auto& [name, one] : classes) {
      put(at + "passed." + name, one.served);
      put(at + "dropped." + name, one.refused);
      put(at + "bad_gateway." + name, one.failed);
    }
  }
  put("loads", figures.loads);
  put("load_errors", figures.load_errors);
  return text;
}

std::string ops_answer(std::string_view call, const OpsSource& source) {
  if (call == "STATUS") {
    const std::string why = source.why_not_ready();
    return why.empty() ? "+OK ready" : "-ERR not ready: " + why;
  }
  if (call == "METRICS") {
    std::string text = "+OK\n" + figures_text(source.figures(), source.gauges());
    for (const auto& [name, value] : source.more_figures())
      text += "svc." + name + "=" + std::to_string(value) + "\n";
    return text + ".";
  }
  return "-ERR unknown call; STATUS and METRICS are answered here";
}

class OpsServer::Caller final : public StreamUser {
 public:
  Caller(OpsServer& server, SlotKey key, Fd fd)
      : server_(server),
        key_(key),
        stream_(server.loop_, std::move(fd), *this, false, server.limits_.longest_call + 2) {
    timer_ = server_.loop_.at(server_.loop_.now() + server_.limits_.patience, [this] { server_.drop(key_); });
  }
  ~Caller() { server_.loop_.cancel(timer_); }

  std::size_t on_bytes(std::string_view bytes) override {
    if (answered_) return bytes.size();  // one call a connection: what follows it is read and dropped
    const auto end = bytes.find('\n');
    std::string_view call = bytes.substr(0, end);
    const bool too_long = call.size() > server_.limits_.longest_call;
    if (end == bytes.npos && !too_long) return 0;
    if (call.ends_with('\r')) call.remove_suffix(1);
    // Its own connection ends once it has the answer, so nothing is left unread that could reset it.
    answered_ = true;
    stream_.write((too_long ? "-ERR the line is too long" : ops_answer(call, server_.source_)) + "\n");
    stream_.end_writing();
    return bytes.size();
  }
  void on_closed(std::string_view) override { server_.drop(key_); }

 private:
  OpsServer& server_;
  SlotKey key_;
  bool answered_ = false;
  TimerKey timer_{};
  Stream stream_;
};

OpsServer::OpsServer(Loop& loop, Fd listener, const OpsSource& source, Limits limits)
    : loop_(loop),
      source_(source),
      limits_(limits),
      acceptor_(loop, std::move(listener), [this](Fd fd) { accept(std::move(fd)); }) {}

OpsServer::~OpsServer() = default;

void OpsServer::accept(Fd fd) {
  if (callers_.size() >= limits_.most_callers) {
    const auto keys = callers_.keys();
    drop(*std::min_element(keys.begin(), keys.end()));  // keys sort by age
  }
  const SlotKey key = callers_.insert(nullptr);
  *callers_.find(key) = std::make_unique<Caller>(*this, key, std::move(fd));
}

void OpsServer::drop(SlotKey key) {
  auto caller = callers_.take(key);
  if (!caller) return;
  // It may be in the middle of a call of its own.
  loop_.defer([kept = std::make_shared<std::unique_ptr<Caller>>(std::move(*caller))] {});
}

}  // namespace rookproxy
