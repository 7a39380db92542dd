// Tests the bounds of the token cache and the removal of its entries.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "policy/credentials.h"
#include "policy/token_cache.h"

namespace rookproxy {
namespace {

using namespace policy;
using namespace std::chrono_literals;
using test::kNow;

}  // namespace

TEST_CASE("token cache: size is bounded, and expired, revoked and changed-key tokens are removed") {
  TokenCache cache({3, 1u << 20, 16, 5s}, 42);
  const auto entry = [](Duration lifetime, const std::string& key = "k") {
    auto credential = std::make_shared<VerifiedCredential>();
    credential->claims = test::make_claims();
    credential->identity = test::make_identity("student");
    credential->identity.not_after = kNow + lifetime;
    credential->key_id = key;
    credential->key_fingerprint = "p-" + key;
    return credential;
  };
  cache.put("a", entry(10s));
  cache.put("b", entry(20s, "other"));
  cache.put("c", entry(30s));
  CHECK(cache.find("a", kNow));
  cache.put("d", entry(30s));  // 'b' is the least recently used one.
  CHECK(cache.size() == 3);
  CHECK_FALSE(cache.find("b", kNow));
  CHECK_FALSE(cache.find("aa", kNow));
  CHECK_FALSE(cache.find("", kNow));
  CHECK_FALSE(cache.find("a", kNow + 10s));
  CHECK(cache.size() == 2);
  cache.put("e", entry(30s, "other"));
  // The tokens of a key with a new fingerprint are removed.
  CHECK(cache.revalidate(
            {{"k", Algorithm::kEs256, {}, {}, "p-k"}, {"other", Algorithm::kEs256, {}, {}, "changed"}},
            test::make_rules(), {}, kNow) == 1);
  CHECK(cache.find("c", kNow));
  CHECK_FALSE(cache.find("e", kNow));
  CHECK(cache.revalidate({{"k", Algorithm::kEs256, {}, {}, "p-k"}}, test::make_rules(), {{"j-1"}, {}},
                         kNow) == 2);
  CHECK(cache.size() == 0);
  CHECK(cache.bytes() == 0);
  // The size limit holds for tokens of all sizes.
  TokenCache small({1000, 10'000, 16, 5s}, 1);
  for (int i = 0; i < 300; ++i) {
    small.put(std::string(static_cast<std::size_t>(i * 37 % 900), 'x') + std::to_string(i), entry(10s));
    REQUIRE(small.bytes() <= 10'000);
  }
  CHECK(small.size() > 0);
  small.put_invalid("bad", kNow);
  CHECK(small.is_known_invalid("bad", kNow + 4s));
  CHECK_FALSE(small.is_known_invalid("bad", kNow + 5s));
  CHECK_FALSE(small.is_known_invalid("good", kNow));
  small.put_invalid("bad", kNow);
  small.revalidate({}, test::make_rules(), {}, kNow);
  CHECK_FALSE(small.is_known_invalid("bad", kNow));
}

}  // namespace rookproxy
