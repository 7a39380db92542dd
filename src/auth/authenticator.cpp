#include "auth/authenticator.h"
#include "net/event_loop.h"

#include <algorithm>
#include <utility>

namespace rookproxy::auth {
namespace {

using policy::Denial;

// More checks per loop iteration would delay the loop's other work.
constexpr int kMaxChecksPerIteration = 1;

// Whether only a faulty or hostile client sends such a token. Expired tokens, and keys that are not in the
// set yet, also occur in normal operation.
bool indicates_abuse(Denial denial) {
  return denial == Denial::kMalformed || denial == Denial::kAlgorithmNotAccepted ||
         denial == Denial::kCriticalExtension || denial == Denial::kInvalidSignature;
}

AuthenticationResult accept(std::shared_ptr<const policy::VerifiedCredential> credential) {
  AuthenticationResult result;
  result.credential = std::move(credential);
  return result;
}

}  // namespace

Time wall_clock_now() { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); }

Authenticator::Authenticator(EventLoop& loop, Logger& logger, AuthMetrics& metrics, AuthSettings settings,
                             std::uint64_t seed)
    : loop_(loop),
      logger_(logger),
      metrics_(metrics),
      audit_log_(loop, logger, metrics),
      settings_(std::move(settings)),
      files_(load_auth_files(settings_)),
      cache_(settings_.token_cache_limits, seed),
      queue_(settings_.check_queue_limits) {
  metrics_.enabled = true;
  metrics_.key_count = files_.keys.metadata().size();
}

Authenticator::~Authenticator() {
  loop_.cancel(wake_up_timer_);
  for (auto& [id, check] : pending_checks_) loop_.cancel(check.timer);
}

void Authenticator::replace_settings(AuthSettings settings) {
  AuthFiles files = load_auth_files(settings);  // Throws before anything is changed.
  settings_ = std::move(settings);
  files_ = std::move(files);
  ++revision_;
  const auto& keys = files_.keys.metadata();
  metrics_.key_count = keys.size();
  const std::size_t invalidated =
      cache_.revalidate(keys, settings_.token_rules, files_.revocations, wall_clock_now());
  logger_.write(LogLevel::kNotice, "access", "keys and rights taken",
                {{"keys", std::to_string(keys.size())},
                 {"tenants", std::to_string(settings_.policy.tenants.size())},
                 {"forgotten", std::to_string(invalidated)}});
}

// Tokens.

AuthenticationResult Authenticator::reject(Denial denial, SourceId source) {
  AuthenticationResult result;
  result.denial = denial;
  if (indicates_abuse(denial)) {
    result.close_connection = queue_.record_check(source, Duration(0), false, loop_.now());
  }
  return result;
}

AuthenticationResult Authenticator::busy_result() const {
  return {Denial::kBusy, nullptr, queue_.retry_after(), false};
}

std::variant<AuthenticationResult, Authenticator::SignatureCheck> Authenticator::check_without_signature(
    std::string_view token, SourceId source) {
  const Time now = wall_clock_now();
  if (auto credential = cache_.find(token, now)) {
    ++metrics_.signature_checks_cached;
    return accept(std::move(credential));
  }
  if (cache_.is_known_invalid(token, now)) return reject(Denial::kInvalidSignature, source);
  auto jwt = parse_jwt(token, settings_.claim_names);
  if (!jwt) return reject(Denial::kMalformed, source);
  const auto key = policy::select_key(jwt->header, files_.keys.metadata(), now, settings_.token_rules.leeway);
  if (key.denial != Denial::kNone) return reject(key.denial, source);
  const Denial denial = policy::validate_claims(jwt->claims, settings_.token_rules, files_.revocations, now);
  if (denial != Denial::kNone) return reject(denial, source);
  return SignatureCheck{std::move(*jwt), key.key_index};
}

