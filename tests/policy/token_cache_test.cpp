// The cache of verified tokens: its bounds, and what leaves it.
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

TEST_CASE("token cache: it holds what is good, within its bounds, and forgets what is over") {
  TokenCache cache({3, 1u << 20, 16, 5s}, 42);
  const auto entry = [](Duration life, const std::string& key = "k") {
    auto one = std::make_shared<VerifiedCredential>();
    one->claims = test::make_claims();
    one->identity = test::make_identity("student");
    one->identity.not_after = kNow + life;
    one->key_id = key;
    one->key_fingerprint = "p-" + key;
    return one;
  };
  cache.put("a", entry(10s));
  cache.put("b", entry(20s, "other"));
  cache.put("c", entry(30s));
  CHECK(cache.find("a", kNow));
  cache.put("d", entry(30s));  // 'b' is the longest unused
  CHECK(cache.size() == 3);
  CHECK_FALSE(cache.find("b", kNow));
  CHECK_FALSE(cache.find("aa", kNow));
  CHECK_FALSE(cache.find("", kNow));
  CHECK_FALSE(cache.find("a", kNow + 10s));
  CHECK(cache.size() == 2);
  cache.put("e", entry(30s, "other"));
  // A key that is gone takes its tokens along, and one that came back changed under its id as well.
  CHECK(cache.revalidate(
            {{"k", Algorithm::kEs256, {}, {}, "p-k"}, {"other", Algorithm::kEs256, {}, {}, "changed"}},
            test::make_rules(), {}, kNow) == 1);
  CHECK(cache.find("c", kNow));
  CHECK_FALSE(cache.find("e", kNow));
  CHECK(cache.revalidate({{"k", Algorithm::kEs256, {}, {}, "p-k"}}, test::make_rules(), {{"j-1"}, {}},
                         kNow) == 2);
  CHECK(cache.size() == 0);
  CHECK(cache.bytes() == 0);
  // Never more bytes than allowed, whatever the tokens' sizes.
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
