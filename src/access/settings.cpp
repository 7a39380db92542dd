#include "access/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string_view>

#include "access/strict_json.h"

namespace rookproxy::access {
namespace {

constexpr std::size_t kMostFile = 4u << 20;

std::string whole_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw KeyError("can't be read");
  if (text.view().size() > kMostFile) throw KeyError("larger than 4 MB");
  return std::move(text).str();
}

std::vector<std::string> sorted_list(const nlohmann::json& from, const char* name) {
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

AccessFiles read_files(const AccessSettings& settings) {
  AccessFiles files;
  try {
    if (!settings.keys_file.empty()) files.keys = KeySet::read(whole_file(settings.keys_file));
  } catch (const KeyError& fault) {
    const bool missing = std::string_view(fault.what()) == "can't be read";
    throw KeyError("access.keys (" + settings.keys_file + "): " + fault.what() +
                   (missing ? "; `rookproxyctl keys new --set " + settings.keys_file + " --kid KID` makes one"
                            : std::string()));
  }
  if (settings.revoked_file.empty()) return files;
  try {
    const auto document = parse_strictly(whole_file(settings.revoked_file));
    if (!document || !document->is_object()) throw KeyError("not a JSON object");
    for (const auto& [name, value] : document->items()) {
      if (name != "jti" && name != "sub") throw KeyError(name + ": unknown, there are jti and sub");
    }
    files.revoked.tokens = sorted_list(*document, "jti");
    files.revoked.subjects = sorted_list(*document, "sub");
  } catch (const KeyError& fault) {
    throw KeyError("access.revoked (" + settings.revoked_file + "): " + fault.what());
  }
  return files;
}

}  // namespace rookproxy::access