AuthenticationResult Authenticator::verify_signature(std::string_view token, SourceId source,
                                                     const SignatureCheck& check) {
  const Jwt& jwt = check.jwt;
  const auto start = std::chrono::steady_clock::now();
  const bool is_valid = files_.keys.verify(check.key_index, jwt.signing_input, jwt.signature);
  const auto cost = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
  ++metrics_.signature_checks_run;
  metrics_.signature_check_time += cost;
  AuthenticationResult result;
  result.close_connection = queue_.record_check(source, std::max(cost, Duration(1)), is_valid, loop_.now());
  if (!is_valid) {
    ++metrics_.signature_checks_failed;
    cache_.put_invalid(token, wall_clock_now());
    result.denial = Denial::kInvalidSignature;
    return result;
  }
  const policy::KeyMetadata& key = files_.keys.metadata()[check.key_index];
  auto identity = policy::identity_from_claims(jwt.claims, settings_.token_rules, key);
  result.credential = std::make_shared<const policy::VerifiedCredential>(
      policy::VerifiedCredential{std::move(identity), jwt.claims, key.id, key.fingerprint});
  cache_.put(token, result.credential);
  return result;
}

AuthenticationResult Authenticator::run_check(std::string_view token, SourceId source) {
  auto outcome = check_without_signature(token, source);
  if (auto* result = std::get_if<AuthenticationResult>(&outcome)) return std::move(*result);
  return verify_signature(token, source, std::get<SignatureCheck>(outcome));
}

Authenticator::TokenCheck Authenticator::check_token(std::string_view token, SourceId source, Time deadline,
                                                     CheckCallback callback) {
  auto outcome = check_without_signature(token, source);
  if (auto* result = std::get_if<AuthenticationResult>(&outcome)) return std::move(*result);
  const CheckId id = next_check_id_++;
  switch (queue_.admit(id, source, loop_.now())) {
    case policy::CheckQueue::Admission::kRunNow:
      return verify_signature(token, source, std::get<SignatureCheck>(outcome));
    case policy::CheckQueue::Admission::kRejected:
      return busy_result();
    case policy::CheckQueue::Admission::kWait:
      break;
  }
  PendingCheck& check = pending_checks_[id];
  check = {std::string(token), source, std::move(callback), {}};
  // The client must get its response before its own timeout.
  check.timer = loop_.run_at(deadline, [this, id] {
    queue_.cancel(id);
    complete_check(id, busy_result());
  });
  schedule_wake_up();
  return id;
}

void Authenticator::complete_check(CheckId id, AuthenticationResult result) {
  const auto found = pending_checks_.find(id);
  if (found == pending_checks_.end()) return;
  loop_.cancel(found->second.timer);
  const CheckCallback callback = std::move(found->second.callback);
  pending_checks_.erase(found);  // The callback may start another check.
  callback(std::move(result));
}

void Authenticator::schedule_wake_up() {
  loop_.cancel(wake_up_timer_);
  const auto wake_time = queue_.next_wake_time(loop_.now());
  if (wake_time) wake_up_timer_ = loop_.run_at(*wake_time, [this] { run_queued_checks(); });
}

void Authenticator::run_queued_checks() {
  wake_up_timer_ = {};
  for (const CheckId id : queue_.take_overdue(loop_.now())) complete_check(id, busy_result());
  for (int remaining = kMaxChecksPerIteration; remaining > 0; --remaining) {
    const auto id = queue_.take_next(loop_.now());
    if (!id) break;
    const auto found = pending_checks_.find(*id);
    if (found == pending_checks_.end()) continue;
    // The whole check is repeated: while it waited, the keys may have changed, the token may have expired, or
    // another check of the same token may have completed.
    const std::string token = std::move(found->second.token);
    const SourceId source = found->second.source;
    complete_check(*id, run_check(token, source));
  }
  schedule_wake_up();
}

void Authenticator::cancel_check(CheckId id) {
  const auto found = pending_checks_.find(id);
  if (found == pending_checks_.end()) return;
  loop_.cancel(found->second.timer);
  pending_checks_.erase(found);
  queue_.cancel(id);
}

void Authenticator::remove_source(SourceId source) { queue_.remove_source(source); }

// Other credentials.

