#include "auth/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string_view>

#include "auth/strict_json.h"

namespace rookproxy::auth {
namespace {

constexpr std::size_t kMaxFileBytes = 4u << 20;

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw KeyError("can't be read");
  if (text.view().size() > kMaxFileBytes) throw KeyError("larger than 4 MB");
  return std::move(text).str();
}

std::vector<std::string> sorted_strings(const nlohmann::json& from, const char* name) {
  if (!from.contains(name)) return {};
  if (!from[name].is_array()) throw KeyError(std::string(name) + ": not a list");
  std::vector<std::string> list;
  for (const auto& one : from[name]) {
    if (!one.is_string()) throw KeyError(std::string(name) + ": not a list of texts");
    list.push_back(one.get<std::string>());
  }
  std::sort(list.begin(), list.end());
  return list;
}

}  // namespace

AuthFiles load_auth_files(const AuthSettings& settings) {
  AuthFiles files;
  try {
    if (!settings.keys_file.empty()) files.keys = KeySet::parse(read_file(settings.keys_file));
  } catch (const KeyError& fault) {
    const bool missing = std::string_view(fault.what()) == "can't be read";
    throw KeyError("access.keys (" + settings.keys_file + "): " + fault.what() +
                   (missing ? "; `rookproxyctl keys new --set " + settings.keys_file + " --kid KID` makes one"
                            : std::string()));
  }
  if (settings.revocation_file.empty()) return files;
  try {
    const auto document = parse_strict_json(read_file(settings.revocation_file));
    if (!document || !document->is_object()) throw KeyError("not a JSON object");
    for (const auto& [name, value] : document->items()) {
      if (name != "jti" && name != "sub") throw KeyError(name + ": unknown, there are jti and sub");
    }
    files.revocations.token_ids = sorted_strings(*document, "jti");
    files.revocations.subjects = sorted_strings(*document, "sub");
  } catch (const KeyError& fault) {
    throw KeyError("access.revoked (" + settings.revocation_file + "): " + fault.what());
  }
  return files;
}

}  // namespace rookproxy::auth
