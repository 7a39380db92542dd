// The group of tables that a statement works on.
#include "sql/table_group.h"

#include <catch2/catch.hpp>
#include <string>

#include "sql/statement_class.h"
#include "support/damaged_input.h"

namespace rookproxy {
namespace {

using sql::table_group;

TEST_CASE("sql: the group of tables") {
  CHECK(table_group("SELECT a FROM sales_17.orders") == 17);
  CHECK(table_group("select a from `sales_17`.`orders`") == 17);
  CHECK(table_group("INSERT INTO sales_17.orders SELECT * FROM staging.orders_9") == 17);
  CHECK(table_group("INSERT INTO staging.t SELECT * FROM big_3_12.orders") == 12);
  CHECK(table_group("SELECT 'x_1.y', \"z_2.w\" /* a_3.b */ -- c_4.d\n FROM e_5.f # g_6.h") == 5);
  CHECK(table_group("SELECT 'it''s \\' x_1.y' FROM e_5.f") == 5);
  CHECK(table_group("SELECT t_9.a FROM e_5.f AS t_9") == 5);  // an alias is no schema
  CHECK(table_group("SELECT a FROM (e_5.f)") == 5);
  CHECK(table_group("UPDATE `a``b_8`.t SET x = 1") == 8);
  CHECK(table_group("SELECT 1") == 0);
  CHECK(table_group("SELECT a FROM marks", "school_4") == 4);
  CHECK(table_group("SELECT a FROM other_6.marks", "school_4") == 6);
}

TEST_CASE("sql: damaged statements are read as something") {
  test::parse_damaged("SELECT `a_1`.b, 'x' /* y */ FROM c_2.d -- z", [](const std::string& damaged) {
    (void)table_group(damaged);
    (void)sql::is_read_only(damaged);
    (void)sql::find_session_state(damaged);
  });
}

}  // namespace
}  // namespace rookproxy
