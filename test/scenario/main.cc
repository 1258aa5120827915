// Runs scenario scripts: scenario_runner [--seeds FIRST LAST] [--twice]
// [--trace TEXT] FILE...
#include <charconv>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "scenario/script.h"

namespace {

struct Arguments {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
  //! Runs each seed again and compares.
  bool twice = false;
  //! After a failure, calls whose body holds this text are listed.
  std::string trace;
  std::vector<std::string> files;
};

[[nodiscard]] std::uint64_t ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

[[nodiscard]] Arguments Read(const std::vector<std::string>& words) {
  Arguments arguments;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (words[i] == "--seeds" && i + 2 < words.size()) {
      arguments.first = ReadNumber(words[i + 1]);
      arguments.last = ReadNumber(words[i + 2]);
      i += 2;
    } else if (words[i] == "--trace" && i + 1 < words.size()) {
      arguments.trace = words[++i];
    } else if (words[i] == "--twice") {
      arguments.twice = true;
    } else {
      arguments.files.push_back(words[i]);
    }
  }
  return arguments;
}

[[nodiscard]] bool RunSeed(const std::string& file,
                           std::uint64_t seed,
                           const Arguments& arguments) {
  jacinthdeck::scenario::Script script(seed);
  if (const auto failure = script.Run(file)) {
    std::printf("FAILED %s seed %llu: %s\n", file.c_str(),
                static_cast<unsigned long long>(seed), failure->c_str());
    if (!arguments.trace.empty()) {
      std::printf("%s", script.Trace(arguments.trace).c_str());
    }
    return false;
  }
  if (!arguments.twice) {
    return true;
  }
  jacinthdeck::scenario::Script again(seed);
  if (again.Run(file) || again.TraceHash() != script.TraceHash()) {
    std::printf("FAILED %s seed %llu: two runs differ\n", file.c_str(),
                static_cast<unsigned long long>(seed));
    return false;
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments =
      Read(std::vector<std::string>(argv + 1, argv + argc));
  int failed = 0;
  int passed = 0;
  for (const std::string& file : arguments.files) {
    for (std::uint64_t seed = arguments.first; seed <= arguments.last; ++seed) {
      if (RunSeed(file, seed, arguments)) {
        ++passed;
      } else {
        ++failed;
      }
    }
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 && passed > 0 ? 0 : 1;
}
