// The simulator's adapter: its protocol on a pair of streams.
#pragma once

#include <iosfwd>

namespace rookproxy::simulator {

// Reads lines from `in` until its end and writes each batch's reply to `out`. Returns the process's exit
// code: 0 at the end of the input, 1 if it broke the protocol, ended inside a batch or a reply could not be
// written, with one line on `err` that says where and why.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace rookproxy::simulator
