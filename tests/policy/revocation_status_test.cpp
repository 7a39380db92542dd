// Revocation lists: how far one can be relied on.
#include <catch2/catch.hpp>
#include <optional>

#include "policy/credentials.h"
#include "policy/revocation_status.h"

namespace rookproxy {
namespace {

using namespace policy;
using namespace std::chrono_literals;
using test::kNow;

}  // namespace

TEST_CASE("revocation: a list that is missing or too old fails closed, after its grace") {
  const CrlTimes crl{kNow - 60s, kNow};
  const auto judge = [&](Time now) { return revocation_status(crl, now, 30s, 5s); };
  CHECK(judge(kNow - 1s) == RevocationStatus::kFresh);
  CHECK(judge(kNow) == RevocationStatus::kInGracePeriod);
  CHECK(judge(kNow + 29s) == RevocationStatus::kInGracePeriod);
  CHECK(judge(kNow + 30s) == RevocationStatus::kExpired);
  CHECK(judge(kNow - 66s) == RevocationStatus::kNotYetValid);
  CHECK(judge(kNow - 65s) == RevocationStatus::kFresh);
  CHECK(revocation_status(std::nullopt, kNow, 30s, 5s) == RevocationStatus::kMissing);
  CHECK(revocation_status(CrlTimes{kNow - 60s, {}}, kNow + 1000h, 30s, 5s) == RevocationStatus::kFresh);
  CHECK(fails_closed(RevocationStatus::kExpired));
  CHECK(fails_closed(RevocationStatus::kMissing));
  CHECK(fails_closed(RevocationStatus::kNotYetValid));
  CHECK_FALSE(fails_closed(RevocationStatus::kInGracePeriod));
  CHECK(may_replace(crl, {kNow - 60s, {}}));
  CHECK_FALSE(may_replace(crl, {kNow - 61s, {}}));
  CHECK(may_replace(std::nullopt, {kNow, {}}));
}

}  // namespace rookproxy
