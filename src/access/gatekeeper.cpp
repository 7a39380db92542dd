#include "access/gatekeeper.h"

#include <algorithm>
#include <utility>

namespace rookproxy::access {
namespace {

using decide::Denial;

// Checks a turn, so that the loop's other work has its share of each.
constexpr int kChecksATurn = 1;

constexpr int kMostAuditLines = 100;  // a second, half of what the log takes

// A client that sends these has no business here; one whose token expired or whose key is not yet in the set
// may have.
bool is_bad(Denial denial) {
  return denial == Denial::kMalformed || denial == Denial::kAlgorithm || denial == Denial::kCritical ||
         denial == Denial::kSignature;
}

}  // namespace

Time credential_now() { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); }

Gatekeeper::Gatekeeper(Loop& loop, Log& log, AccessFigures& figures, AccessSettings settings,
                       std::uint64_t seed)
    : loop_(loop),
      log_(log),
      figures_(figures),
      settings_(std::move(settings)),
      files_(read_files(settings_)),
      cache_(settings_.cache, seed),
      queue_(settings_.checks) {
  figures_.on = true;
  figures_.keys = files_.keys.facts().size();
}

Gatekeeper::~Gatekeeper() {
  loop_.cancel(timer_);
  for (auto& [key, pending] : pending_) loop_.cancel(pending.timer);
}

void Gatekeeper::take(AccessSettings settings) {
  AccessFiles files = read_files(settings);  // throws before anything has changed
  settings_ = std::move(settings);
  files_ = std::move(files);
  ++revision_;
  figures_.keys = files_.keys.facts().size();
  const std::size_t forgotten =
      cache_.keep_only(files_.keys.facts(), settings_.rules, files_.revoked, credential_now());
  log_.line(Level::kNotice, "access", "keys and rights taken",
            {{"keys", std::to_string(files_.keys.facts().size())},
             {"tenants", std::to_string(settings_.policy.tenants.size())},
             {"forgotten", std::to_string(forgotten)}});
}

Proof Gatekeeper::denied(Denial denial, SourceId source) {
  Proof proof;
  proof.denial = denial;
  if (is_bad(denial)) proof.close = queue_.spent(source, Duration(0), false, loop_.now());
  return proof;
}

// What can be said of a token without checking a signature; else `jwt` and the place of its key.
std::optional<Proof> Gatekeeper::known(std::string_view token, SourceId source, std::optional<Jwt>& jwt,
                                       std::size_t& key) {
  const Time now = credential_now();
  if (auto proven = cache_.find(token, now)) {
    ++figures_.checks_cached;
    return Proof{Denial::kNone, std::move(proven), std::nullopt, false};
  }
  if (cache_.is_bad(token, now)) return denied(Denial::kSignature, source);
  jwt = read_jwt(token, settings_.claims);
  if (!jwt) return denied(Denial::kMalformed, source);
  const auto choice = decide::choose_key(jwt->header, files_.keys.facts(), now, settings_.rules.leeway);
  if (choice.denial != Denial::kNone) return denied(choice.denial, source);
  const Denial denial = decide::judge_claims(jwt->claims, settings_.rules, files_.revoked, now);
  if (denial != Denial::kNone) return denied(denial, source);
  key = choice.key;
  return std::nullopt;
}

Proof Gatekeeper::run(std::string_view token, SourceId source, const Jwt& jwt, std::size_t key) {
  const auto began = std::chrono::steady_clock::now();
  const bool good = files_.keys.verifies(key, jwt.signed_text, jwt.signature);
  const auto cost = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - began);
  ++figures_.checks_run;
  figures_.check_time += cost;
  Proof proof;
  proof.close = queue_.spent(source, std::max(cost, Duration(1)), good, loop_.now());
  if (!good) {
    ++figures_.checks_bad;
    cache_.put_bad(token, credential_now());
    proof.denial = Denial::kSignature;
    return proof;
  }
  const decide::KeyFacts& facts = files_.keys.facts()[key];
  proof.proven = std::make_shared<const decide::Proven>(decide::Proven{
      decide::identity_of(jwt.claims, settings_.rules, facts), jwt.claims, facts.id, facts.print});
  cache_.put(token, proof.proven);
  return proof;
}

std::optional<Proof> Gatekeeper::check(std::string_view token, SourceId source, Time until, Done done,
                                       CheckKey& key) {
  key = 0;
  std::optional<Jwt> jwt;
  std::size_t place = 0;
  if (auto proof = known(token, source, jwt, place)) return proof;
  const CheckKey made = next_key_++;
  switch (queue_.admit(made, source, loop_.now())) {
    case decide::CheckQueue::Admission::kNow:
      return run(token, source, *jwt, place);
    case decide::CheckQueue::Admission::kRefused:
      return Proof{Denial::kBusy, nullptr, queue_.advice(), false};
    case decide::CheckQueue::Admission::kWait:
      break;
  }
  key = made;
  Pending& pending = pending_[made];
  pending = {std::string(token), source, std::move(done), {}};
  // Its client has to hear of it before it gives up.
  pending.timer = loop_.at(until, [this, made] {
    queue_.withdraw(made);
    resolve(made, {Denial::kBusy, nullptr, queue_.advice(), false});
  });
  wake();
  return std::nullopt;
}

void Gatekeeper::resolve(CheckKey key, Proof proof) {
  const auto found = pending_.find(key);
  if (found == pending_.end()) return;
  loop_.cancel(found->second.timer);
  const Done done = std::move(found->second.done);
  pending_.erase(found);  // `done` may check again
  done(std::move(proof));
}

void Gatekeeper::wake() {
  loop_.cancel(timer_);
  const auto at = queue_.wake_at(loop_.now());
  if (at) timer_ = loop_.at(*at, [this] { serve(); });
}

