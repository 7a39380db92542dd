#include "simulator/adapter.h"

#include <cstdint>
#include <cstdlib>
#include <exception>
#include <istream>
#include <ostream>
#include <string>

#include "simulator/session.h"

namespace rookproxy::simulator {

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  SimulatorSession session;
  std::string line;
  std::string reply;
  for (std::uint64_t line_number = 1; std::getline(in, line); ++line_number) {
    try {
      if (!session.handle_line(line, reply)) continue;
    } catch (const std::exception& error) {
      err << "rookproxy-simulator-adapter: line " << line_number << ": " << error.what() << std::endl;
      return EXIT_FAILURE;
    }
    out << reply << std::flush;
    reply.clear();
    if (!out) {
      err << "rookproxy-simulator-adapter: line " << line_number << ": the reply could not be written"
          << std::endl;
      return EXIT_FAILURE;
    }
  }
  if (session.is_inside_batch()) {
    err << "rookproxy-simulator-adapter: end of input inside a batch" << std::endl;
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace rookproxy::simulator
