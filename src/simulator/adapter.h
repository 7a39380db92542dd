// Serves the simulator's protocol on a pair of streams.
#pragma once

#include <iosfwd>

namespace rookproxy::simulator {

// Reads lines from `in` until the end of the input and writes the reply of each batch to `out`. Returns the
// process's exit code: 0 at the end of the input; 1 if the input violates the protocol or ends inside a
// batch, or if a reply cannot be written. An exit code of 1 comes with one line on `err` that names the input
// line and the cause.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace rookproxy::simulator
