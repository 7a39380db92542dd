#include "auth/jwt.h"

#include <algorithm>
#include <cctype>
#include <utility>
#include <vector>

#include "auth/base64url.h"
#include "auth/strict_json.h"

namespace rookproxy::auth {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxListEntries = 32;

// Thrown to abort the parsing of a token; caught in parse_jwt().
struct MalformedTokenError {};

std::string checked_string(const json& value) {
  if (!value.is_string()) throw MalformedTokenError();
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > kMaxNameBytes) throw MalformedTokenError();
  return text;
}

// Returns an empty string for a missing member.
std::string string_member(const json& object, const std::string& name) {
  const auto member = object.find(name);
  return member == object.end() ? std::string() : checked_string(*member);
}

std::optional<double> number_member(const json& object, const char* name) {
  const auto member = object.find(name);
  if (member == object.end()) return std::nullopt;
  if (!member->is_number()) throw MalformedTokenError();
  return member->get<double>();
}

// Reads one string or a list of strings.
std::vector<std::string> string_list_member(const json& object, const std::string& name) {
  const auto member = object.find(name);
  if (member == object.end()) return {};
  if (member->is_string()) return {checked_string(*member)};
  if (!member->is_array() || member->size() > kMaxListEntries) throw MalformedTokenError();
  std::vector<std::string> list;
  for (const json& entry : *member) list.push_back(checked_string(entry));
  return list;
}

bool is_accepted_type(std::string type) {
  std::transform(type.begin(), type.end(), type.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return type.empty() || type == "jwt" || type == "at+jwt" || type == "application/at+jwt";
}

json decode_json_object(std::string_view encoded) {
  const auto decoded = decode_base64url(encoded);
  auto document = decoded ? parse_strict_json(*decoded) : std::nullopt;
  if (!document || !document->is_object()) throw MalformedTokenError();
  return std::move(*document);
}

policy::TokenHeader parse_header(std::string_view encoded) {
  const json object = decode_json_object(encoded);
  policy::TokenHeader header;
  header.algorithm = string_member(object, "alg");
  header.key_id = string_member(object, "kid");
  header.type = string_member(object, "typ");
  if (!is_accepted_type(header.type)) throw MalformedTokenError();
  header.has_critical_extension = object.contains("crit") || object.contains("b64");
  for (const char* name : {"jwk", "jku", "x5u", "x5c"}) {
    header.has_embedded_key = header.has_embedded_key || object.contains(name);
  }
  return header;
}

policy::TokenClaims parse_claims(std::string_view encoded, const ClaimNames& names) {
  const json object = decode_json_object(encoded);
  policy::TokenClaims claims;
  claims.issuer = string_member(object, "iss");
  claims.subject = string_member(object, "sub");
  claims.id = string_member(object, "jti");
  claims.audience = string_list_member(object, "aud");
  claims.tenant = string_member(object, names.tenant);
  claims.roles = string_list_member(object, names.roles);
  claims.expires = number_member(object, "exp");
  claims.not_before = number_member(object, "nbf");
  claims.issued_at = number_member(object, "iat");
  return claims;
}

}  // namespace

std::optional<Jwt> parse_jwt(std::string_view token, const ClaimNames& names) {
  if (token.empty() || token.size() > kMaxTokenBytes) return std::nullopt;
  const auto first_dot = token.find('.');
  if (first_dot == token.npos) return std::nullopt;
  const auto second_dot = token.find('.', first_dot + 1);
  if (second_dot == token.npos || token.find('.', second_dot + 1) != token.npos) return std::nullopt;
  auto signature = decode_base64url(token.substr(second_dot + 1));
  if (!signature) return std::nullopt;
  try {
    Jwt jwt;
    jwt.header = parse_header(token.substr(0, first_dot));
    jwt.claims = parse_claims(token.substr(first_dot + 1, second_dot - first_dot - 1), names);
    jwt.signing_input = token.substr(0, second_dot);
    jwt.signature = std::move(*signature);
    return jwt;
  } catch (const MalformedTokenError&) {
    return std::nullopt;
  }
}

}  // namespace rookproxy::auth
