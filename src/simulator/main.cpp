// The simulator adapter: the decision module behind the simulator's protocol on standard input and output.
#include <iostream>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return rookproxy::simulator::serve(std::cin, std::cout, std::cerr);
}
