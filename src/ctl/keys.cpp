#include "ctl/keys.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <regex>
#include <sstream>

#include "auth/base64url.h"
#include "auth/authenticator.h"
#include "auth/auth_settings.h"
#include "auth/signing_key.h"
#include "auth/strict_json.h"
#include "config/config.h"

namespace rookproxy {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

enum Exit { kDone = 0, kRefused = 1, kUsage = 2 };

struct CommandError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::int64_t seconds_now() {
  return std::chrono::duration_cast<std::chrono::seconds>(auth::wall_clock_now().time_since_epoch()).count();
}

// '90s', '10m', '12h', '30d' or plain seconds.
std::int64_t parse_duration_seconds(const std::string& text) {
  std::smatch parts;
  if (!std::regex_match(text, parts, std::regex("([0-9]{1,9})([smhd]?)")))
    throw CommandError("'" + text + "' is no span like 90s, 10m, 12h or 30d");
  const std::string unit = parts[2];
  const std::int64_t each = unit == "m" ? 60 : unit == "h" ? 3600 : unit == "d" ? 86400 : 1;
  return std::stoll(parts[1]) * each;
}

std::string format_utc_time(double seconds) {
  const auto whole = static_cast<std::time_t>(seconds);
  std::tm parts{};
  ::gmtime_r(&whole, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return out.str();
}

std::string read_text_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw CommandError(path + ": can't be read");
  return std::move(text).str();
}

}  // namespace

