// Tests of reading settings from pairs of a path and a text.
#include "settings/settings_reader.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string_view>
#include <vector>

#include "settings/text_values.h"

namespace rookproxy::settings {
namespace {

const std::vector<std::string_view> kPairs = {
    "grades.count=1",
    "grades.0.name=look",
    "grades.0.effect=pure",
    "grades.0.target=300000",
    "grades.0.deadline=2000000",
    "grades.0.value=2.5",
    "models=small",
    "domain.cpu_of_kind=8",
    "permissions.max_attempts=3",
    "permissions.retry_after=true",
    "permissions.max_retry_after=1000000",
    "localities=a,b",
    "zone=b",
    "some.unknown_thing=1.x",
};

TEST(SettingsReader, ReadsSettingsFromPairs) {
  std::vector<std::string_view> pairs = kPairs;
  pairs.insert(pairs.end(), {"safety.min_extra=5", "safety.repeat_ratio=0.2", "safety.counted_over=10000000",
                             "safety.turn_gap=70", "grades.0.allowed_in=b,c", "domain.tells_every=0",
                             "report.source=off"});
  const routing::Settings settings = parse_settings(7, pairs);
  EXPECT_EQ(settings.seed, 7u);
  EXPECT_EQ(settings.classes.at(0).priority_weight, 2.5);
  EXPECT_EQ(settings.zone, 1u);
  EXPECT_EQ(settings.ordered_key_cooldown.value_or(0), 70);
  EXPECT_EQ(settings.retry_budget.value().min_retries, 5);
  EXPECT_EQ(settings.classes[0].allowed_zones.value(), (std::vector<std::uint32_t>{1, UINT32_MAX}));
  EXPECT_FALSE(settings.progress_interval.has_value());
  EXPECT_FALSE(settings.reports_load);
  EXPECT_FALSE(settings.slow_start.has_value());
}

TEST(SettingsReader, ReportsMalformedSettingWithItsPath) {
  const struct {
    std::string_view pair;
    std::string_view message;
  } cases[] = {
      {"no_equals_sign", "setting without '=': 'no_equals_sign'"},
      {"grades.count=10001", "grades.count is out of range: '10001'"},
      {"grades.count=many", "grades is not a whole number: 'many'"},
      {"grades.0.value=nan", "grades.0.value is not a number: 'nan'"},
      {"grades.0.target=-1", "grades.0.target is out of range: '-1'"},
      {"grades.0.effect=magic", "unknown grades.0.effect: 'magic'"},
      {"permissions.cancel=yes", "permissions.cancel is not a bool: 'yes'"},
      {"permissions.max_attempts=-1", "permissions.max_attempts is not a whole number: '-1'"},
      {"membership_mode=telepathy", "unknown membership_mode: 'telepathy'"},
  };
  for (const auto& malformed : cases) {
    std::vector<std::string_view> pairs = kPairs;
    pairs.push_back(malformed.pair);
    try {
      static_cast<void>(parse_settings(7, pairs));
      ADD_FAILURE() << malformed.pair << " was accepted";
    } catch (const FormatError& error) {
      EXPECT_EQ(error.what(), malformed.message);
    }
  }
}

}  // namespace
}  // namespace rookproxy::settings
