#include "sql/tables.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "sql/lexer.h"

namespace rookproxy::sql {
namespace {

using policy::StatementAnalysis;
using policy::StatementEffect;
using Kind = Token::Kind;

// Deeper than any client's statement; a bound on our own stack.
constexpr int kMaxDepth = 64;

struct UnresolvedStatementError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Parser {
 public:
  Parser(std::vector<Token> statement, std::string_view schema)
      : list_(std::move(statement)), schema_(schema) {
    while (!list_.empty() && mark_at(list_.size() - 1, ';')) list_.pop_back();
  }

  std::vector<std::string> schemas() {
    if (list_.empty()) throw UnresolvedStatementError("nothing to run");
    statement();
    if (at_ != list_.size()) unexpected();
    return std::move(schemas_);
  }

 private:
  // ---- the token at hand
  const Token& token(std::size_t ahead = 0) const {
    static const Token kEnd{Kind::kMark, std::string(1, '\0')};
    return at_ + ahead < list_.size() ? list_[at_ + ahead] : kEnd;
  }
  bool mark_at(std::size_t at, char c) const {
    return at < list_.size() && list_[at].kind == Kind::kMark && list_[at].text[0] == c;
  }
  bool mark(char c, std::size_t ahead = 0) const { return mark_at(at_ + ahead, c); }
  bool word(std::string_view upper, std::size_t ahead = 0) const { return is_word(token(ahead), upper); }
  template <class... Words>
  bool any_word(Words... words) const {
    return (word(words) || ...);
  }
  template <class... Words>
  bool any_word_ahead(Words... words) const {
    return (word(words, 1) || ...);
  }
  bool take_word(std::string_view upper) {
    if (!word(upper)) return false;
    ++at_;
    return true;
  }
  bool take_mark(char c) {
    if (!mark(c)) return false;
    ++at_;
    return true;
  }
  void need_word(std::string_view upper) {
    if (!take_word(upper)) unexpected();
  }
  void need_mark(char c) {
    if (!take_mark(c)) unexpected();
  }
  bool at_end() const { return at_ >= list_.size(); }
  [[noreturn]] void unexpected() const {
    if (at_end()) throw UnresolvedStatementError("it ends too soon");
    const Token& t = token();
    throw UnresolvedStatementError(t.kind == Kind::kString ? "a string out of place"
                                                           : "unexpected '" + t.text.substr(0, 40) + "'");
  }
  struct Deeper {
    explicit Deeper(Parser& parser) : parser_(parser) {
      if (++parser_.depth_ > kMaxDepth) throw UnresolvedStatementError("it is nested too deep");
    }
    ~Deeper() { --parser_.depth_; }
    Parser& parser_;
  };

  // ---- names

  void touch(std::string schema) {
    if (std::find(schemas_.begin(), schemas_.end(), schema) == schemas_.end())
      schemas_.push_back(std::move(schema));
  }
  bool is_name() const {
    if (token().kind == Kind::kQuotedName) return true;
    return token().kind == Kind::kWord && !is_reserved();
  }
  // Words that can't be a table's name or alias where one may stand: they go on with the clause.
  bool is_reserved() const {
    return any_word("WHERE", "GROUP", "HAVING", "ORDER", "LIMIT", "UNION", "EXCEPT", "INTERSECT", "FOR",
                    "LOCK", "WINDOW", "PROCEDURE", "INTO", "SET", "ON", "USING", "JOIN", "INNER", "CROSS",
                    "LEFT", "RIGHT", "NATURAL", "STRAIGHT_JOIN", "PARTITION", "USE", "FORCE", "IGNORE",
                    "SELECT", "FROM", "VALUES", "VALUE", "AS", "LATERAL", "WITH", "TABLE", "OUTER", "FULL",
                    "TABLESAMPLE", "FETCH", "OFFSET", "RETURNING", "WHEN", "AND", "OR", "NOT", "UPDATE",
                    "DELETE", "INSERT", "REPLACE", "DUAL") ||
           any_word("CASE", "EXISTS", "IN", "LIKE", "BY", "SYSTEM", "PIVOT", "UNPIVOT", "APPLY",
                    "MATCH_RECOGNIZE", "ONLY", "QUALIFY", "ASOF", "ANTI", "SEMI", "POSITIONAL", "LOAD",
                    "CALL", "DO");
  }

