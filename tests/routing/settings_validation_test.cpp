// Tests of the validation of settings.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(SettingsValidation, InvalidSettingIsNamedInTheMessage) {
  const auto message = [](Settings s) {
    try {
      Router router(std::move(s));
    } catch (const InvalidSettings& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  auto s = basic_settings();
  s.instance_count = 0;
  EXPECT_NE(message(s).find("routers"), std::string::npos);
  s = basic_settings();
  s.instance_index = 3;
  EXPECT_NE(message(s).find("ordinal"), std::string::npos);
  s = basic_settings();
  s.classes.clear();
  EXPECT_NE(message(s).find("classes"), std::string::npos);
  s = with_slow_start();
  s.slow_start->initial_share = 1.5;
  EXPECT_NE(message(s).find("cold.from"), std::string::npos);
  EXPECT_EQ(message(basic_settings()), "");
}

}  // namespace
}  // namespace rookproxy::routing
