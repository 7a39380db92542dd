#include "auth/auth_settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

#include "auth/strict_json.h"

namespace rookproxy::auth {
namespace {

constexpr std::size_t kMaxFileBytes = 4U << 20U;

struct UnreadableFileError : KeyError {
  UnreadableFileError() : KeyError("can't be read") {}
};

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw UnreadableFileError();
  if (text.view().size() > kMaxFileBytes) throw KeyError("larger than 4 MB");
  return std::move(text).str();
}

std::vector<std::string> sorted_strings(const nlohmann::json& object, const char* name) {
  if (!object.contains(name)) return {};
  if (!object[name].is_array()) throw KeyError(std::string(name) + ": not a list");
  std::vector<std::string> list;
  for (const auto& entry : object[name]) {
    if (!entry.is_string()) throw KeyError(std::string(name) + ": not a list of strings");
    list.push_back(entry.get<std::string>());
  }
  std::sort(list.begin(), list.end());
  return list;
}

KeySet load_key_set(const std::string& path) {
  const std::string label = "access.keys (" + path + "): ";
  try {
    return KeySet::parse(read_file(path));
  } catch (const UnreadableFileError& error) {
    throw KeyError(label + error.what() + "; `rookproxyctl keys new --set " + path +
                   " --kid KID` creates one");
  } catch (const KeyError& error) {
    throw KeyError(label + error.what());
  }
}

policy::RevocationList parse_revocations(std::string_view text) {
  const auto document = parse_strict_json(text);
  if (!document || !document->is_object()) throw KeyError("not a JSON object");
  for (const auto& [name, value] : document->items()) {
    if (name != "jti" && name != "sub") throw KeyError(name + ": unknown key, only jti and sub are allowed");
  }
  policy::RevocationList revocations;
  revocations.token_ids = sorted_strings(*document, "jti");
  revocations.subjects = sorted_strings(*document, "sub");
  return revocations;
}

policy::RevocationList load_revocations(const std::string& path) {
  try {
    return parse_revocations(read_file(path));
  } catch (const KeyError& error) {
    throw KeyError("access.revoked (" + path + "): " + error.what());
  }
}

}  // namespace

std::vector<std::string> AuthSettings::watched_files() const {
  std::vector<std::string> files;
  for (const auto& file : {keys_file, revocation_file}) {
    if (!file.empty()) files.push_back(file);
  }
  return files;
}

AuthFiles load_auth_files(const AuthSettings& settings) {
  AuthFiles files;
  if (!settings.keys_file.empty()) files.keys = load_key_set(settings.keys_file);
  if (!settings.revocation_file.empty()) files.revocations = load_revocations(settings.revocation_file);
  return files;
}

}  // namespace rookproxy::auth
