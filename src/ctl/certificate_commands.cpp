#include "ctl/certificate_commands.h"

#include <filesystem>
#include <iostream>
#include <memory>
#include <regex>
#include <string>

#include "config/config.h"
#include "ctl/command.h"
#include "ctl/key_commands.h"
#include "ctl/self_signed_certificate.h"

namespace rookproxy::ctl {
namespace {

namespace fs = std::filesystem;

// The id of the key that `prepare` creates.
constexpr const char* kFirstKeyId = "k1";

struct CertificateOptions {
  std::string certificate;
  std::string key;
  std::string name = "localhost";
  std::string days = "30";
  std::string file;  // The dispatcher's file, for `prepare` only.
};

int parse_days(const std::string& text) {
  if (!std::regex_match(text, std::regex("[0-9]{1,4}"))) throw CommandError("--days '" + text + "'");
  return std::stoi(text);
}

ExitCode run_new(const CertificateOptions& options) {
  create_self_signed_certificate(options.certificate, options.key, options.name, parse_days(options.days));
  std::cout << options.certificate << ": self-signed for " << options.name << ", " << options.days
            << " days\n"
            << options.key << ": its private key, to be kept secret\n";
  return ExitCode::kDone;
}

// Creates the key set that the dispatcher's file names, if it does not exist. Returns whether it was created.
bool prepare_key_set(const Config& config) {
  if (!config.access || config.access->keys_file.empty()) return false;
  const std::string& set = config.access->keys_file;
  if (fs::exists(set)) return false;
  const std::string parent = fs::path(set).parent_path().string();
  const std::string folder = parent.empty() ? "." : parent;
  create_key_set(set, kFirstKeyId, folder);
  std::cout << set << ": a key set with key " << kFirstKeyId << "; " << folder << "/" << kFirstKeyId
            << ".pem signs tokens\n";
  return true;
}

// Creates the frontends' certificate and key that the dispatcher's file names, if neither exists. Returns
// whether they were created.
bool prepare_certificate(const Config& config, const CertificateOptions& options) {
  if (!config.tls) return false;
  const auto& server = config.tls->server;
  const bool has_certificate = fs::exists(server.certificate);
  const bool has_key = fs::exists(server.key);
  if (has_certificate != has_key) {
    throw CommandError(
        (has_key ? server.certificate : server.key) +
        ": missing, but the other file of the pair exists; delete that one to create a new pair");
  }
  if (has_certificate) return false;
  create_self_signed_certificate(server.certificate, server.key, options.name, parse_days(options.days));
  std::cout << server.certificate << ", " << server.key << ": self-signed for " << options.name << "\n";
  return true;
}

// Existing files are not changed.
ExitCode run_prepare(const CertificateOptions& options) {
  const Config config = load_config(Environment(), options.file);
  const bool created_key_set = prepare_key_set(config);
  const bool created_certificate = prepare_certificate(config, options);
  if (!created_key_set && !created_certificate) {
    std::cout << options.file << ": nothing to create\n";
  }
  return ExitCode::kDone;
}

void add_name_options(CLI::App* command, CertificateOptions& options) {
  command->add_option("--name", options.name, "the DNS name in the certificate (default localhost)");
  command->add_option("--days", options.days, "days of validity, 1 to 3650 (default 30)");
}

}  // namespace

void add_certificate_commands(CLI::App& app, std::optional<ExitCode>& code) {
  const auto options = std::make_shared<CertificateOptions>();
  auto* certificate = app.add_subcommand("certificate", "certificates for testing");
  certificate->require_subcommand(1);

  auto* new_certificate = certificate->add_subcommand(
      "new", "creates a self-signed certificate and its private key, for testing");
  new_certificate->add_option("--certificate", options->certificate, "output file for the certificate, PEM")
      ->required()
      ->type_name("FILE");
  new_certificate->add_option("--key", options->key, "output file for the private key, PEM")
      ->required()
      ->type_name("FILE");
  add_name_options(new_certificate, *options);
  new_certificate->callback(make_callback(code, run_new, options));

  auto* prepare = app.add_subcommand(
      "prepare", "creates the key set and certificate that a dispatcher's file names, if they do not exist");
  prepare->add_option("--file", options->file, "the dispatcher's file")->required()->type_name("FILE");
  add_name_options(prepare, *options);
  prepare->callback(make_callback(code, run_prepare, options));
}

}  // namespace rookproxy::ctl
