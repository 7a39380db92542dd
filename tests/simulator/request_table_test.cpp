// Tests of how long an instance tracks its requests.
#include "simulator/request_table.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace rookproxy::simulator {
namespace {

TEST(RequestTable, RequestIsReleasedOnceCompletedWithNoAttemptInFlight) {
  RequestTable table;
  const routing::RequestId request = table.add("a");
  EXPECT_EQ(table.add("a"), request);
  table.start_attempt(request);
  table.complete(request);
  table.release_if_finished(request);
  EXPECT_EQ(table.find("a"), request);
  table.end_attempt(request);
  table.release_if_finished(request);
  EXPECT_FALSE(table.find("a").has_value());
  EXPECT_THROW(static_cast<void>(table.wire_id(request)), std::logic_error);
}

TEST(RequestTable, IdIsNotReusedAfterClear) {
  RequestTable table;
  const routing::RequestId first = table.add("a");
  table.clear();
  EXPECT_FALSE(table.find("a").has_value());
  EXPECT_NE(table.add("a"), first);
}

}  // namespace
}  // namespace rookproxy::simulator