AuthenticationResult Authenticator::authenticate_mapped(const IdentityMapping* mapping,
                                                        policy::Identity identity) {
  if (!mapping) return {Denial::kUnmappedIdentity, nullptr, std::nullopt, false};
  identity.tenant = mapping->tenant;
  identity.roles = mapping->roles;
  return accept(std::make_shared<const policy::VerifiedCredential>(
      policy::VerifiedCredential{std::move(identity), {}, "", ""}));
}

AuthenticationResult Authenticator::authenticate_user(const std::string& name) const {
  const auto mapping = settings_.users.find(name);
  policy::Identity identity;
  identity.credential_kind = policy::CredentialKind::kPassword;
  identity.subject = name;
  identity.credential_id = "password";
  return authenticate_mapped(mapping == settings_.users.end() ? nullptr : &mapping->second,
                             std::move(identity));
}

AuthenticationResult Authenticator::authenticate_certificate(
    const policy::CertificateInfo& certificate, std::optional<Time> revocation_known_until) const {
  // Alternative names take precedence over the subject: they are what a certificate is issued for (RFC 6125).
  std::vector<std::string> names = certificate.alternative_names;
  names.push_back(certificate.subject);
  const auto is_mapped = [&](const std::string& name) { return settings_.certificates.contains(name); };
  const auto mapped_name = std::find_if(names.begin(), names.end(), is_mapped);
  policy::Identity identity;
  identity.credential_kind = policy::CredentialKind::kCertificate;
  identity.subject = mapped_name == names.end() ? certificate.subject : *mapped_name;
  identity.credential_id = certificate.serial;
  identity.not_after = certificate.not_after;
  identity.revocation_known_until = revocation_known_until;
  const auto mapping = settings_.certificates.find(identity.subject);
  return authenticate_mapped(mapping == settings_.certificates.end() ? nullptr : &mapping->second,
                             std::move(identity));
}

AuthenticationResult Authenticator::revalidate(const policy::VerifiedCredential& credential) const {
  if (credential.identity.credential_kind == policy::CredentialKind::kPassword) {
    return authenticate_user(credential.identity.subject);
  }
  const auto& keys = files_.keys.metadata();
  const auto key = policy::revalidate_credential(credential, keys, settings_.token_rules, files_.revocations,
                                                 wall_clock_now());
  if (key.denial != Denial::kNone) return {key.denial, nullptr, std::nullopt, false};
  auto renewed = std::make_shared<policy::VerifiedCredential>(credential);
  renewed->identity =
      policy::identity_from_claims(credential.claims, settings_.token_rules, keys[key.key_index]);
  return accept(std::move(renewed));
}

// Authorization.

void Authenticator::audit_denial(Denial denial, const policy::Identity& identity, std::string_view class_name,
                                 const AuditContext& context, std::string_view detail) {
  audit_log_.record({denial, identity, class_name, context, detail});
}

Denial Authenticator::authorize(const policy::Identity& identity, const policy::AccessRequest& request,
                                const AuditContext& context) {
  const auto [denial, denied_schema] =
      policy::authorize(settings_.policy, identity, request, wall_clock_now());
  if (denial != Denial::kNone) {
    const bool is_unresolved = denial == Denial::kUnresolvedTables;
    audit_denial(denial, identity, request.class_name, context,
                 is_unresolved ? request.statement->unresolved_reason : denied_schema);
  }
  return denial;
}

Denial Authenticator::authorize_schema(const policy::Identity& identity, std::string_view schema,
                                       const AuditContext& context) {
  const Denial denial = policy::authorize_schema(settings_.policy, identity, schema, wall_clock_now());
  if (denial != Denial::kNone) audit_denial(denial, identity, "", context, schema);
  return denial;
}

Denial Authenticator::authorize_identity(const policy::Identity& identity, const AuditContext& context) {
  const Denial denial = policy::authorize_identity(settings_.policy, identity, wall_clock_now());
  if (denial != Denial::kNone) audit_denial(denial, identity, "", context);
  return denial;
}

}  // namespace rookproxy::auth
