// Tests of the simulator adapter: replies to valid batches and errors for malformed input.
#include "simulator/adapter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace rookproxy::simulator {
namespace {

const std::string kId = "5d3a91c4-4353-4155-aede-e6dbd0dea405";
const std::string kEnlist =
    "enlist\t7\tgrades.count=1\tgrades.0.name=look\tgrades.0.effect=pure\tgrades.0.target=300000"
    "\tgrades.0.deadline=2000000\tgrades.0.value=2.5\tmodels=small\tdomain.cpu_of_kind=8"
    "\tpermissions.max_attempts=3\tpermissions.retry_after=true\tpermissions.max_retry_after=1000000"
    "\tlocalities=a,b\tzone=b\tsome.unknown_thing=1.x";
const std::string kStart =
    "clock\t1000\ndirectory\t0\t1\nrow\t10.0.0.1:99\t-\tSERVING\ta\t0\t1.5\tsmall\n"
    "target_instance\trouter_0\n" +
    kEnlist + "\nmembers\t1\tremembered\t0\n";

struct Run {
  int code;
  std::string out;
  std::string err;
};

Run run(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  std::ostringstream err;
  const int code = serve(in, out, err);
  return {code, out.str(), err.str()};
}

std::string request(const std::string& id) {
  return "new_request\t" + id + "\t1\tlook\t-\t2001000\t384\t12000\t11\t-\n";
}

TEST(SimulatorAdapter, RequestIsSentToAnEngine) {
  const auto result = run("clock\t10\ncommit\n" + kStart + request(kId) + "commit\n");
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_EQ(result.out.rfind("finished\nas\trouter_0\n", 0), 0u) << result.out;
  EXPECT_NE(result.out.find("pass_on\t" + kId + "\t10.0.0.1:99\t-\n"), std::string::npos) << result.out;
  EXPECT_NE(result.out.find("wake_at\t2001000\t"), std::string::npos) << result.out;
}

TEST(SimulatorAdapter, RequestFailsAtItsDeadlineAfterAnAttemptWithoutResponse) {
  const auto result =
      run(kStart + request(kId) + "commit\nclock\t2001000\ntarget_instance\trouter_0\nclosed_attempt\t" +
          kId + "\t0\t10.0.0.1:99\tno_answer\t2000000\t0\t0\t-\ncommit\n");
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_NE(result.out.find("end_failed\t" + kId), std::string::npos) << result.out;
}

TEST(SimulatorAdapter, EachInstanceRepliesUnderItsOwnName) {
  auto second = kStart;
  second.replace(second.find("clock\t1000\n"), 11, "");
  second.replace(second.find("router_0"), 8, "router_1");
  const auto result = run(kStart + request(kId) + second + request(kId) + "commit\n");
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_NE(result.out.find("as\trouter_0\n"), std::string::npos);
  EXPECT_NE(result.out.find("as\trouter_1\n"), std::string::npos);
}

TEST(SimulatorAdapter, DestroyedInstanceDiscardsItsRequests) {
  const auto result =
      run(kStart + request(kId) + "commit\nclock\t2000\ntarget_instance\trouter_0\ndestroy\n" + kEnlist +
          "\nmembers\t1\tremembered\t0\ncommit\nclock\t3000\ntarget_instance\trouter_0\ndropped\t" + kId +
          "\ncommit\n");
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_EQ(result.out.find("push_back"), std::string::npos);
}

TEST(SimulatorAdapter, InvalidSettingsAreReportedAsBailOut) {
  const auto result = run("clock\t1\ntarget_instance\trouter_0\nenlist\t1\tgrades.count=0\ncommit\n");
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_NE(result.out.find("bail_out\tsetting classes"), std::string::npos) << result.out;
}

TEST(SimulatorAdapter, ErrorForMalformedInputNamesLineAndCause) {
  const struct {
    std::string text;
    std::string fault;
  } cases[] = {
      {"commit\n", "line 1: a batch starts with clock"},
      {"clock\tx\n", "line 1: clock is not a whole number"},
      {"clock\t99999999999999999999\n", "line 1: clock is out of range"},
      {"clock\t5\ncommit\nclock\t4\n", "line 3: the clock went backward"},
      {"clock\t5\nsurprise\n", "line 2: event before any target_instance"},
      {kStart + "surprise\n", "line 7: unknown message"},
      {kStart + "new_request\t" + kId + "\n", "line 7: new_request has 1 values"},
      {kStart + "members\t1\tall\t16\n", "line 7: roster_id is out of range"},
      {kStart + "dropped\n", "line 7: dropped has 0 values"},
      {"clock\t1\ntarget_instance\trouter_9\ndropped\tx\n", "line 3: dropped for an instance never enlisted"},
      {"clock\t1\n", "end of input inside a batch"},
      {kStart + "closed_attempt\t" + kId + "\t0\t1.1.1.1:1\tserved\t5\t1\t0\t-\n", "line 7: unknown engine"},
      {kStart + "closed_attempt\t" + kId + "\t0\t10.0.0.1:99\tgreat\t5\t1\t0\t-\n", "unknown disposition"},
      {"clock\t1\ndirectory\t0\t1\ncommit\n", "line 3: a row of the directory is missing"},
  };
  for (const auto& malformed : cases) {
    const auto result = run(malformed.text);
    EXPECT_NE(result.code, 0) << malformed.text;
    EXPECT_NE(result.err.find(malformed.fault), std::string::npos) << result.err;
    EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
  }
}

TEST(SimulatorAdapter, TruncatedInputIsRejected) {
  const std::string text = kStart + request(kId) + "commit\n";
  for (std::size_t length = 1; length + 1 < text.size(); ++length) {  // the final newline is optional
    const auto result = run(text.substr(0, length));
    EXPECT_NE(result.code, 0) << "truncated to " << length;
    EXPECT_FALSE(result.err.empty());
    if (::testing::Test::HasFailure()) break;
  }
}

}  // namespace
}  // namespace rookproxy::simulator
