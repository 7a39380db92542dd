#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "support/key_rotation_load.h"
#include "support/require.h"
#include "support/scenario_steps.h"

namespace rookproxy::test {
namespace {

using nlohmann::json;

std::chrono::seconds seconds_or(const std::string& word, std::chrono::seconds otherwise) {
  return word.empty() ? otherwise : std::chrono::seconds(std::stoi(word));
}

void enable_access(ScenarioState& state, StepReader&) {
  state.config["access"] = state.credentials.access_section();
}

void make_key(ScenarioState& state, StepReader& reader) {
  const std::string name = reader.next_word();
  state.credentials.make_key(name, reader.next_word());
}

void publish_keys(ScenarioState& state, StepReader& reader) {
  state.credentials.publish_keys(reader.remaining_words());
}

void mint_token(ScenarioState& state, StepReader& reader) {
  const std::string name = reader.next_word();
  const std::string key = reader.next_word();
  const std::string role = reader.next_word();
  const std::string changes = reader.remaining_text();
  state.tokens[name] =
      state.credentials.mint_token(key, role, changes.empty() ? json::object() : json::parse(changes));
}

// revoke jti|sub NAME | revoke certificate NAME
void revoke(ScenarioState& state, StepReader& reader) {
  const std::string kind = reader.next_word();
  const std::string name = reader.next_word();
  if (kind != "certificate") return state.credentials.revoke_token(kind, name);
  state.credentials.revoke_certificate(name);
  state.credentials.publish_revocation_list();
}

// spoil TEXT: overwrites the key set's file with the text.
void overwrite_keys(ScenarioState& state, StepReader& reader) {
  std::ofstream(state.directory.file("keys.json")) << reader.remaining_text();
}

// tls frames|mysql|both [none|optional|required] [crl]
void enable_tls(ScenarioState& state, StepReader& reader) {
  const std::string frontends = reader.next_word();
  const std::string client_certificates = reader.next_word();
  CredentialFixture::TlsOptions options;
  options.frames_enabled = frontends != "mysql";
  options.mysql_mode = frontends == "frames" ? "off" : "required";
  if (!client_certificates.empty()) options.client_certificates = client_certificates;
  options.has_revocation_list = reader.next_word() == "crl";
  state.config["tls"] = state.credentials.tls_section(options);
}

// certificate NAME [ALTERNATIVE|-] [FROM TO] [stranger] [server]
void issue_certificate(ScenarioState& state, StepReader& reader) {
  CredentialFixture::ClientCertificateRequest request;
  request.name = reader.next_word();
  const std::string alternative_name = reader.next_word();
  if (alternative_name != "-") request.alternative_name = alternative_name;
  request.validity.from = seconds_or(reader.next_word(), request.validity.from);
  request.validity.to = seconds_or(reader.next_word(), request.validity.to);
  const std::string flags = reader.remaining_text();
  request.is_from_untrusted_authority = flags.find("stranger") != std::string::npos;
  if (flags.find("server") != std::string::npos) request.usage = CertificateRequest::Usage::kServer;
  state.credentials.issue_certificate(request);
}

// crl TO [FROM]
void publish_revocation_list(ScenarioState& state, StepReader& reader) {
  ValidityPeriod validity = CredentialFixture::kRevocationListValidity;
  validity.to = std::chrono::seconds(reader.next_integer());
  validity.from = seconds_or(reader.next_word(), validity.from);
  state.credentials.publish_revocation_list(validity);
}

void renew_server_certificate(ScenarioState& state, StepReader&) {
  state.credentials.renew_server_certificate();
}

// rotate under load from N: replaces the key `old` by `new` while N clients send requests.
void rotate_keys_under_load(ScenarioState& state, StepReader& reader) {
  for (int i = 0; i < 3; ++i) reader.next_word();  // The words `under load from`.
  const int client_count = reader.next_integer();
  CredentialFixture& credentials = state.credentials;
  KeyRotationLoad load(state.frames_port, client_count,
                       {credentials.mint_token("old", "student"), credentials.mint_token("new", "student"),
                        credentials.mint_token("stranger", "student")});
  load.wait_for_progress();
  credentials.publish_keys({"old", "new"});
  wait_for_metric(state, "keys=2");
  load.wait_for_progress();
  load.use_new_key();
  load.wait_for_progress();
  credentials.publish_keys({"new"});
  wait_for_metric(state, "keys=1");
  load.wait_for_progress();
  load.stop();
  require(load.failed() == 0, std::to_string(load.failed()) + " connections ended early");
  require(load.served() >= 80 * client_count, "only " + std::to_string(load.served()) + " requests served");
  require(load.denied() == 0, std::to_string(load.denied()) + " requests with valid tokens denied");
  require(load.untrusted_denied() > 0, "no request with an untrusted token was denied");
  for (const auto& [name, engine] : state.auto_reply_engines) {
    const auto statement_count = engine->count_statements_containing(KeyRotationLoad::kUntrustedStatement);
    require(statement_count == 0, "a query with an untrusted token reached engine " + name);
  }
}

// driver FILE T USER: runs a client library's script with the port, the user and the token as arguments.
void run_driver(ScenarioState& state, StepReader& reader) {
  const std::string script = ROOKPROXY_ROOT "/tests/drivers/" + reader.next_word();
  const std::string token = state.tokens.at(reader.next_word());
  const std::string user = reader.next_word();
  const std::string port = std::to_string(state.mysql_port);
  const pid_t child = ::fork();
  if (child == 0) {
    ::execl("/usr/bin/python3", "python3", script.c_str(), port.c_str(), user.c_str(), token.c_str(),
            nullptr);
    ::_exit(99);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  require(WIFEXITED(status) && WEXITSTATUS(status) == 0, "the driver script failed");
}

constexpr ScenarioStep kCredentialSteps[] = {
    {"access", enable_access},
    {"key", make_key},
    {"publish", publish_keys},
    {"token", mint_token},
    {"revoke", revoke},
    {"spoil", overwrite_keys},
    {"tls", enable_tls},
    {"certificate", issue_certificate},
    {"crl", publish_revocation_list},
    {"renew", renew_server_certificate},
    {"rotate", rotate_keys_under_load},
    {"driver", run_driver},
};

}  // namespace

std::span<const ScenarioStep> credential_steps() { return kCredentialSteps; }

}  // namespace rookproxy::test