  // A table in a place where one must stand.
  void table(bool may_be_local) {
    if (!is_name()) unexpected();
    const Token first = token();
    ++at_;
    if (!take_mark('.')) {
      if (may_be_local && is_local(first.text)) return;
      // A number at a name's start, as in '17.t', would have been read as another kind of token.
      return touch(schema_);
    }
    if (token().kind != Kind::kWord && token().kind != Kind::kQuotedName && token().kind != Kind::kNumber)
      unexpected();
    ++at_;
    if (mark('.')) throw UnresolvedStatementError("a name of three parts");
    touch(first.text);
  }

  bool is_local(const std::string& name) const {
    return std::find(locals_.begin(), locals_.end(), name) != locals_.end();
  }

  // ---- expressions: everything up to a word or mark that ends the clause; subqueries are looked into

  // `may_from`: within a function's own parentheses FROM is one of its words, as in TRIM(a FROM b).
  void expression(bool may_from = false) {
    const Deeper deeper(*this);
    while (!at_end()) {
      if (mark(')') || mark(';') || mark('\0')) return;
      if (mark('(')) {
        parenthesis();
        continue;
      }
      if (any_word("UNION", "EXCEPT", "INTERSECT") && in_parentheses_) {
        set_operator();
        if (begins_query()) query();
        continue;
      }
      if (token().kind == Kind::kWord && ends_expression(may_from)) return;
      if (token().kind == Kind::kWord && any_word("INTO", "TABLE", "DELETE", "INSERT", "REPLACE", "CALL",
                                                  "LOAD", "DO", "HANDLER", "PROCEDURE", "TABLESAMPLE")) {
        // REPLACE( and INSERT( are functions, too.
        if (!(any_word("REPLACE", "INSERT") && mark('(', 1))) unexpected();
      }
      name_or_other();
    }
  }

  bool ends_expression(bool may_from) const {
    if (word("FROM")) return !may_from;
    return any_word("SELECT", "UNION", "EXCEPT", "INTERSECT", "JOIN", "INNER", "CROSS", "NATURAL",
                    "STRAIGHT_JOIN", "WITH", "RETURNING", "UPDATE") ||
           // These are functions, too.
           (any_word("LEFT", "RIGHT") && !mark('(', 1)) ||
           (stop_at_where_ && any_word("WHERE", "GROUP", "HAVING", "ORDER", "LIMIT", "SET", "WINDOW"));
  }

  // One token, or a name with what hangs on it.
  void name_or_other() {
    const Token first = token();
    if (first.kind == Kind::kString) {
      // In some modes a name in double quotes.
      if (mark('.', 1) || mark('(', 1)) unexpected();
      ++at_;
      return;
    }
    const bool name = first.kind == Kind::kWord || first.kind == Kind::kQuotedName;
    ++at_;
    if (!name) return;
    if (mark('(')) {
      if (first.kind == Kind::kWord && is_keyword_before_parenthesis(first)) return;
      if (first.kind == Kind::kQuotedName || !is_side_effect_free_function(first)) {
        throw UnresolvedStatementError("it calls '" + first.text.substr(0, 40) +
                                       "', which may read anything");
      }
      const bool words_of_its_own = is_word(first, "TRIM") || is_word(first, "EXTRACT") ||
                                    is_word(first, "SUBSTRING") || is_word(first, "SUBSTR");
      return parenthesis(words_of_its_own);
    }
    // 'a.b' is a column of a table that FROM names; 'a.b.c' names its schema, and 'a.b(' is a function there.
    if (!mark('.')) return;
    ++at_;
    if (mark('*')) {
      ++at_;
      return;
    }
    if (token().kind == Kind::kMark || token().kind == Kind::kString) unexpected();
    ++at_;
    if (mark('('))
      throw UnresolvedStatementError("it calls a function of '" + first.text.substr(0, 40) + "'");
    if (!mark('.')) return;
    ++at_;
    if (!mark('*') && (token().kind == Kind::kMark || token().kind == Kind::kString)) unexpected();
    ++at_;
    touch(first.text);
  }

