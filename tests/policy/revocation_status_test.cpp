// Tests whether a certificate revocation list can be used.
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

TEST_CASE(
    "revocation status: a missing, future or expired list fails closed, one in its grace period does not") {
  const CrlTimes crl{kNow - 60s, kNow};
  const auto status_at = [&](Time now) { return revocation_status(crl, now, 30s, 5s); };
  CHECK(status_at(kNow - 1s) == RevocationStatus::kFresh);
  CHECK(status_at(kNow) == RevocationStatus::kInGracePeriod);
  CHECK(status_at(kNow + 29s) == RevocationStatus::kInGracePeriod);
  CHECK(status_at(kNow + 30s) == RevocationStatus::kExpired);
  CHECK(status_at(kNow - 66s) == RevocationStatus::kNotYetValid);
  CHECK(status_at(kNow - 65s) == RevocationStatus::kFresh);
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
