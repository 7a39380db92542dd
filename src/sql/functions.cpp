#include "sql/functions.h"

#include <array>
#include <string_view>

namespace rookproxy::sql {
namespace {

// Built-in functions and types that depend only on their arguments and the session. A function that is not
// listed may be a stored one, or one that reads files or takes locks.
// clang-format off
constexpr auto kSideEffectFreeFunctions = std::to_array<std::string_view>({
    "ABS", "ASCII", "AVG", "BINARY", "BIT_COUNT", "CAST", "CEIL", "CEILING", "CHAR", "CHAR_LENGTH",
    "COALESCE", "CONCAT", "CONCAT_WS", "CONVERT", "COUNT", "CRC32", "CUME_DIST", "CURDATE",
    "CURRENT_DATE", "CURRENT_TIME", "CURRENT_TIMESTAMP", "CURTIME", "DATABASE", "DATE", "DATEDIFF",
    "DATETIME", "DATE_ADD", "DATE_FORMAT", "DATE_SUB", "DAY", "DAYNAME", "DAYOFMONTH", "DAYOFWEEK",
    "DAYOFYEAR", "DECIMAL", "DENSE_RANK", "EXTRACT", "FIRST_VALUE", "FLOOR", "FORMAT", "FROM_UNIXTIME",
    "GREATEST", "GROUP_CONCAT", "HEX", "HOUR", "IF", "IFNULL", "INSTR", "ISNULL", "JSON_ARRAY",
    "JSON_EXTRACT", "JSON_OBJECT", "JSON_UNQUOTE", "LAG", "LAST_DAY", "LAST_VALUE", "LEAD", "LEAST",
    "LEFT", "LENGTH", "LN", "LOCATE", "LOG", "LOWER", "LPAD", "LTRIM", "MAX", "MD5", "MID", "MIN",
    "MINUTE", "MOD", "MONTH", "MONTHNAME", "NOW", "NTILE", "NULLIF", "PERCENT_RANK", "POW", "POWER",
    "QUARTER", "RANK", "REPEAT", "REVERSE", "RIGHT", "ROUND", "ROW", "ROW_NUMBER", "RPAD", "RTRIM",
    "SECOND", "SHA1", "SHA2", "SIGN", "SQRT", "STD", "STDDEV", "STDDEV_POP", "STDDEV_SAMP", "STR_TO_DATE",
    "SUBSTR", "SUBSTRING", "SUBSTRING_INDEX", "SUM", "TIME", "TIMESTAMPDIFF", "TIMESTAMP", "TRIM",
    "TRUNCATE", "UCASE", "UNHEX", "UNIX_TIMESTAMP", "UPPER", "UTC_TIMESTAMP", "VARCHAR", "VARIANCE",
    "VAR_POP", "VAR_SAMP", "VERSION", "WEEK", "WEEKDAY", "YEAR"});

// Built-in functions that are recognized only directly before their parenthesis. With a space or a comment
// between them, a server looks for a stored function of this name.
constexpr auto kFunctionsWithoutSpace = std::to_array<std::string_view>(
    {"CAST", "COUNT", "CURDATE", "CURTIME", "DATE_ADD", "DATE_SUB", "EXTRACT", "GROUP_CONCAT",
     "MAX", "MID", "MIN", "NOW", "STD", "STDDEV", "STDDEV_POP", "STDDEV_SAMP",
     "SUBSTR", "SUBSTRING", "SUM", "TRIM", "VARIANCE", "VAR_POP", "VAR_SAMP"});

// Keywords that may be followed by a parenthesis without being a call.
constexpr auto kKeywordsBeforeParenthesis = std::to_array<std::string_view>({
    "ALL", "AND", "ANY", "AS", "BETWEEN", "BY", "CASE", "DISTINCT", "DIV", "ELSE", "EXCEPT", "EXISTS",
    "FROM", "HAVING", "IN", "INDEX", "INTERSECT", "INTERVAL", "IS", "JOIN", "KEY", "LATERAL", "LIKE",
    "NOT", "ON", "OR", "OVER", "PARTITION", "REGEXP", "SELECT", "SOME", "THEN", "UNION", "USING", "VALUE",
    "VALUES", "WHEN", "WHERE", "XOR"});
// clang-format on

}  // namespace

bool is_side_effect_free_call(const Token& name, const Token& parenthesis) {
  if (!is_any_word(name, kSideEffectFreeFunctions)) return false;
  const bool is_adjacent = name.text.data() + name.text.size() == parenthesis.text.data();
  return is_adjacent || !is_any_word(name, kFunctionsWithoutSpace);
}

bool is_keyword_before_parenthesis(const Token& token) {
  return is_any_word(token, kKeywordsBeforeParenthesis);
}

}  // namespace rookproxy::sql