  void parenthesis(bool may_from = false) {
    const Deeper deeper(*this);
    need_mark('(');
    const bool outer = std::exchange(stop_at_where_, false), inside = std::exchange(in_parentheses_, true);
    if (begins_query()) {
      query();
    } else {
      expression(may_from);
    }
    stop_at_where_ = outer;
    in_parentheses_ = inside;
    need_mark(')');
  }

  void set_operator() {
    ++at_;
    if (!take_word("ALL")) take_word("DISTINCT");
  }

  // ---- queries

  bool begins_query() const {
    return any_word("SELECT", "WITH", "TABLE") || (word("VALUES") && word("ROW", 1));
  }

  void query() {
    const Deeper deeper(*this);
    const std::size_t locals = locals_.size();
    if (word("WITH")) with();
    query_body();
    locals_.resize(locals);
  }

  void with() {
    need_word("WITH");
    const bool recursive = take_word("RECURSIVE");
    do {
      if (!is_name()) unexpected();
      const std::string name = token().text;
      ++at_;
      if (mark('(')) parenthesis();
      need_word("AS");
      if (recursive) locals_.push_back(name);
      need_mark('(');
      if (!begins_query()) unexpected();
      query();
      need_mark(')');
      if (!recursive) locals_.push_back(name);
    } while (take_mark(','));
  }

  void query_body() {
    const Deeper deeper(*this);
    const bool outer = std::exchange(stop_at_where_, false);
    for (;;) {
      if (take_mark('(')) {
        query();
        need_mark(')');
      } else if (take_word("TABLE")) {
        table(true);
      } else if (take_word("VALUES")) {
        expression();
      } else {
        need_word("SELECT");
        const bool inside = std::exchange(in_parentheses_, false);
        expression();
        in_parentheses_ = inside;
        if (take_word("FROM") && !take_word("DUAL")) table_references();
      }
      tail();
      if (!any_word("UNION", "EXCEPT", "INTERSECT")) break;
      set_operator();
    }
    stop_at_where_ = outer;
  }

  // WHERE and what follows it. Anything else behind a list of tables could be a form of table that is not
  // known here.
  void tail() {
    if (!any_word("WHERE", "GROUP", "HAVING", "ORDER", "LIMIT", "WINDOW")) return;
    const bool inside = std::exchange(in_parentheses_, false);
    expression();
    in_parentheses_ = inside;
  }

  // ---- tables

  void table_references() {
    const Deeper deeper(*this);
    const bool outer = std::exchange(stop_at_where_, true);
    do {
      table_factor();
      joins();
    } while (take_mark(','));
    stop_at_where_ = outer;
  }

  void joins() {
    for (;;) {
      take_word("NATURAL");
      if (any_word("LEFT", "RIGHT")) {
        ++at_;
        take_word("OUTER");
        need_word("JOIN");
      } else if (any_word("INNER", "CROSS")) {
        ++at_;
        need_word("JOIN");
      } else if (!take_word("JOIN") && !take_word("STRAIGHT_JOIN")) {
        return;
      }
      table_factor();
      if (take_word("ON")) {
        condition();
      } else if (take_word("USING")) {
        parenthesis();
      }
    }
  }

