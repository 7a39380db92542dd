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

#include "access/settings.h"
#include "core/figures.h"
#include "log/log.h"
#include "net/loop.h"
#include "sql/tables.h"

namespace rookproxy::access {

struct Proof {
  decide::Denial denial = decide::Denial::kNone;
  std::shared_ptr<const decide::Proven> proven;  // where nothing is denied
  std::optional<Duration> again;                 // of 'busy': when to come back
  bool close = false;  // its source has sent nothing but bad tokens: end the connection
};

// Who asks, for the audit.
struct Asked {
  std::string_view front, request;
};

class Gatekeeper {
 public:
  using SourceId = decide::CheckQueue::SourceId;
  using CheckKey = std::uint64_t;  // 0: none
  using Done = std::function<void(Proof)>;

  // Throws KeyError if a file can't be taken.
  Gatekeeper(Loop& loop, Log& log, AccessFigures& figures, AccessSettings settings, std::uint64_t seed);
  ~Gatekeeper();
  // Other rights, keys and revocations from now on, whole; if it throws, the former stay.
  void take(AccessSettings settings);
  const AccessSettings& settings() const { return settings_; }
  // Counts up with every change: what was proven under another one is to be judged anew.
  std::uint64_t revision() const { return revision_; }

  // The token's proof at once; or nothing, then `done` gets it later, once, by `until` at the latest, and
  // `key` names the check.
  std::optional<Proof> check(std::string_view token, SourceId source, Time until, Done done, CheckKey& key);
  void cancel(CheckKey key);
  void source_gone(SourceId source);

  // May it? A denial is counted and written to the audit.
  decide::Denial judge(const decide::Identity& identity, std::string_view class_name, bool class_may_write,
                       const decide::StatementFacts& facts, const Asked& asked);
  decide::Denial judge_schema(const decide::Identity& identity, std::string_view schema, const Asked& asked);
  decide::Denial judge_identity(const decide::Identity& identity, const Asked& asked);
  // What was proven by a token or a password under another revision, judged by this one.
  Proof renew(const decide::Proven& proven) const;
  // Who logged in by password, and whom a verified certificate stands for. `known_until`: whether it was
  // revoked.
  Proof user(const std::string& name) const;
  Proof certificate(const decide::CertificateFacts& facts, std::optional<Time> known_until) const;
  bool takes_tokens() const { return !settings_.keys_file.empty(); }
  // One that was denied before it became a caller.
  void audit(decide::Denial denial, const decide::Identity& identity, std::string_view class_name,
             const Asked& asked, std::string_view detail = "");

 private:
  struct Pending {
    std::string token;
    SourceId source;
    Done done;
    TimerKey timer{};
  };
  std::optional<Proof> known(std::string_view token, SourceId source, std::optional<Jwt>& jwt,
                             std::size_t& key);
  Proof run(std::string_view token, SourceId source, const Jwt& jwt, std::size_t key);
  Proof denied(decide::Denial denial, SourceId source);
  Proof standing(const Standing* standing, decide::Identity identity) const;
  void serve();
  void wake();
  void resolve(CheckKey key, Proof proof);

  Loop& loop_;
  Log& log_;
  AccessFigures& figures_;
  AccessSettings settings_;
  AccessFiles files_;
  std::uint64_t revision_ = 1;
  decide::TokenCache cache_;
  decide::CheckQueue queue_;
  Time audit_second_{};
  int audit_lines_ = 0;
  std::uint64_t audit_left_out_ = 0;
  std::unordered_map<CheckKey, Pending> pending_;
  CheckKey next_key_ = 1;
  TimerKey timer_{};
};

// The time that credentials are judged by: the system's clock, as those who issued them go by theirs.
Time credential_now();

}  // namespace rookproxy::access
