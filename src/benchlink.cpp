#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return lemonshift::wire::serve(std::cin, std::cout, std::cerr);
}
