// Checks what callers show, and asks decide/access what they may do. Fronts call it; it knows no wire.
//
// Signatures are checked on the loop's thread, within the budget that decide/check_queue keeps: one that must
// wait is told of later.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "auth/settings.h"
#include "dispatcher/figures.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "sql/tables.h"

namespace rookproxy::auth {

struct AuthenticationResult {
  policy::Denial denial = policy::Denial::kNone;
  std::shared_ptr<const policy::VerifiedCredential> credential;  // where nothing is denied
  std::optional<Duration> retry_after;                           // of 'busy': when to come back
  bool close_connection = false;  // its source has sent nothing but bad tokens: end the connection
};

// Who asks, for the audit.
struct AuditContext {
  std::string_view frontend, request;
};

class Authenticator {
 public:
  using SourceId = policy::CheckQueue::SourceId;
  using CheckId = std::uint64_t;  // 0: none
  using CheckCallback = std::function<void(AuthenticationResult)>;

  // Throws KeyError if a file can't be taken.
  Authenticator(EventLoop& loop, Logger& log, AuthMetrics& figures, AuthSettings settings,
                std::uint64_t seed);
  ~Authenticator();
  // Other rights, keys and revocations from now on, whole; if it throws, the former stay.
  void replace_settings(AuthSettings settings);
  const AuthSettings& settings() const { return settings_; }
  // Counts up with every change: what was proven under another one is to be judged anew.
  std::uint64_t revision() const { return revision_; }

  // The token's proof at once; or nothing, then `done` gets it later, once, by `until` at the latest, and
  // `key` names the check.
  std::optional<AuthenticationResult> check_token(std::string_view token, SourceId source, Time until,
                                                  CheckCallback done, CheckId& key);
  void cancel_check(CheckId key);
  void remove_source(SourceId source);

  // May it? A denial is counted and written to the audit.
  policy::Denial authorize(const policy::Identity& identity, std::string_view class_name,
                           bool class_may_write, const policy::StatementAnalysis& facts,
                           const AuditContext& asked);
  policy::Denial authorize_schema(const policy::Identity& identity, std::string_view schema,
                                  const AuditContext& asked);
  policy::Denial authorize_identity(const policy::Identity& identity, const AuditContext& asked);
  // What was proven by a token or a password under another revision, judged by this one.
  AuthenticationResult revalidate(const policy::VerifiedCredential& proven) const;
  // Who logged in by password, and whom a verified certificate stands for. `known_until`: whether it was
  // revoked.
  AuthenticationResult authenticate_user(const std::string& name) const;
  AuthenticationResult authenticate_certificate(const policy::CertificateInfo& facts,
                                                std::optional<Time> known_until) const;
  bool accepts_tokens() const { return !settings_.keys_file.empty(); }
  // One that was denied before it became a caller.
  void audit_denial(policy::Denial denial, const policy::Identity& identity, std::string_view class_name,
                    const AuditContext& asked, std::string_view detail = "");

 private:
  struct PendingCheck {
    std::string token;
    SourceId source;
    CheckCallback callback;
    TimerId timer{};
  };
  std::optional<AuthenticationResult> check_without_signature(std::string_view token, SourceId source,
                                                              std::optional<Jwt>& jwt, std::size_t& key);
  AuthenticationResult verify_signature(std::string_view token, SourceId source, const Jwt& jwt,
                                        std::size_t key);
  AuthenticationResult reject(policy::Denial denial, SourceId source);
  AuthenticationResult authenticate_mapped(const IdentityMapping* standing, policy::Identity identity) const;
  void run_queued_checks();
  void schedule_wake_up();
  void complete_check(CheckId key, AuthenticationResult proof);

  EventLoop& loop_;
  Logger& log_;
  AuthMetrics& figures_;
  AuthSettings settings_;
  AuthFiles files_;
  std::uint64_t revision_ = 1;
  policy::TokenCache cache_;
  policy::CheckQueue queue_;
  Time audit_window_start_{};
  int audit_lines_in_window_ = 0;
  std::uint64_t suppressed_audit_lines_ = 0;
  std::unordered_map<CheckId, PendingCheck> pending_checks_;
  CheckId next_check_id_ = 1;
  TimerId wake_up_timer_{};
};

// The time that credentials are judged by: the system's clock, as those who issued them go by theirs.
Time wall_clock_now();

}  // namespace rookproxy::auth
