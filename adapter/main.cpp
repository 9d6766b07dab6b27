// cedarplank_adapter: reads batches in the simulator's wire format from standard input and answers each on
// standard output, with one flush per batch. Exits with 1 on a malformed line or if the output is closed.
#include <iostream>
#include <string>

#include "codec.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  cedarplank::adapter::Codec codec;
  std::string line, reply;
  for (std::size_t number = 1; std::getline(std::cin, line); number++) {
    try {
      if (line.empty() || !codec.process_line(line, reply)) continue;
    } catch (const std::exception& e) {
      std::cerr << "cedarplank_adapter: line " << number << ": " << e.what() << std::endl;
      return 1;
    }
    std::cout << reply << std::flush;
    if (!std::cout) return 1;
  }
  return 0;
}
