// Authenticates callers and authorizes their requests, independently of the wire protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "auth/audit_log.h"
#include "auth/auth_settings.h"
#include "dispatcher/metrics.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "policy/authorization.h"
#include "policy/check_queue.h"
#include "policy/token_cache.h"

namespace rookproxy::auth {

// The outcome of an authentication.
struct AuthenticationResult {
  policy::Denial denial = policy::Denial::kNone;
  // Set if nothing is denied.
  std::shared_ptr<const policy::VerifiedCredential> credential;
  // Set for kBusy.
  std::optional<Duration> retry_after;
  // Set if the source has sent only tokens with invalid signatures.
  bool close_connection = false;
};

// Signatures are checked on the loop's thread, within the CPU share that policy::CheckQueue enforces; the
// result of a check that has to wait is delivered by callback. Used only on that thread; loop, logger and
// metrics must outlive it.
class Authenticator {
 public:
  using SourceId = policy::CheckQueue::SourceId;
  using CheckId = policy::CheckQueue::CheckId;
  using CheckCallback = std::function<void(AuthenticationResult)>;
  // An immediate result, or the id of a check that waits.
  using TokenCheck = std::variant<AuthenticationResult, CheckId>;

  // Throws KeyError if one of the settings' files is invalid. `seed` must be unpredictable for callers.
  Authenticator(EventLoop& loop, Logger& logger, AuthMetrics& metrics, AuthSettings settings,
                std::uint64_t seed);
  ~Authenticator();
  Authenticator(const Authenticator&) = delete;
  Authenticator& operator=(const Authenticator&) = delete;

  // Replaces the settings, keys and revocations. Throws KeyError if a file is invalid; then the previous ones
  // all stay in force.
  void replace_settings(AuthSettings settings);
  [[nodiscard]] const AuthSettings& settings() const { return settings_; }
  // Grows with every change of the settings. Credentials verified under another revision must be revalidated.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  // Authenticates by token. If the check has to wait, `callback` is called once with the result, no later
  // than `deadline`, unless the check is cancelled before.
  [[nodiscard]] TokenCheck check_token(std::string_view token, SourceId source, Time deadline,
                                       CheckCallback callback);
  // Drops a waiting check and its callback. Has no effect if the check does not wait.
  void cancel_check(CheckId id);
  // Must be called when a connection has ended, after its checks were cancelled.
  void remove_source(SourceId source);
  // Authenticates a user whose password was verified.
  [[nodiscard]] AuthenticationResult authenticate_user(const std::string& name) const;
  // Authenticates by a verified certificate. `revocation_known_until` becomes part of the identity.
  [[nodiscard]] AuthenticationResult authenticate_certificate(
      const policy::CertificateInfo& certificate, std::optional<Time> revocation_known_until) const;
  // Validates a credential that was verified by token or password under another revision against the current
  // settings.
  [[nodiscard]] AuthenticationResult revalidate(const policy::VerifiedCredential& credential) const;
  [[nodiscard]] bool accepts_tokens() const { return !settings_.keys_file.empty(); }

  // Each of these functions records a denial in the audit log.
  [[nodiscard]] policy::Denial authorize(const policy::Identity& identity,
                                         const policy::AccessRequest& request, const AuditContext& context);
  [[nodiscard]] policy::Denial authorize_schema(const policy::Identity& identity, std::string_view schema,
                                                const AuditContext& context);
  [[nodiscard]] policy::Denial authorize_identity(const policy::Identity& identity,
                                                  const AuditContext& context);
  // Records the denial of a credential that did not authenticate.
  void audit_denial(policy::Denial denial, const policy::Identity& identity, std::string_view class_name,
                    const AuditContext& context, std::string_view detail = "");

 private:
  // A check that waits for its turn.
  struct PendingCheck {
    std::string token;
    SourceId source;
    CheckCallback callback;
    TimerId timer{};
  };

  // The remaining check of a token whose claims are valid.
  struct SignatureCheck {
    Jwt jwt;  // Refers to the text of the token.
    std::size_t key_index;
  };

  [[nodiscard]] std::variant<AuthenticationResult, SignatureCheck> check_without_signature(
      std::string_view token, SourceId source);
  [[nodiscard]] AuthenticationResult verify_signature(std::string_view token, SourceId source,
                                                      const SignatureCheck& check);
  [[nodiscard]] AuthenticationResult run_check(std::string_view token, SourceId source);
  [[nodiscard]] AuthenticationResult reject(policy::Denial denial, SourceId source);
  [[nodiscard]] AuthenticationResult busy_result() const;
  [[nodiscard]] static AuthenticationResult authenticate_mapped(const IdentityMapping* mapping,
                                                                policy::Identity identity);
  void run_queued_checks();
  void schedule_wake_up();
  void complete_check(CheckId id, AuthenticationResult result);

  EventLoop& loop_;
  Logger& logger_;
  AuthMetrics& metrics_;
  AuditLog audit_log_;
  AuthSettings settings_;
  AuthFiles files_;
  std::uint64_t revision_ = 1;
  policy::TokenCache cache_;
  policy::CheckQueue queue_;
  std::unordered_map<CheckId, PendingCheck> pending_checks_;
  CheckId next_check_id_ = 1;
  TimerId wake_up_timer_{};
};

// The system clock, against which credentials are validated.
[[nodiscard]] Time wall_clock_now();

}  // namespace rookproxy::auth
