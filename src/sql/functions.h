// Classifies the words that may precede a parenthesis, to recognize calls of functions without side effects.
#pragma once

#include "sql/lexer.h"

namespace rookproxy::sql {

// Returns whether the name and the parenthesis after it call a built-in function that depends only on its
// arguments and the session. Any other function may be a stored one, which can read and write any data.
[[nodiscard]] bool is_side_effect_free_call(const Token& name, const Token& parenthesis);
// Returns whether the word is a keyword that may be followed by a parenthesis without being a call.
[[nodiscard]] bool is_keyword_before_parenthesis(const Token& token);

}  // namespace rookproxy::sql
