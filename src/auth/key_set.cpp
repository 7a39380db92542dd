#include "auth/key_set.h"

#include <algorithm>
#include <string>
#include <utility>

#include "auth/strict_json.h"

namespace rookproxy::auth {
namespace {

constexpr std::size_t kMaxKeys = 256;

}  // namespace

KeySet KeySet::parse(std::string_view jwks) {
  const auto document = parse_strict_json(jwks);
  if (!document) throw KeyError("not JSON, or an object has a duplicate member");
  if (!document->is_object() || !document->contains("keys") || !(*document)["keys"].is_array()) {
    throw KeyError("keys: not a list");
  }
  const nlohmann::json& list = (*document)["keys"];
  if (list.empty()) throw KeyError("keys: empty, so no token could be verified");
  if (list.size() > kMaxKeys) throw KeyError("keys: more than " + std::to_string(kMaxKeys));
  KeySet set;
  for (std::size_t index = 0; index < list.size(); ++index) {
    try {
      set.add(list[index]);
    } catch (const KeyError& error) {
      throw KeyError("keys." + std::to_string(index) + "." + error.what());
    }
  }
  return set;
}

void KeySet::add(const nlohmann::json& jwk) {
  std::string id = parse_key_id(jwk);
  const bool is_known = std::any_of(metadata_.begin(), metadata_.end(),
                                    [&](const policy::KeyMetadata& other) { return other.id == id; });
  if (is_known) throw KeyError("kid: appears twice ('" + id + "')");
  PublicKey key = parse_public_key(jwk, std::move(id));
  metadata_.push_back(std::move(key.metadata));
  keys_.emplace_back(key.key.release(), PkeyDeleter());
}

bool KeySet::verify(std::size_t key_index, std::string_view text, std::string_view signature) const {
  return verify_signature(keys_[key_index].get(), metadata_[key_index].algorithm, text, signature);
}

}  // namespace rookproxy::auth
