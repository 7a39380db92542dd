// A message of the simulator's protocol: one line with the message's name and its values, separated by tabs.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "settings/text_values.h"

namespace rookproxy::simulator {

// Holds views into the parsed line, which must outlive them. Values are numbered from 1, as in the protocol's
// description; field 0 is the message's name. Not thread-safe.
class Message {
 public:
  // Parses a line, given without its newline, and replaces the previous message. Accepts any text.
  void parse(std::string_view line) { settings::split_into(line, '\t', fields_); }

  [[nodiscard]] std::string_view name() const { return fields_.front(); }

  // Returns the name for use in error messages, truncated if it is long.
  [[nodiscard]] std::string_view quoted_name() const;

  [[nodiscard]] std::size_t value_count() const { return fields_.size() - 1; }

  // Returns the value at an index from 1 to value_count().
  [[nodiscard]] std::string_view value(std::size_t index) const { return fields_[index]; }

  // Returns whether there is a value at the index that is not marked as absent.
  [[nodiscard]] bool has(std::size_t index) const {
    return index < fields_.size() && !settings::is_absent(fields_[index]);
  }

  // Returns the values from the index on.
  [[nodiscard]] std::vector<std::string_view> values_from(std::size_t index) const;

  // Throws FormatError unless the message has from `min_count` to `max_count` values.
  void require_values(std::size_t min_count, std::size_t max_count) const;

 private:
  std::vector<std::string_view> fields_{std::string_view()};
};

}  // namespace rookproxy::simulator
