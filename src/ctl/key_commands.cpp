#include "ctl/key_commands.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <regex>
#include <utility>

#include "auth/key_set.h"
#include "auth/signing_key.h"
#include "auth/strict_json.h"
#include "ctl/command.h"
#include "ctl/files.h"
#include "ctl/times.h"

namespace rookproxy::ctl {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr mode_t kPublicFileMode = 0644;
constexpr mode_t kPrivateFileMode = 0600;

struct KeyOptions {
  std::string set;
  std::string folder = ".";
  std::string id;
  std::string algorithm = "ES256";
  std::string overlap = "1h";
  std::string lead = "0s";
  std::optional<std::string> lifetime;
};

json read_set(const std::string& path) {
  const std::string text = read_text_file(path);
  try {
    // Rejects a set that no dispatcher would accept.
    (void)auth::KeySet::parse(text);
  } catch (const auth::KeyError& error) {
    throw CommandError(path + ": " + error.what());
  }
  return *auth::parse_strict_json(text);
}

json read_set_or_empty(const std::string& path) {
  return fs::exists(path) ? read_set(path) : json{{"keys", json::array()}};
}

void write_set(const std::string& path, const json& set) {
  const std::string text = set.dump(2) + "\n";
  (void)auth::KeySet::parse(text);
  write_file_atomically(path, text, kPublicFileMode);
}

std::string private_key_path(const KeyOptions& options) { return options.folder + "/" + options.id + ".pem"; }

void check_key_id(const std::string& id) {
  if (!std::regex_match(id, std::regex("[A-Za-z0-9_.-]{1,128}")) || id.front() == '.') {
    throw CommandError("kid '" + id + "': only letters, digits, '-', '_' and '.'");
  }
}

void check_is_new(const json& set, const KeyOptions& options) {
  const json& keys = set["keys"];
  const bool exists =
      std::any_of(keys.begin(), keys.end(), [&](const json& key) { return key["kid"] == options.id; });
  if (exists) throw CommandError(options.set + ": has a key '" + options.id + "' already");
}

// Creates a key pair. Writes the private key to a file that only its owner can read, and returns the public
// key for the set. `not_before` is the start of its validity as Unix time in seconds, or 0 for no start.
json create_key(const KeyOptions& options, std::int64_t not_before) {
  check_key_id(options.id);
  const auto algorithm = policy::parse_algorithm(options.algorithm);
  if (!algorithm) throw CommandError("--alg '" + options.algorithm + "': one of ES256, RS256, EdDSA");
  const std::string path = private_key_path(options);
  if (fs::exists(path)) throw CommandError(path + ": there already; a key is not written over");
  const auto key = auth::generate_key(*algorithm);
  json jwk = auth::to_public_jwk(key.get(), options.id);
  if (not_before > 0) jwk["nbf"] = not_before;
  if (options.lifetime) {
    const std::int64_t start = not_before > 0 ? not_before : unix_seconds_now();
    jwk["exp"] = start + parse_duration_seconds(*options.lifetime);
  }
  write_file_atomically(path, auth::to_private_pem(key.get()), kPrivateFileMode);
  return jwk;
}

ExitCode run_new(const KeyOptions& options) {
  json set = read_set_or_empty(options.set);
  check_is_new(set, options);
  set["keys"].push_back(create_key(options, 0));
  write_set(options.set, set);
  std::cout << private_key_path(options) << ": the private key, only for the issuer of tokens\n"
            << options.set << ": " << set["keys"].size() << " keys\n";
  return ExitCode::kDone;
}

// Returns the keys that have not expired, with their expiry limited to `end`.
json keys_until(const json& keys, std::int64_t now, std::int64_t end) {
  json remaining = json::array();
  for (json key : keys) {
    if (key.contains("exp") && key["exp"].get<double>() <= static_cast<double>(now)) {
      std::cout << key["kid"].get<std::string>() << ": expired, removed\n";
      continue;
    }
    if (!key.contains("exp") || key["exp"].get<double>() > static_cast<double>(end)) key["exp"] = end;
    std::cout << key["kid"].get<std::string>() << ": good until " << format_utc_time(key["exp"].get<double>())
              << "\n";
    remaining.push_back(std::move(key));
  }
  return remaining;
}

// Adds the new key to the set at once. The previous keys get an expiry at the end of the overlap.
ExitCode run_rotate(const KeyOptions& options) {
  json set = read_set(options.set);
  check_is_new(set, options);
  const std::int64_t now = unix_seconds_now();
  const std::int64_t lead = parse_duration_seconds(options.lead);
  const std::int64_t start = now + lead;
  const std::int64_t end = start + parse_duration_seconds(options.overlap);
  json keys = keys_until(set["keys"], now, end);
  keys.push_back(create_key(options, lead > 0 ? start : 0));
  set["keys"] = std::move(keys);
  write_set(options.set, set);
  std::cout << options.id << ": use it for signing from " << format_utc_time(static_cast<double>(start))
            << " on (" << private_key_path(options) << ")\n";
  return ExitCode::kDone;
}

std::string key_state(const json& key, double now) {
  if (key.contains("exp") && key["exp"].get<double>() <= now) return "ended";
  if (key.contains("nbf") && key["nbf"].get<double>() > now) return "not yet";
  return "in force";
}

std::string time_or_dash(const json& key, const char* member) {
  return key.contains(member) ? format_utc_time(key[member].get<double>()) : "-";
}

ExitCode run_list(const KeyOptions& options) {
  constexpr int kIdWidth = 24;
  constexpr int kAlgorithmWidth = 8;
  constexpr int kStateWidth = 12;
  constexpr int kTimeWidth = 22;
  const json set = read_set(options.set);
  const auto now = static_cast<double>(unix_seconds_now());
  const auto print_row = [](const std::string& id, const std::string& algorithm, const std::string& state,
                            const std::string& from, const std::string& until) {
    std::cout << std::left << std::setw(kIdWidth) << id << std::setw(kAlgorithmWidth) << algorithm
              << std::setw(kStateWidth) << state << std::setw(kTimeWidth) << from << std::setw(kTimeWidth)
              << until << "\n";
  };
  print_row("KID", "ALG", "STATE", "FROM", "UNTIL");
  for (const json& key : set["keys"]) {
    const std::string algorithm = key.contains("alg") ? key["alg"].get<std::string>() : "-";
    print_row(key["kid"].get<std::string>(), algorithm, key_state(key, now), time_or_dash(key, "nbf"),
              time_or_dash(key, "exp"));
  }
  return ExitCode::kDone;
}

void add_set_option(CLI::App* command, KeyOptions& options) {
  command->add_option("--set", options.set, "the JSON Web Key Set")->required()->type_name("FILE");
}

void add_new_key_options(CLI::App* command, KeyOptions& options) {
  add_set_option(command, options);
  command->add_option("--kid", options.id, "the id of the new key")->required();
  command->add_option("--alg", options.algorithm, "ES256, RS256 or EdDSA (default ES256)");
  command->add_option("--private", options.folder, "the folder for KID.pem (default: the current folder)")
      ->type_name("FOLDER");
  command->add_option("--life", options.lifetime, "validity of the key, like 90d (default: unlimited)");
}

}  // namespace

