// Keys, sets of them and tokens for scenarios and tests, made in the test.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "access/sign.h"

namespace rookproxy::test {

class Callers {
 public:
  explicit Callers(std::string folder) : folder_(std::move(folder)) {}
  // [access] with students, teachers and officers of the tenants addis (schemas sales_1 to sales_40) and
  // gondar (sales_41 to sales_60), whose files lie in the folder.
  nlohmann::json section() const;
  void make_key(const std::string& name, const std::string& algorithm);
  // The set of these keys, renamed into place. `spec`: a key's name, or name:NBF:EXP in seconds from now
  // ('-': none).
  void publish(const std::vector<std::string>& specs) const;
  // `changes`: a merge patch for the claims; a text like "+3" under exp, nbf or iat is seconds from now.
  std::string token(const std::string& key, const std::string& role,
                    const nlohmann::json& changes = nlohmann::json::object()) const;
  void revoke(const std::string& kind, const std::string& what);
  evp_pkey_st* key(const std::string& name) const { return keys_.at(name).get(); }

 private:
  void put(const std::string& file, const std::string& text) const;
  std::string folder_;
  std::map<std::string, access::Pkey> keys_;
  nlohmann::json revoked_ = nlohmann::json::object();
};

}  // namespace rookproxy::test
