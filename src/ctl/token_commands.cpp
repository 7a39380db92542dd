#include "ctl/token_commands.h"

#include <cstdint>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "auth/authenticator.h"
#include "auth/base64url.h"
#include "auth/signing_key.h"
#include "auth/strict_json.h"
#include "config/config.h"
#include "ctl/command.h"
#include "ctl/files.h"
#include "ctl/times.h"

namespace rookproxy::ctl {
namespace {

using nlohmann::json;
using policy::Denial;

constexpr double kMicrosecondsPerSecond = 1e6;

struct TokenOptions {
  std::string key;
  std::string id;
  std::string issuer;
  std::string audience;
  std::string subject;
  std::string tenant;
  std::string lifetime = "1h";
  std::string token_id;
  std::string extra_claims = "{}";
  std::string token;
  std::string file;
  std::vector<std::string> roles;
};

ExitCode run_mint(const TokenOptions& options) {
  const auto key = auth::parse_private_pem(read_text_file(options.key));
  const std::int64_t now = unix_seconds_now();
  json claims{{"iss", options.issuer},
              {"aud", options.audience},
              {"sub", options.subject},
              {"tenant", options.tenant},
              {"roles", options.roles},
              {"iat", now},
              {"exp", now + parse_duration_seconds(options.lifetime)}};
  if (!options.token_id.empty()) claims["jti"] = options.token_id;
  const json extra_claims = json::parse(options.extra_claims, nullptr, false);
  if (!extra_claims.is_object()) throw CommandError("--claims: not a JSON object");
  claims.merge_patch(extra_claims);
  const std::string id = options.id.empty() ? std::filesystem::path(options.key).stem().string() : options.id;
  std::cout << auth::sign_token(key.get(), id, claims) << "\n";
  return ExitCode::kDone;
}

// A token is passed as an argument, or on standard input, so that it is not visible in process lists.
std::string token_text(const TokenOptions& options) {
  std::string text = options.token;
  if (text.empty() || text == "-") std::getline(std::cin, text);
  return text;
}

json decode_part(std::string_view part) {
  const auto bytes = auth::decode_base64url(part);
  const auto document = bytes ? auth::parse_strict_json(*bytes) : std::nullopt;
  if (!document) throw CommandError("not a token: its parts are not JSON in base64url");
  return *document;
}

ExitCode run_show(const TokenOptions& options) {
  const std::string text = token_text(options);
  const auto first_dot = text.find('.');
  const auto second_dot = text.find('.', first_dot == text.npos ? 0 : first_dot + 1);
  if (first_dot == text.npos || second_dot == text.npos) {
    throw CommandError("not a token: it must have three parts separated by dots");
  }
  const std::string_view view = text;
  std::cout << decode_part(view.substr(0, first_dot)).dump(2) << "\n";
  const json claims = decode_part(view.substr(first_dot + 1, second_dot - first_dot - 1));
  std::cout << claims.dump(2) << "\n";
  for (const char* name : {"iat", "nbf", "exp"}) {
    if (claims.contains(name) && claims[name].is_number()) {
      std::cout << name << ": " << format_utc_time(claims[name].get<double>()) << "\n";
    }
  }
  std::cerr << "rookproxyctl: the token was not verified; `token check` verifies it\n";
  return ExitCode::kDone;
}

// The result of a check. `identity` is set if nothing is denied.
struct TokenCheckResult {
  Denial denial = Denial::kNone;
  policy::Identity identity;
};

// Checks a token as a dispatcher with these settings would.
TokenCheckResult check_token(const std::string& text, const auth::AuthSettings& settings,
                             const auth::AuthFiles& files) {
  const auto jwt = auth::parse_jwt(text, settings.claim_names);
  if (!jwt) return {Denial::kMalformed, {}};
  const Time now = auth::wall_clock_now();
  const auto& keys = files.keys.metadata();
  const auto key = policy::select_key(jwt->header, keys, now, settings.token_rules.leeway);
  if (key.denial != Denial::kNone) return {key.denial, {}};
  const Denial claims_denial =
      policy::validate_claims(jwt->claims, settings.token_rules, files.revocations, now);
  if (claims_denial != Denial::kNone) return {claims_denial, {}};
  if (!files.keys.verify(key.key_index, jwt->signing_input, jwt->signature)) {
    return {Denial::kInvalidSignature, {}};
  }
  const auto identity = policy::identity_from_claims(jwt->claims, settings.token_rules, keys[key.key_index]);
  return {policy::authorize_identity(settings.policy, identity, now), identity};
}

void print_roles(const policy::Identity& identity, const policy::AccessPolicy& policy) {
  for (const auto& name : identity.roles) {
    const auto* role = policy.find_role(name);
    if (!role) continue;
    std::cout << "  " << name << ": ";
    for (const auto& class_name : role->classes) std::cout << class_name << " ";
    std::cout << (role->may_write ? "(writes)" : "(reads)") << "\n";
  }
}

ExitCode run_check(const TokenOptions& options) {
  const Config config = load_config(Environment(), options.file);
  if (!config.access) throw CommandError(options.file + ": has no [access]");
  const auto files = auth::load_auth_files(*config.access);
  const auto [denial, identity] = check_token(token_text(options), *config.access, files);
  if (denial != Denial::kNone) {
    std::cout << "denied: " << policy::reason_code(denial) << ": " << policy::reason_message(denial) << "\n";
    return ExitCode::kRefused;
  }
  const auto not_after = static_cast<double>(identity.not_after->time_since_epoch().count());
  std::cout << "good: " << identity.subject << " of " << identity.tenant << ", until "
            << format_utc_time(not_after / kMicrosecondsPerSecond) << "\n";
  print_roles(identity, config.access->policy);
  return ExitCode::kDone;
}

void add_mint_options(CLI::App* command, TokenOptions& options) {
  command->add_option("--key", options.key, "the private key")->required()->type_name("FILE");
  command->add_option("--kid", options.id, "the key's id (default: the name of the file)");
  command->add_option("--iss", options.issuer, "the issuer")->required();
  command->add_option("--aud", options.audience, "the audience")->required();
  command->add_option("--sub", options.subject, "the subject")->required();
  command->add_option("--tenant", options.tenant, "the tenant")->required();
  command->add_option("--role", options.roles, "a role; can be repeated")->required();
  command->add_option("--life", options.lifetime, "lifetime, like 10m (default 1h)");
  command->add_option("--jti", options.token_id, "the token's id, by which it can be revoked");
  command->add_option("--claims", options.extra_claims, "additional claims, a JSON object")
      ->type_name("JSON");
}

void add_token_argument(CLI::App* command, TokenOptions& options) {
  command->add_option("TOKEN", options.token, "the token; read from standard input if missing or -");
}

}  // namespace

void add_token_commands(CLI::App& app, std::optional<ExitCode>& code) {
  const auto options = std::make_shared<TokenOptions>();
  auto* token = app.add_subcommand("token", "tokens for callers");
  token->require_subcommand(1);

  auto* mint = token->add_subcommand("mint", "creates a signed token");
  add_mint_options(mint, *options);
  mint->callback(make_callback(code, run_mint, options));

  auto* show = token->add_subcommand("show", "prints the contents of a token without verifying it");
  add_token_argument(show, *options);
  show->callback(make_callback(code, run_show, options));

  auto* check = token->add_subcommand(
      "check", "verifies a token by a dispatcher's file; exit code 1 if it is rejected");
  check->add_option("--file", options->file, "the operator's file")->required()->type_name("FILE");
  add_token_argument(check, *options);
  check->callback(make_callback(code, run_check, options));
}

}  // namespace rookproxy::ctl
