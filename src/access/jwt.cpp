#include "access/jwt.h"

#include <algorithm>
#include <cctype>

#include "access/base64url.h"
#include "access/strict_json.h"

namespace rookproxy::access {
namespace {

using nlohmann::json;

constexpr std::size_t kMostName = 256, kMostList = 32;

struct Unusable {};

// Absent: empty. There and of another type, or longer than a name may be: unusable.
std::string text(const json& from, const std::string& name) {
  const auto found = from.find(name);
  if (found == from.end()) return "";
  if (!found->is_string() || found->get_ref<const std::string&>().size() > kMostName) throw Unusable();
  return found->get<std::string>();
}

std::optional<double> number(const json& from, const char* name) {
  const auto found = from.find(name);
  if (found == from.end()) return std::nullopt;
  if (!found->is_number()) throw Unusable();
  return found->get<double>();
}

// One text or a list of them.
std::vector<std::string> texts(const json& from, const std::string& name) {
  const auto found = from.find(name);
  if (found == from.end()) return {};
  if (found->is_string()) return {text(from, name)};
  if (!found->is_array() || found->size() > kMostList) throw Unusable();
  std::vector<std::string> list;
  for (const json& one : *found) {
    if (!one.is_string() || one.get_ref<const std::string&>().size() > kMostName) throw Unusable();
    list.push_back(one.get<std::string>());
  }
  return list;
}

bool is_type(std::string type) {
  std::transform(type.begin(), type.end(), type.begin(), [](unsigned char c) { return std::tolower(c); });
  return type.empty() || type == "jwt" || type == "at+jwt" || type == "application/at+jwt";
}

json part(std::string_view encoded) {
  const auto decoded = from_base64url(encoded);
  auto document = decoded ? parse_strictly(*decoded) : std::nullopt;
  if (!document || !document->is_object()) throw Unusable();
  return std::move(*document);
}

}  // namespace

std::optional<Jwt> read_jwt(std::string_view token, const ClaimNames& names) {
  if (token.empty() || token.size() > kMostToken) return std::nullopt;
  const auto first = token.find('.');
  const auto second = first == token.npos ? token.npos : token.find('.', first + 1);
  if (second == token.npos || token.find('.', second + 1) != token.npos) return std::nullopt;
  auto signature = from_base64url(token.substr(second + 1));
  if (!signature) return std::nullopt;
  try {
    Jwt jwt;
    const json header = part(token.substr(0, first));
    jwt.header.algorithm = text(header, "alg");
    jwt.header.key_id = text(header, "kid");
    jwt.header.type = text(header, "typ");
    if (!is_type(jwt.header.type)) return std::nullopt;
    jwt.header.has_critical = header.contains("crit") || header.contains("b64");
    for (const char* name : {"jwk", "jku", "x5u", "x5c"}) {
      jwt.header.has_embedded_key = jwt.header.has_embedded_key || header.contains(name);
    }
    const json claims = part(token.substr(first + 1, second - first - 1));
    jwt.claims.issuer = text(claims, "iss");
    jwt.claims.subject = text(claims, "sub");
    jwt.claims.id = text(claims, "jti");
    jwt.claims.audience = texts(claims, "aud");
    jwt.claims.tenant = text(claims, names.tenant);
    jwt.claims.roles = texts(claims, names.roles);
    jwt.claims.expires = number(claims, "exp");
    jwt.claims.not_before = number(claims, "nbf");
    jwt.claims.issued_at = number(claims, "iat");
    jwt.signed_text = token.substr(0, second);
    jwt.signature = std::move(*signature);
    return jwt;
  } catch (const Unusable&) {
    return std::nullopt;
  }
}

}  // namespace rookproxy::access
