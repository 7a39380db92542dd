#include "auth/jwt.h"

#include <algorithm>
#include <cctype>

#include "auth/base64url.h"
#include "auth/strict_json.h"

namespace rookproxy::auth {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 256, kMaxListEntries = 32;

struct MalformedTokenError {};

// Absent: empty. There and of another type, or longer than a name may be: unusable.
std::string string_member(const json& from, const std::string& name) {
  const auto found = from.find(name);
  if (found == from.end()) return "";
  if (!found->is_string() || found->get_ref<const std::string&>().size() > kMaxNameBytes)
    throw MalformedTokenError();
  return found->get<std::string>();
}

std::optional<double> number_member(const json& from, const char* name) {
  const auto found = from.find(name);
  if (found == from.end()) return std::nullopt;
  if (!found->is_number()) throw MalformedTokenError();
  return found->get<double>();
}

// One text or a list of them.
std::vector<std::string> string_list_member(const json& from, const std::string& name) {
  const auto found = from.find(name);
  if (found == from.end()) return {};
  if (found->is_string()) return {string_member(from, name)};
  if (!found->is_array() || found->size() > kMaxListEntries) throw MalformedTokenError();
  std::vector<std::string> list;
  for (const json& one : *found) {
    if (!one.is_string() || one.get_ref<const std::string&>().size() > kMaxNameBytes)
      throw MalformedTokenError();
    list.push_back(one.get<std::string>());
  }
  return list;
}

bool is_accepted_type(std::string type) {
  std::transform(type.begin(), type.end(), type.begin(), [](unsigned char c) { return std::tolower(c); });
  return type.empty() || type == "jwt" || type == "at+jwt" || type == "application/at+jwt";
}

json decode_json_object(std::string_view encoded) {
  const auto decoded = decode_base64url(encoded);
  auto document = decoded ? parse_strict_json(*decoded) : std::nullopt;
  if (!document || !document->is_object()) throw MalformedTokenError();
  return std::move(*document);
}

}  // namespace

std::optional<Jwt> parse_jwt(std::string_view token, const ClaimNames& names) {
  if (token.empty() || token.size() > kMaxTokenBytes) return std::nullopt;
  const auto first = token.find('.');
  const auto second = first == token.npos ? token.npos : token.find('.', first + 1);
  if (second == token.npos || token.find('.', second + 1) != token.npos) return std::nullopt;
  auto signature = decode_base64url(token.substr(second + 1));
  if (!signature) return std::nullopt;
  try {
    Jwt jwt;
    const json header = decode_json_object(token.substr(0, first));
    jwt.header.algorithm = string_member(header, "alg");
    jwt.header.key_id = string_member(header, "kid");
    jwt.header.type = string_member(header, "typ");
    if (!is_accepted_type(jwt.header.type)) return std::nullopt;
    jwt.header.has_critical_extension = header.contains("crit") || header.contains("b64");
    for (const char* name : {"jwk", "jku", "x5u", "x5c"}) {
      jwt.header.has_embedded_key = jwt.header.has_embedded_key || header.contains(name);
    }
    const json claims = decode_json_object(token.substr(first + 1, second - first - 1));
    jwt.claims.issuer = string_member(claims, "iss");
    jwt.claims.subject = string_member(claims, "sub");
    jwt.claims.id = string_member(claims, "jti");
    jwt.claims.audience = string_list_member(claims, "aud");
    jwt.claims.tenant = string_member(claims, names.tenant);
    jwt.claims.roles = string_list_member(claims, names.roles);
    jwt.claims.expires = number_member(claims, "exp");
    jwt.claims.not_before = number_member(claims, "nbf");
    jwt.claims.issued_at = number_member(claims, "iat");
    jwt.signing_input = token.substr(0, second);
    jwt.signature = std::move(*signature);
    return jwt;
  } catch (const MalformedTokenError&) {
    return std::nullopt;
  }
}

}  // namespace rookproxy::auth
