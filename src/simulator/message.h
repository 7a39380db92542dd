// One line of the simulator's protocol: the name of a message and its values, separated by tabs.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "settings/text_values.h"

namespace rookproxy::simulator {

// Holds views into the line it was parsed from, which has to outlive its use. Values are counted from 1, as
// in the protocol's description; 0 is the message's name. Used by one thread at a time.
class Message {
 public:
  // Replaces this message by that of a line without its end. Never throws for the line's contents.
  void parse(std::string_view line) { settings::split_into(line, '\t', fields_); }

  [[nodiscard]] std::string_view name() const { return fields_.front(); }

  // The name as error messages quote it, cut where it is long.
  [[nodiscard]] std::string_view quoted_name() const;

  [[nodiscard]] std::size_t value_count() const { return fields_.size() - 1; }

  // The value at a place, which has to be there.
  [[nodiscard]] std::string_view value(std::size_t place) const { return fields_[place]; }

  // Whether there is a value at a place, and it is not left out.
  [[nodiscard]] bool has(std::size_t place) const {
    return place < fields_.size() && !settings::is_absent(fields_[place]);
  }

  // The values from a place on.
  [[nodiscard]] std::vector<std::string_view> values_from(std::size_t place) const;

  // Throws FormatError unless the message has at least `least` and at most `most` values.
  void require_values(std::size_t least, std::size_t most) const;

 private:
  std::vector<std::string_view> fields_{std::string_view()};
};

}  // namespace rookproxy::simulator
