#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "filbertstair/cli/run.h"

auto main(int argc, char** argv) -> int {
  using filbertstair::cli::ExitStatus;
  try {
    const std::vector<std::string> args(argv + 1, argv + argc);
    auto exit = filbertstair::cli::Run(args, std::cout, std::cerr);
    std::cout.flush();
    if (!std::cout) {
      std::cerr << "filbertstair: cannot write the answer\n";
      exit = ExitStatus::refused;
    }
    return static_cast<int>(exit);
  } catch (const std::exception& error) {
    std::cerr << "filbertstair: " << error.what() << '\n';
    return static_cast<int>(ExitStatus::refused);
  }
}
