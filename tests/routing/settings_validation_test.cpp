// Settings that contradict themselves. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(SettingsValidation, ContradictionsAreNamed) {
  const auto message = [](Settings settings) {
    try {
      const Router router(std::move(settings));
    } catch (const InvalidSettings& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  auto settings = basic_settings();
  settings.instance_count = 0;
  EXPECT_NE(message(settings).find("routers"), std::string::npos);
  settings = basic_settings();
  settings.instance_index = 3;
  EXPECT_NE(message(settings).find("ordinal"), std::string::npos);
  settings = basic_settings();
  settings.classes.clear();
  EXPECT_NE(message(settings).find("classes"), std::string::npos);
  settings = settings_with_slow_start();
  settings.slow_start->initial_share = 1.5;
  EXPECT_NE(message(settings).find("cold.from"), std::string::npos);
  EXPECT_EQ(message(basic_settings()), "");
}

}  // namespace
}  // namespace rookproxy::routing
