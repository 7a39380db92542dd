#include "auth/gatekeeper.h"

#include <algorithm>
#include <utility>

namespace rookproxy::auth {
namespace {

using policy::Denial;

// Checks a turn, so that the loop's other work has its share of each.
constexpr int kMaxChecksPerIteration = 1;

constexpr int kMaxAuditLinesPerSecond = 100;  // a second, half of what the log takes

// A client that sends these has no business here; one whose token expired or whose key is not yet in the set
// may have.
bool indicates_abuse(Denial denial) {
  return denial == Denial::kMalformed || denial == Denial::kAlgorithmNotAccepted ||
         denial == Denial::kCriticalExtension || denial == Denial::kInvalidSignature;
}

}  // namespace

Time wall_clock_now() { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); }

Authenticator::Authenticator(EventLoop& loop, Logger& log, AuthMetrics& figures, AuthSettings settings,
                             std::uint64_t seed)
    : loop_(loop),
      log_(log),
      figures_(figures),
      settings_(std::move(settings)),
      files_(load_auth_files(settings_)),
      cache_(settings_.token_cache_limits, seed),
      queue_(settings_.check_queue_limits) {
  figures_.enabled = true;
  figures_.key_count = files_.keys.metadata().size();
}

Authenticator::~Authenticator() {
  loop_.cancel(wake_up_timer_);
  for (auto& [key, pending] : pending_checks_) loop_.cancel(pending.timer);
}

void Authenticator::replace_settings(AuthSettings settings) {
  AuthFiles files = load_auth_files(settings);  // throws before anything has changed
  settings_ = std::move(settings);
  files_ = std::move(files);
  ++revision_;
  figures_.key_count = files_.keys.metadata().size();
  const std::size_t forgotten =
      cache_.revalidate(files_.keys.metadata(), settings_.token_rules, files_.revocations, wall_clock_now());
  log_.write(LogLevel::kNotice, "access", "keys and rights taken",
             {{"keys", std::to_string(files_.keys.metadata().size())},
              {"tenants", std::to_string(settings_.policy.tenants.size())},
              {"forgotten", std::to_string(forgotten)}});
}

AuthenticationResult Authenticator::reject(Denial denial, SourceId source) {
  AuthenticationResult proof;
  proof.denial = denial;
  if (indicates_abuse(denial))
    proof.close_connection = queue_.record_check(source, Duration(0), false, loop_.now());
  return proof;
}

// What can be said of a token without checking a signature; else `jwt` and the place of its key.
std::optional<AuthenticationResult> Authenticator::check_without_signature(std::string_view token,
                                                                           SourceId source,
                                                                           std::optional<Jwt>& jwt,
                                                                           std::size_t& key) {
  const Time now = wall_clock_now();
  if (auto proven = cache_.find(token, now)) {
    ++figures_.signature_checks_cached;
    return AuthenticationResult{Denial::kNone, std::move(proven), std::nullopt, false};
  }
  if (cache_.is_known_invalid(token, now)) return reject(Denial::kInvalidSignature, source);
  jwt = parse_jwt(token, settings_.claim_names);
  if (!jwt) return reject(Denial::kMalformed, source);
  const auto choice =
      policy::select_key(jwt->header, files_.keys.metadata(), now, settings_.token_rules.leeway);
  if (choice.denial != Denial::kNone) return reject(choice.denial, source);
  const Denial denial = policy::validate_claims(jwt->claims, settings_.token_rules, files_.revocations, now);
  if (denial != Denial::kNone) return reject(denial, source);
  key = choice.key_index;
  return std::nullopt;
}

AuthenticationResult Authenticator::verify_signature(std::string_view token, SourceId source, const Jwt& jwt,
                                                     std::size_t key) {
  const auto began = std::chrono::steady_clock::now();
  const bool good = files_.keys.verify(key, jwt.signing_input, jwt.signature);
  const auto cost = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - began);
  ++figures_.signature_checks_run;
  figures_.signature_check_time += cost;
  AuthenticationResult proof;
  proof.close_connection = queue_.record_check(source, std::max(cost, Duration(1)), good, loop_.now());
  if (!good) {
    ++figures_.signature_checks_failed;
    cache_.put_invalid(token, wall_clock_now());
    proof.denial = Denial::kInvalidSignature;
    return proof;
  }
  const policy::KeyMetadata& facts = files_.keys.metadata()[key];
  proof.credential = std::make_shared<const policy::VerifiedCredential>(
      policy::VerifiedCredential{policy::identity_from_claims(jwt.claims, settings_.token_rules, facts),
                                 jwt.claims, facts.id, facts.fingerprint});
  cache_.put(token, proof.credential);
  return proof;
}