  // What follows ON: up to a comma of the list, a join, or the clause's end.
  void condition() {
    const Deeper deeper(*this);
    while (!at_end() && !mark(',') && !mark(')') && !mark(';')) {
      if (mark('(')) {
        parenthesis();
        continue;
      }
      if (token().kind == Kind::kWord && ends_expression(false)) return;
      if (any_word("ON", "USING", "INTO", "TABLE", "DELETE", "INSERT", "CALL", "LOAD")) return;
      name_or_other();
    }
  }

  void table_factor() {
    const Deeper deeper(*this);
    const bool lateral = take_word("LATERAL");
    if (take_mark('(')) {
      if (begins_query()) {
        query();
      } else {
        // Tables, or a query in parentheses of its own with others joined to it by UNION.
        if (lateral) unexpected();
        table_references();
        while (any_word("UNION", "EXCEPT", "INTERSECT")) {
          set_operator();
          query();
        }
        tail();
      }
      need_mark(')');
      return alias();
    }
    if (lateral) unexpected();
    table(true);
    if (mark('(')) unexpected();  // a function that stands for a table
    if (take_word("PARTITION")) parenthesis();
    alias();
    while (any_word("USE", "FORCE", "IGNORE")) {
      ++at_;
      if (!take_word("INDEX")) need_word("KEY");
      if (take_word("FOR")) {
        if (!take_word("JOIN")) {
          if (!take_word("ORDER")) need_word("GROUP");
          need_word("BY");
        }
      }
      parenthesis();
      take_mark(',');
    }
  }

  void alias() {
    if (take_word("AS")) {
      if (!is_name()) unexpected();
      ++at_;
    } else if (is_name()) {
      ++at_;
    } else {
      return;
    }
    if (mark('.')) unexpected();
    if (mark('(')) parenthesis();  // names for its columns
  }

  // ---- statements

  void statement() {
    if (any_word("SELECT", "WITH", "TABLE", "VALUES") || mark('(')) {
      if (word("WITH")) {
        with();
        if (any_word("UPDATE", "DELETE")) return statement();
      }
      query();
      return;
    }
    if (take_word("EXPLAIN") || word("DESC") || word("DESCRIBE")) return explain();
    if (take_word("SHOW")) return show();
    if (take_word("INSERT") || take_word("REPLACE")) return insert();
    if (take_word("UPDATE")) return update();
    if (take_word("DELETE")) return remove();
    if (take_word("TRUNCATE")) {
      take_word("TABLE");
      return table(false);
    }
    if (word("CREATE") && word("TABLE", 1)) return create_table();
    if (word("DROP") && word("TABLE", 1)) return drop_table();
    throw UnresolvedStatementError("'" + token().text.substr(0, 40) +
                                   "' is not a statement whose tables are made out here");
  }

  void explain() {
    if (word("DESC") || word("DESCRIBE")) ++at_;
    take_word("ANALYZE");
    if (take_word("FORMAT")) {
      need_mark('=');
      ++at_;
    }
    if (any_word("SELECT", "WITH", "TABLE", "INSERT", "REPLACE", "UPDATE", "DELETE") || mark('('))
      return statement();
    table(false);
    if (!at_end()) ++at_;  // a column, or a pattern for some
  }

  // What is the server's own and names nobody's data.
  void show() {
    if (!take_word("GLOBAL") && !take_word("SESSION")) take_word("LOCAL");
    if (take_word("CHARACTER")) {
      need_word("SET");
    } else if (any_word("VARIABLES", "STATUS", "COLLATION", "CHARSET", "ENGINES", "PLUGINS")) {
      ++at_;
    } else {
      throw UnresolvedStatementError("SHOW names data of others, too");
    }
    if (take_word("LIKE")) {
      if (token().kind != Kind::kString) unexpected();
      ++at_;
    } else if (take_word("WHERE")) {
      expression();
    }
  }

  void modifiers() {
    while (any_word("LOW_PRIORITY", "DELAYED", "HIGH_PRIORITY", "IGNORE", "QUICK")) ++at_;
  }

