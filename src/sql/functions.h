// Which words before a parenthesis are calls that are known to have no side effects.
#pragma once

#include "sql/lexer.h"

namespace rookproxy::sql {

// Whether the word is a built-in function that depends on its arguments and the session alone. Any other
// function may be a stored one, which reads and writes whatever it likes.
[[nodiscard]] bool is_side_effect_free_function(const Token& token);
// Whether the word is a keyword that a parenthesis may follow without being a call.
[[nodiscard]] bool is_keyword_before_parenthesis(const Token& token);

}  // namespace rookproxy::sql