std::optional<AuthenticationResult> Authenticator::check_token(std::string_view token, SourceId source,
                                                               Time until, CheckCallback done, CheckId& key) {
  key = 0;
  std::optional<Jwt> jwt;
  std::size_t place = 0;
  if (auto proof = check_without_signature(token, source, jwt, place)) return proof;
  const CheckId made = next_check_id_++;
  switch (queue_.admit(made, source, loop_.now())) {
    case policy::CheckQueue::Admission::kRunNow:
      return verify_signature(token, source, *jwt, place);
    case policy::CheckQueue::Admission::kRejected:
      return AuthenticationResult{Denial::kBusy, nullptr, queue_.retry_after(), false};
    case policy::CheckQueue::Admission::kWait:
      break;
  }
  key = made;
  PendingCheck& pending = pending_checks_[made];
  pending = {std::string(token), source, std::move(done), {}};
  // Its client has to hear of it before it gives up.
  pending.timer = loop_.run_at(until, [this, made] {
    queue_.cancel(made);
    complete_check(made, {Denial::kBusy, nullptr, queue_.retry_after(), false});
  });
  schedule_wake_up();
  return std::nullopt;
}

void Authenticator::complete_check(CheckId key, AuthenticationResult proof) {
  const auto found = pending_checks_.find(key);
  if (found == pending_checks_.end()) return;
  loop_.cancel(found->second.timer);
  const CheckCallback done = std::move(found->second.callback);
  pending_checks_.erase(found);  // `done` may check again
  done(std::move(proof));
}

void Authenticator::schedule_wake_up() {
  loop_.cancel(wake_up_timer_);
  const auto at = queue_.next_wake_time(loop_.now());
  if (at) wake_up_timer_ = loop_.run_at(*at, [this] { run_queued_checks(); });
}

void Authenticator::run_queued_checks() {
  wake_up_timer_ = {};
  for (const CheckId key : queue_.take_overdue(loop_.now()))
    complete_check(key, {Denial::kBusy, nullptr, queue_.retry_after(), false});
  for (int left = kMaxChecksPerIteration; left > 0; --left) {
    const auto key = queue_.take_next(loop_.now());
    if (!key) break;
    const auto found = pending_checks_.find(*key);
    if (found == pending_checks_.end()) continue;
    // Things may have changed while it waited: its key, its time, or the same token was checked for another.
    const std::string token = std::move(found->second.token);
    const SourceId source = found->second.source;
    std::optional<Jwt> jwt;
    std::size_t place = 0;
    auto proof = check_without_signature(token, source, jwt, place);
    complete_check(*key, proof ? std::move(*proof) : verify_signature(token, source, *jwt, place));
  }
  schedule_wake_up();
}

void Authenticator::cancel_check(CheckId key) {
  const auto found = pending_checks_.find(key);
  if (found == pending_checks_.end()) return;
  loop_.cancel(found->second.timer);
  pending_checks_.erase(found);
  queue_.cancel(key);
}

void Authenticator::remove_source(SourceId source) { queue_.remove_source(source); }

AuthenticationResult Authenticator::revalidate(const policy::VerifiedCredential& proven) const {
  if (proven.identity.credential_kind == policy::CredentialKind::kPassword)
    return authenticate_user(proven.identity.subject);
  std::size_t key = 0;
  AuthenticationResult proof;
  proof.denial = policy::revalidate_credential(proven, files_.keys.metadata(), settings_.token_rules,
                                               files_.revocations, wall_clock_now(), &key);
  if (proof.denial != Denial::kNone) return proof;
  auto fresh = std::make_shared<policy::VerifiedCredential>(proven);
  fresh->identity =
      policy::identity_from_claims(proven.claims, settings_.token_rules, files_.keys.metadata()[key]);
  proof.credential = std::move(fresh);
  return proof;
}