  void insert() {
    modifiers();
    take_word("INTO");
    table(false);
    if (take_word("PARTITION")) parenthesis();
    const bool query_follows = mark('(') && (any_word_ahead("SELECT", "WITH") || mark('(', 1));
    if (mark('(') && !query_follows) parenthesis();
    if (any_word("SELECT", "WITH", "TABLE") || mark('(')) {
      query();
    } else if (take_word("VALUES") || take_word("VALUE") || take_word("SET")) {
      expression();
    } else {
      unexpected();
    }
    // The expression runs up to UPDATE, whose words before it are 'ON DUPLICATE KEY'.
    if (word("UPDATE")) {
      if (at_ < 3 || !is_word(list_[at_ - 1], "KEY") || !is_word(list_[at_ - 2], "DUPLICATE")) unexpected();
      ++at_;
      expression();
    }
  }

  void update() {
    modifiers();
    table_references();
    need_word("SET");
    expression();
  }

  void remove() {
    modifiers();
    if (take_word("FROM")) {
      const std::size_t back = at_;
      // 'DELETE FROM a, b USING tables', or one table and a condition.
      table_list();
      if (take_word("USING")) {
        table_references();
      } else {
        at_ = back;
        table_factor();
      }
    } else {
      // Names here are of tables in FROM, or their aliases; with a schema's name they are tables themselves.
      do {
        if (!is_name()) unexpected();
        const std::string name = token().text;
        ++at_;
        if (!take_mark('.')) continue;
        if (take_mark('*')) continue;
        if (!is_name()) unexpected();
        ++at_;
        touch(name);
        if (take_mark('.')) need_mark('*');
      } while (take_mark(','));
      need_word("FROM");
      table_references();
    }
    tail();
  }

  void table_list() {
    do {
      table(false);
      if (take_mark('.')) need_mark('*');
    } while (take_mark(','));
  }

  void create_table() {
    at_ += 2;
    if (take_word("IF")) {
      need_word("NOT");
      need_word("EXISTS");
    }
    table(false);
    if (take_word("LIKE")) return table(false);
    if (mark('(')) {
      // Its columns, with no word of another table.
      for (int open = 0; !at_end(); ++at_) {
        if (mark('(')) ++open;
        if (mark(')') && --open == 0) break;
        if (any_word("REFERENCES", "LIKE", "SELECT", "UNION", "CONNECTION")) unexpected();
      }
      need_mark(')');
    }
    for (; !at_end() && !any_word("SELECT", "WITH"); ++at_) {
      if (any_word("UNION", "CONNECTION", "DIRECTORY", "TABLE", "LIKE", "REFERENCES") || mark('('))
        unexpected();
    }
    if (!at_end()) query();
  }

  void drop_table() {
    at_ += 2;
    if (take_word("IF")) need_word("EXISTS");
    do table(false);
    while (take_mark(','));
  }

  std::vector<Token> list_;
  std::string schema_;
  std::size_t at_ = 0;
  int depth_ = 0;
  bool in_parentheses_ = false;  // of an expression, where UNION joins queries in parentheses of their own
  bool stop_at_where_ = false;   // in a list of tables, an expression ends where its clause does
  std::vector<std::string> locals_;  // names that WITH gave, innermost last
  std::vector<std::string> schemas_;
};

}  // namespace

StatementAnalysis analyze_statement(std::string_view statement, std::string_view schema, Dialect dialect) {
  StatementAnalysis facts;
  if (const auto reason = find_ambiguity(statement, dialect == Dialect::kMysql)) {
    // Not even its effect is known, so it counts as a write: what it hides could be one.
    facts.unresolved_reason = *reason;
    return facts;
  }
  auto list = tokenize(statement);
  facts.effect = is_read_only(list) ? StatementEffect::kReads : StatementEffect::kWrites;
  try {
    facts.schemas = Parser(std::move(list), schema).schemas();
    facts.tables_resolved = true;
  } catch (const UnresolvedStatementError& fault) {
    facts.unresolved_reason = fault.what();
  }
  return facts;
}

}  // namespace rookproxy::sql