void Gatekeeper::serve() {
  timer_ = {};
  for (const CheckKey key : queue_.overdue(loop_.now()))
    resolve(key, {Denial::kBusy, nullptr, queue_.advice(), false});
  for (int left = kChecksATurn; left > 0; --left) {
    const auto key = queue_.next(loop_.now());
    if (!key) break;
    const auto found = pending_.find(*key);
    if (found == pending_.end()) continue;
    // Things may have changed while it waited: its key, its time, or the same token was checked for another.
    const std::string token = std::move(found->second.token);
    const SourceId source = found->second.source;
    std::optional<Jwt> jwt;
    std::size_t place = 0;
    auto proof = known(token, source, jwt, place);
    resolve(*key, proof ? std::move(*proof) : run(token, source, *jwt, place));
  }
  wake();
}

void Gatekeeper::cancel(CheckKey key) {
  const auto found = pending_.find(key);
  if (found == pending_.end()) return;
  loop_.cancel(found->second.timer);
  pending_.erase(found);
  queue_.withdraw(key);
}

void Gatekeeper::source_gone(SourceId source) { queue_.forget(source); }

Proof Gatekeeper::renew(const decide::Proven& proven) const {
  if (proven.identity.by == decide::Credential::kPassword) return user(proven.identity.subject);
  std::size_t key = 0;
  Proof proof;
  proof.denial = decide::judge_again(proven, files_.keys.facts(), settings_.rules, files_.revoked,
                                     credential_now(), &key);
  if (proof.denial != Denial::kNone) return proof;
  auto fresh = std::make_shared<decide::Proven>(proven);
  fresh->identity = decide::identity_of(proven.claims, settings_.rules, files_.keys.facts()[key]);
  proof.proven = std::move(fresh);
  return proof;
}

Proof Gatekeeper::standing(const Standing* standing, decide::Identity identity) const {
  Proof proof;
  if (!standing) {
    proof.denial = Denial::kUnmapped;
    return proof;
  }
  identity.tenant = standing->tenant;
  identity.roles = standing->roles;
  proof.proven = std::make_shared<const decide::Proven>(decide::Proven{std::move(identity), {}, "", ""});
  return proof;
}

Proof Gatekeeper::user(const std::string& name) const {
  const auto found = settings_.users.find(name);
  decide::Identity identity;
  identity.by = decide::Credential::kPassword;
  identity.subject = name;
  identity.credential = "password";
  return standing(found == settings_.users.end() ? nullptr : &found->second, std::move(identity));
}

Proof Gatekeeper::certificate(const decide::CertificateFacts& facts, std::optional<Time> known_until) const {
  // Alternative names come first: they are what a certificate is issued for (RFC 6125).
  const Standing* found = nullptr;
  std::string name;
  for (const auto& one : facts.names) {
    const auto at = settings_.certificates.find(one);
    if (at == settings_.certificates.end()) continue;
    found = &at->second;
    name = one;
    break;
  }
  if (!found) {
    const auto at = settings_.certificates.find(facts.subject);
    if (at != settings_.certificates.end()) found = &at->second;
    name = facts.subject;
  }
  decide::Identity identity;
  identity.by = decide::Credential::kCertificate;
  identity.subject = name;
  identity.credential = facts.serial;
  identity.not_after = facts.not_after;
  identity.known_until = known_until;
  return standing(found, std::move(identity));
}

void Gatekeeper::audit(Denial denial, const decide::Identity& identity, std::string_view class_name,
                       const Asked& asked, std::string_view detail) {
  ++figures_.denied[std::string(decide::denial_word(denial))];
  // A flood must not push other lines out of the log: what is over its share of a second is counted.
  if (loop_.now() - audit_second_ >= std::chrono::seconds(1)) {
    audit_second_ = loop_.now();
    audit_lines_ = 0;
    if (const auto left_out = std::exchange(audit_left_out_, 0); left_out > 0) {
      log_.line(Level::kWarning, "access", "denials not written one by one",
                {{"count", std::to_string(left_out)}});
    }
  }
  if (++audit_lines_ > kMostAuditLines) {
    ++audit_left_out_;
    return;
  }
  log_.line(Level::kNotice, "access", decide::denial_text(denial),
            {{"denied", std::string(decide::denial_word(denial))},
             {"subject", identity.subject},
             {"tenant", identity.tenant},
             {"credential", identity.credential},
             {"front", std::string(asked.front)},
             {"class", std::string(class_name)},
             {"request", std::string(asked.request)},
             {"detail", std::string(detail)}});
}

Denial Gatekeeper::judge(const decide::Identity& identity, std::string_view class_name, bool class_may_write,
                         const decide::StatementFacts& facts, const Asked& asked) {
  std::string schema;
  const Denial denial = decide::judge_ask(settings_.policy, identity, {class_name, class_may_write, &facts},
                                          credential_now(), &schema);
  if (denial != Denial::kNone)
    audit(denial, identity, class_name, asked, denial == Denial::kTables ? facts.why : schema);
  return denial;
}

Denial Gatekeeper::judge_schema(const decide::Identity& identity, std::string_view schema,
                                const Asked& asked) {
  const Denial denial = decide::judge_schema(settings_.policy, identity, schema, credential_now());
  if (denial != Denial::kNone) audit(denial, identity, "", asked, schema);
  return denial;
}

Denial Gatekeeper::judge_identity(const decide::Identity& identity, const Asked& asked) {
  const Denial denial = decide::judge_identity(settings_.policy, identity, credential_now());
  if (denial != Denial::kNone) audit(denial, identity, "", asked);
  return denial;
}

}  // namespace rookproxy::access