void create_key_set(const std::string& set, const std::string& id, const std::string& folder) {
  if (fs::exists(set)) throw CommandError(set + ": there already; a set is not written over");
  KeyOptions options;
  options.set = set;
  options.id = id;
  options.folder = folder;
  write_set(set, json{{"keys", json::array({create_key(options, 0)})}});
}

void add_key_commands(CLI::App& app, std::optional<ExitCode>& code) {
  const auto options = std::make_shared<KeyOptions>();
  auto* keys = app.add_subcommand("keys", "signing keys, and the key set that dispatchers read");
  keys->require_subcommand(1);

  auto* new_key = keys->add_subcommand("new", "creates a key pair and adds the public key to the set");
  add_new_key_options(new_key, *options);
  new_key->callback(make_callback(code, run_new, options));

  auto* rotate = keys->add_subcommand("rotate", "adds a key; the previous keys expire after an overlap");
  add_new_key_options(rotate, *options);
  rotate->add_option("--overlap", options->overlap,
                     "how long the previous keys stay valid: at least the lifetime of tokens (default 1h)");
  rotate->add_option("--lead", options->lead, "time until the new key becomes valid (default 0s)");
  rotate->callback(make_callback(code, run_rotate, options));

  auto* list = keys->add_subcommand("list", "lists the keys of a set and their state");
  add_set_option(list, *options);
  list->callback(make_callback(code, run_list, options));
}

}  // namespace rookproxy::ctl
