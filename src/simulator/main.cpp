// The simulator adapter: connects the decision module to the simulator over standard input and output.
#include <iostream>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return rookproxy::simulator::serve(std::cin, std::cout, std::cerr);
}