AuthenticationResult Authenticator::authenticate_mapped(const IdentityMapping* standing,
                                                        policy::Identity identity) const {
  AuthenticationResult proof;
  if (!standing) {
    proof.denial = Denial::kUnmappedIdentity;
    return proof;
  }
  identity.tenant = standing->tenant;
  identity.roles = standing->roles;
  proof.credential = std::make_shared<const policy::VerifiedCredential>(
      policy::VerifiedCredential{std::move(identity), {}, "", ""});
  return proof;
}

AuthenticationResult Authenticator::authenticate_user(const std::string& name) const {
  const auto found = settings_.users.find(name);
  policy::Identity identity;
  identity.credential_kind = policy::CredentialKind::kPassword;
  identity.subject = name;
  identity.credential_id = "password";
  return authenticate_mapped(found == settings_.users.end() ? nullptr : &found->second, std::move(identity));
}

AuthenticationResult Authenticator::authenticate_certificate(const policy::CertificateInfo& facts,
                                                             std::optional<Time> known_until) const {
  // Alternative names come first: they are what a certificate is issued for (RFC 6125).
  const IdentityMapping* found = nullptr;
  std::string name;
  for (const auto& one : facts.alternative_names) {
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
  policy::Identity identity;
  identity.credential_kind = policy::CredentialKind::kCertificate;
  identity.subject = name;
  identity.credential_id = facts.serial;
  identity.not_after = facts.not_after;
  identity.revocation_known_until = known_until;
  return authenticate_mapped(found, std::move(identity));
}

void Authenticator::audit_denial(Denial denial, const policy::Identity& identity, std::string_view class_name,
                                 const AuditContext& asked, std::string_view detail) {
  ++figures_.denied_by_code[std::string(policy::reason_code(denial))];
  // A flood must not push other lines out of the log: what is over its share of a second is counted.
  if (loop_.now() - audit_window_start_ >= std::chrono::seconds(1)) {
    audit_window_start_ = loop_.now();
    audit_lines_in_window_ = 0;
    if (const auto left_out = std::exchange(suppressed_audit_lines_, 0); left_out > 0) {
      log_.write(LogLevel::kWarning, "access", "denials not written one by one",
                 {{"count", std::to_string(left_out)}});
    }
  }
  if (++audit_lines_in_window_ > kMaxAuditLinesPerSecond) {
    ++suppressed_audit_lines_;
    return;
  }
  log_.write(LogLevel::kNotice, "access", policy::reason_message(denial),
             {{"denied", std::string(policy::reason_code(denial))},
              {"subject", identity.subject},
              {"tenant", identity.tenant},
              {"credential", identity.credential_id},
              {"front", std::string(asked.frontend)},
              {"class", std::string(class_name)},
              {"request", std::string(asked.request)},
              {"detail", std::string(detail)}});
}

Denial Authenticator::authorize(const policy::Identity& identity, std::string_view class_name,
                                bool class_may_write, const policy::StatementAnalysis& facts,
                                const AuditContext& asked) {
  std::string schema;
  const Denial denial = policy::authorize(settings_.policy, identity, {class_name, class_may_write, &facts},
                                          wall_clock_now(), &schema);
  if (denial != Denial::kNone)
    audit_denial(denial, identity, class_name, asked,
                 denial == Denial::kUnresolvedTables ? facts.unresolved_reason : schema);
  return denial;
}

Denial Authenticator::authorize_schema(const policy::Identity& identity, std::string_view schema,
                                       const AuditContext& asked) {
  const Denial denial = policy::authorize_schema(settings_.policy, identity, schema, wall_clock_now());
  if (denial != Denial::kNone) audit_denial(denial, identity, "", asked, schema);
  return denial;
}

Denial Authenticator::authorize_identity(const policy::Identity& identity, const AuditContext& asked) {
  const Denial denial = policy::authorize_identity(settings_.policy, identity, wall_clock_now());
  if (denial != Denial::kNone) audit_denial(denial, identity, "", asked);
  return denial;
}

}  // namespace rookproxy::auth
