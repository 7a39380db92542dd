// The adapter: wire text through to replies, and what malformed text gets.
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
  std::string out, err;
};

Run run(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  const int code = serve(in, out, err);
  return {code, out.str(), err.str()};
}

std::string request(const std::string& id) {
  return "new_request\t" + id + "\t1\tlook\t-\t2001000\t384\t12000\t11\t-\n";
}

TEST(Wire, ARequestBecomesASend) {
  const auto r = run("clock\t10\ncommit\n" + kStart + request(kId) + "commit\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_EQ(r.out.rfind("finished\nas\trouter_0\n", 0), 0u) << r.out;
  EXPECT_NE(r.out.find("pass_on\t" + kId + "\t10.0.0.1:99\t-\n"), std::string::npos) << r.out;
  EXPECT_NE(r.out.find("wake_at\t2001000\t"), std::string::npos) << r.out;
}

TEST(Wire, AnUnansweredRequestEndsFailed) {
  const auto r =
      run(kStart + request(kId) + "commit\nclock\t2001000\ntarget_instance\trouter_0\nclosed_attempt\t" +
          kId + "\t0\t10.0.0.1:99\tno_answer\t2000000\t0\t0\t-\ncommit\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_NE(r.out.find("end_failed\t" + kId), std::string::npos) << r.out;
}

TEST(Wire, TwoInstancesAnswerAsThemselves) {
  auto second = kStart;
  second.replace(second.find("clock\t1000\n"), 11, "");
  second.replace(second.find("router_0"), 8, "router_1");
  const auto r = run(kStart + request(kId) + second + request(kId) + "commit\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_NE(r.out.find("as\trouter_0\n"), std::string::npos);
  EXPECT_NE(r.out.find("as\trouter_1\n"), std::string::npos);
}

TEST(Wire, AKilledInstanceForgets) {
  const auto r =
      run(kStart + request(kId) + "commit\nclock\t2000\ntarget_instance\trouter_0\ndestroy\n" + kEnlist +
          "\nmembers\t1\tremembered\t0\ncommit\nclock\t3000\ntarget_instance\trouter_0\ndropped\t" + kId +
          "\ncommit\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_EQ(r.out.find("push_back"), std::string::npos);
}

TEST(Wire, ContradictingSettingsBailOut) {
  const auto r = run("clock\t1\ntarget_instance\trouter_0\nenlist\t1\tgrades.count=0\ncommit\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_NE(r.out.find("bail_out\tsetting classes"), std::string::npos) << r.out;
}

TEST(Wire, SettingsAreRead) {
  const std::string text =
      kEnlist +
      "\tsafety.min_extra=5\tsafety.repeat_ratio=0.2\tsafety.counted_over=10000000"
      "\tsafety.turn_gap=70\tgrades.0.allowed_in=b,c\tdomain.tells_every=0\treport.source=off";
  std::vector<std::string_view> pairs;
  for (std::size_t from = text.find('\t', 8) + 1; from != 0;) {
    const auto to = text.find('\t', from);
    pairs.push_back(std::string_view(text).substr(from, to == text.npos ? to : to - from));
    from = to == text.npos ? 0 : to + 1;
  }
  const auto s = parse_settings(7, pairs);
  EXPECT_EQ(s.classes.at(0).priority_weight, 2.5);
  EXPECT_EQ(s.zone, 1u);
  EXPECT_EQ(s.ordered_key_cooldown.value_or(0), 70);
  EXPECT_EQ(s.retry_budget.value().min_retries, 5);
  EXPECT_EQ(s.classes[0].allowed_zones.value(), (std::vector<std::uint32_t>{1, UINT32_MAX}));
  EXPECT_FALSE(s.progress_interval.has_value());
  EXPECT_FALSE(s.reports_load);
  EXPECT_FALSE(s.slow_start.has_value());
}

TEST(Wire, MalformedTextNamesLineAndFault) {
  const struct {
    std::string text, fault;
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
  for (const auto& c : cases) {
    const auto r = run(c.text);
    EXPECT_NE(r.code, 0) << c.text;
    EXPECT_NE(r.err.find(c.fault), std::string::npos) << r.err;
    EXPECT_EQ(std::count(r.err.begin(), r.err.end(), '\n'), 1) << r.err;
  }
}

TEST(Wire, EveryTruncationIsRefusedOrHarmless) {
  const std::string text = kStart + request(kId) + "commit\n";
  for (std::size_t cut = 1; cut + 1 < text.size(); ++cut) {  // the last line's end may be missing
    const auto r = run(text.substr(0, cut));
    EXPECT_NE(r.code, 0) << "cut at " << cut;
    EXPECT_FALSE(r.err.empty());
    if (::testing::Test::HasFailure()) break;
  }
}

}  // namespace
}  // namespace rookproxy::simulator
