// Runs a scenario script once for each seed of a range and prints the failures:
// scenario_runner FIRST_SEED LAST_SEED SCRIPT.
#include <cstdlib>
#include <iostream>
#include <string>

#include "scenario/script.h"

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  if (argc != kArguments) {
    std::cerr << "usage: scenario_runner FIRST_SEED LAST_SEED SCRIPT\n";
    return 2;
  }
  const std::uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const std::uint64_t last = std::strtoull(argv[2], nullptr, 10);
  int status = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    for (const std::string& failure :
         jacinthdeck::scenario::RunScript(argv[3], seed)) {
      std::cerr << "seed " << seed << ": " << failure << "\n";
      status = 1;
    }
  }
  return status;
}
