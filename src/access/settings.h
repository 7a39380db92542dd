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

struct Standing {
  std::string tenant;
  std::vector<std::string> roles;
};

struct AccessSettings {
  decide::Policy policy;
  decide::TokenRules rules;
  ClaimNames claims;
  std::string token_field = "token";      // of a frame
  std::string keys_file, revoked_file;    // empty: no tokens are taken; nothing is revoked
  std::map<std::string, Standing> users;  // who logs in by password
  // By a certificate's alternative name ('URI:', 'DNS:' or 'email:' and the name) or its subject ('CN=a,O=b',
  // RFC 2253).
  std::map<std::string, Standing> certificates;
  decide::TokenCache::Limits cache;
  decide::CheckQueue::Limits checks;
  std::vector<std::string> files() const {  // which are watched
    std::vector<std::string> list;
    for (const auto& file : {keys_file, revoked_file}) {
      if (!file.empty()) list.push_back(file);
    }
    return list;
  }
};

// Its files as read; throws KeyError with the file's name.
struct AccessFiles {
  KeySet keys;
  decide::Revoked revoked;
};
AccessFiles read_files(const AccessSettings& settings);

}  // namespace rookproxy::access