// Written aside, synced and renamed into place: a dispatcher that looks in between sees the former file or
// the new one.
void write_file_atomically(const std::string& path, const std::string& text, mode_t mode) {
  std::string aside = path + ".XXXXXX";
  const FileDescriptor fd(::mkstemp(aside.data()));
  const auto fail = [&](const char* doing) {
    const std::string why = std::strerror(errno);
    ::unlink(aside.c_str());
    throw CommandError(path + ": " + doing + ": " + why);
  };
  if (!fd) throw CommandError(path + ": can't be written: " + std::strerror(errno));
  for (std::size_t at = 0; at < text.size();) {
    const ssize_t put = ::write(fd.get(), text.data() + at, text.size() - at);
    if (put < 0 && errno != EINTR) fail("can't be written");
    if (put > 0) at += static_cast<std::size_t>(put);
  }
  if (::fchmod(fd.get(), mode) != 0 || ::fsync(fd.get()) != 0) fail("can't be written");
  if (::rename(aside.c_str(), path.c_str()) != 0) fail("can't be put in place");
  const std::string parent = fs::path(path).parent_path().string();
  const FileDescriptor folder(
      ::open(parent.empty() ? "." : parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder) ::fsync(folder.get());
}

namespace {

json read_set(const std::string& path, bool may_be_missing) {
  if (may_be_missing && !fs::exists(path)) return {{"keys", json::array()}};
  const std::string text = read_text_file(path);
  try {
    (void)auth::KeySet::parse(text);  // nothing is built on a set that no dispatcher would take
  } catch (const auth::KeyError& fault) {
    throw CommandError(path + ": " + fault.what());
  }
  return *auth::parse_strict_json(text);
}

void write_set(const std::string& path, const json& set) {
  const std::string text = set.dump(2) + "\n";
  (void)auth::KeySet::parse(text);
  write_file_atomically(path, text, 0644);
}

std::string private_path(const std::string& folder, const std::string& id) {
  return folder + "/" + id + ".pem";
}

void check_id(const std::string& id) {
  if (!std::regex_match(id, std::regex("[A-Za-z0-9_.-]{1,128}")) || id.front() == '.')
    throw CommandError("kid '" + id + "': only letters, digits, '-', '_' and '.'");
}

struct KeyOptions {
  std::string set, folder = ".", id, algorithm = "ES256", overlap = "1h", lead = "0s";
  std::optional<std::string> life;
};

// A new pair: its private half in a file for the issuer alone, its public half for the set.
json make(const KeyOptions& options, std::int64_t from) {
  check_id(options.id);
  const auto algorithm = policy::parse_algorithm(options.algorithm);
  if (!algorithm) throw CommandError("--alg '" + options.algorithm + "': one of ES256, RS256, EdDSA");
  const std::string path = private_path(options.folder, options.id);
  if (fs::exists(path)) throw CommandError(path + ": there already; a key is not written over");
  const auto key = auth::generate_key(*algorithm);
  json jwk = auth::to_public_jwk(key.get(), options.id);
  if (from > 0) jwk["nbf"] = from;
  if (options.life) jwk["exp"] = (from > 0 ? from : seconds_now()) + parse_duration_seconds(*options.life);
  write_file_atomically(path, auth::to_private_pem(key.get()), 0600);
  return jwk;
}

bool holds(const json& set, const std::string& id) {
  return std::any_of(set["keys"].begin(), set["keys"].end(),
                     [&](const json& key) { return key["kid"] == id; });
}

int new_key(const KeyOptions& options) {
  json set = read_set(options.set, true);
  if (holds(set, options.id)) throw CommandError(options.set + ": has a key '" + options.id + "' already");
  set["keys"].push_back(make(options, 0));
  write_set(options.set, set);
  std::cout << private_path(options.folder, options.id) << ": the private key, for who signs tokens alone\n"
            << options.set << ": " << set["keys"].size() << " keys\n";
  return kDone;
}

// The new key is in the set at once; those before it leave it by themselves once the overlap is over. Keys
// that ended are taken out.
int rotate(const KeyOptions& options) {
  json set = read_set(options.set, false);
  if (holds(set, options.id)) throw CommandError(options.set + ": has a key '" + options.id + "' already");
  const std::int64_t now = seconds_now(), from = now + parse_duration_seconds(options.lead),
                     end = from + parse_duration_seconds(options.overlap);
  json kept = json::array();
  for (json key : set["keys"]) {
    if (key.contains("exp") && key["exp"].get<double>() <= static_cast<double>(now)) {
      std::cout << key["kid"].get<std::string>() << ": ended, taken out\n";
      continue;
    }
    if (!key.contains("exp") || key["exp"].get<double>() > static_cast<double>(end)) key["exp"] = end;
    std::cout << key["kid"].get<std::string>() << ": good until " << format_utc_time(key["exp"].get<double>())
              << "\n";
    kept.push_back(std::move(key));
  }
  kept.push_back(make(options, parse_duration_seconds(options.lead) > 0 ? from : 0));
  set["keys"] = std::move(kept);
  write_set(options.set, set);
  std::cout << options.id << ": sign with it from " << format_utc_time(static_cast<double>(from)) << " on ("
            << private_path(options.folder, options.id) << ")\n";
  return kDone;
}

int list(const KeyOptions& options) {
  const json set = read_set(options.set, false);
  const auto now = static_cast<double>(seconds_now());
  std::cout << std::left << std::setw(24) << "KID" << std::setw(8) << "ALG" << std::setw(12) << "STATE"
            << std::setw(22) << "FROM" << std::setw(22) << "UNTIL"
            << "\n";
  for (const json& key : set["keys"]) {
    const auto at = [&](const char* name) { return key.contains(name) ? key[name].get<double>() : 0; };
    const std::string state = key.contains("exp") && at("exp") <= now  ? "ended"
                              : key.contains("nbf") && at("nbf") > now ? "not yet"
                                                                       : "in force";
    std::cout << std::setw(24) << key["kid"].get<std::string>() << std::setw(8)
              << (key.contains("alg") ? key["alg"].get<std::string>() : "-") << std::setw(12) << state
              << std::setw(22) << (key.contains("nbf") ? format_utc_time(at("nbf")) : "-") << std::setw(22)
              << (key.contains("exp") ? format_utc_time(at("exp")) : "-") << "\n";
  }
  return kDone;
}

struct TokenOptions {
  std::string key, id, issuer, audience, subject, tenant, life = "1h", token_id, extra = "{}", token, file;
  std::vector<std::string> roles;
};

int mint(const TokenOptions& options) {
  const auto key = auth::parse_private_pem(read_text_file(options.key));
  const std::int64_t now = seconds_now();
  json claims{{"iss", options.issuer},
              {"aud", options.audience},
              {"sub", options.subject},
              {"tenant", options.tenant},
              {"roles", options.roles},
              {"iat", now},
              {"exp", now + parse_duration_seconds(options.life)}};
  if (!options.token_id.empty()) claims["jti"] = options.token_id;
  const json extra = json::parse(options.extra, nullptr, false);
  if (!extra.is_object()) throw CommandError("--claims: not a JSON object");
  claims.merge_patch(extra);
  const std::string id = options.id.empty() ? fs::path(options.key).stem().string() : options.id;
  std::cout << auth::sign_token(key.get(), id, claims) << "\n";
  return kDone;
}

// A token comes as an argument, or on standard input, where no list of processes shows it.
std::string token_text(const TokenOptions& options) {
  std::string text = options.token;
  if (text.empty() || text == "-") std::getline(std::cin, text);
  return text;
}

json decoded(std::string_view part) {
  const auto bytes = auth::decode_base64url(part);
  const auto document = bytes ? auth::parse_strict_json(*bytes) : std::nullopt;
  if (!document) throw CommandError("no token: its parts are not JSON in base64url");
  return *document;
}

int show(const TokenOptions& options) {
  const std::string text = token_text(options);
  const auto first = text.find('.'), second = text.find('.', first == text.npos ? 0 : first + 1);
  if (first == text.npos || second == text.npos)
    throw CommandError("no token: three parts with dots between them");
  std::cout << decoded(std::string_view(text).substr(0, first)).dump(2) << "\n";
  const json claims = decoded(std::string_view(text).substr(first + 1, second - first - 1));
  std::cout << claims.dump(2) << "\n";
  for (const char* name : {"iat", "nbf", "exp"}) {
    if (claims.contains(name) && claims[name].is_number())
      std::cout << name << ": " << format_utc_time(claims[name].get<double>()) << "\n";
  }
  std::cerr << "rookproxyctl: shown as it is; `token check` says whether it is good\n";
  return kDone;
}

// By the rules of a dispatcher's own file.
int check(const TokenOptions& options) {
  const Config config = load_config(Environment(), options.file);
  if (!config.access) throw CommandError(options.file + ": has no [access]");
  const auto files = auth::load_auth_files(*config.access);
  const std::string text = token_text(options);
  const auto jwt = auth::parse_jwt(text, config.access->claim_names);
  const Time now = auth::wall_clock_now();
  policy::Denial denial = policy::Denial::kMalformed;
  policy::Identity identity;
  if (jwt) {
    const auto choice =
        policy::select_key(jwt->header, files.keys.metadata(), now, config.access->token_rules.leeway);
    denial = choice.denial;
    if (denial == policy::Denial::kNone)
      denial = policy::validate_claims(jwt->claims, config.access->token_rules, files.revocations, now);
    if (denial == policy::Denial::kNone &&
        !files.keys.verify(choice.key_index, jwt->signing_input, jwt->signature))
      denial = policy::Denial::kInvalidSignature;
    if (denial == policy::Denial::kNone) {
      identity = policy::identity_from_claims(jwt->claims, config.access->token_rules,
                                              files.keys.metadata()[choice.key_index]);
      denial = policy::authorize_identity(config.access->policy, identity, now);
    }
  }
  if (denial != policy::Denial::kNone) {
    std::cout << "denied: " << policy::reason_code(denial) << ": " << policy::reason_message(denial) << "\n";
    return kRefused;
  }
  std::cout << "good: " << identity.subject << " of " << identity.tenant << ", until "
            << format_utc_time(static_cast<double>(identity.not_after->time_since_epoch().count()) / 1e6)
            << "\n";
  for (const auto& name : identity.roles) {
    const auto* role = config.access->policy.find_role(name);
    if (!role) continue;
    std::cout << "  " << name << ": ";
    for (const auto& cls : role->classes) std::cout << cls << " ";
    std::cout << (role->may_write ? "(writes)" : "(reads)") << "\n";
  }
  return kDone;
}

}  // namespace

void create_key_set(const std::string& set, const std::string& id, const std::string& folder) {
  if (fs::exists(set)) throw CommandError(set + ": there already; a set is not written over");
  KeyOptions options;
  options.set = set;
  options.id = id;
  options.folder = folder;
  write_set(set, json{{"keys", json::array({make(options, 0)})}});
}

void add_key_commands(CLI::App& app, std::optional<int>& code) {
  const auto keys_options = std::make_shared<KeyOptions>();
  const auto token_options = std::make_shared<TokenOptions>();
  const auto run = [&code](auto work, auto options) {
    return [&code, work, options] {
      try {
        code = work(*options);
      } catch (const std::exception& fault) {
        std::cerr << "rookproxyctl: " << fault.what() << "\n";
        code = kRefused;
      }
    };
  };
  auto* keys = app.add_subcommand("keys", "signing keys and the set that dispatchers read");
  keys->require_subcommand(1);
  const auto add_set = [&](CLI::App* command) {
    command->add_option("--set", keys_options->set, "the JSON Web Key Set")->required()->type_name("FILE");
  };
  const auto add_new = [&](CLI::App* command) {
    add_set(command);
    command->add_option("--kid", keys_options->id, "the new key's id")->required();
    command->add_option("--alg", keys_options->algorithm, "ES256, RS256 or EdDSA (default ES256)");
    command->add_option("--private", keys_options->folder, "the folder for KID.pem (default: here)")
        ->type_name("FOLDER");
    command->add_option("--life", keys_options->life, "ends after that span, as 90d (default: never)");
  };
  auto* made = keys->add_subcommand("new", "makes a pair and adds its public half to the set");
  add_new(made);
  made->callback(run(new_key, keys_options));
  auto* rotated = keys->add_subcommand("rotate", "adds a key; those before it end after an overlap");
  add_new(rotated);
  rotated->add_option("--overlap", keys_options->overlap,
                      "how long former keys stay good: the longest life of a token (default 1h)");
  rotated->add_option("--lead", keys_options->lead,
                      "the new key is in force only after that span (default 0s)");
  rotated->callback(run(rotate, keys_options));
  auto* listed = keys->add_subcommand("list", "the keys of a set, and which are in force");
  add_set(listed);
  listed->callback(run(list, keys_options));

  auto* token = app.add_subcommand("token", "tokens for callers");
  token->require_subcommand(1);
  auto* minted = token->add_subcommand("mint", "signs one");
  minted->add_option("--key", token_options->key, "the private key")->required()->type_name("FILE");
  minted->add_option("--kid", token_options->id, "its id (default: the file's name)");
  minted->add_option("--iss", token_options->issuer, "who issues it")->required();
  minted->add_option("--aud", token_options->audience, "whom it is meant for")->required();
  minted->add_option("--sub", token_options->subject, "whose it is")->required();
  minted->add_option("--tenant", token_options->tenant, "of which tenant")->required();
  minted->add_option("--role", token_options->roles, "may be given more than once")->required();
  minted->add_option("--life", token_options->life, "as 10m (default 1h)");
  minted->add_option("--jti", token_options->token_id, "an id, so that it can be revoked alone");
  minted->add_option("--claims", token_options->extra, "further claims, a JSON object")->type_name("JSON");
  minted->callback(run(mint, token_options));
  const auto add_text = [&](CLI::App* command) {
    command->add_option("TOKEN", token_options->token, "the token; - or nothing: from standard input");
  };
  auto* shown = token->add_subcommand("show", "what it says, unchecked");
  add_text(shown);
  shown->callback(run(show, token_options));
  auto* checked = token->add_subcommand("check", "is it good by a dispatcher's file? exits 1 if not");
  checked->add_option("--file", token_options->file, "the operator's file")->required()->type_name("FILE");
  add_text(checked);
  checked->callback(run(check, token_options));
}

}  // namespace rookproxy
