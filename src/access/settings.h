// What an operator's file says of callers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "access/jwt.h"
#include "access/keys.h"
#include "decide/access.h"
#include "decide/check_queue.h"
#include "decide/token.h"
#include "decide/token_cache.h"

namespace rookproxy::access {

struct IdentityMapping {
  std::string tenant;
  std::vector<std::string> roles;
};

struct AuthSettings {
  decide::AccessPolicy policy;
  decide::TokenRules token_rules;
  ClaimNames claim_names;
  std::string token_field = "token";             // of a frame
  std::string keys_file, revocation_file;        // empty: no tokens are taken; nothing is revoked
  std::map<std::string, IdentityMapping> users;  // who logs in by password
  // By a certificate's alternative name ('URI:', 'DNS:' or 'email:' and the name) or its subject ('CN=a,O=b',
  // RFC 2253).
  std::map<std::string, IdentityMapping> certificates;
  decide::TokenCache::Limits token_cache_limits;
  decide::CheckQueue::Limits check_queue_limits;
  std::vector<std::string> watched_files() const {  // which are watched
    std::vector<std::string> list;
    for (const auto& file : {keys_file, revocation_file}) {
      if (!file.empty()) list.push_back(file);
    }
    return list;
  }
};

// Its files as read; throws KeyError with the file's name.
struct AuthFiles {
  KeySet keys;
  decide::RevocationList revocations;
};
AuthFiles load_auth_files(const AuthSettings& settings);

}  // namespace rookproxy::access
