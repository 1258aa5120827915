// Simulates forwarders under each case of the forward model and prints a
// Markdown table.
#include <boost/program_options.hpp>
#include <cstdint>
#include <iomanip>
#include <iostream>

#include "support/forward_cases.h"
#include "support/forward_model.h"

namespace {

namespace po = boost::program_options;
using jacinthdeck::bench::ForwardResult;

void PrintRow(std::string_view name, const ForwardResult& result) {
  const auto percent = [&](std::uint64_t count) {
    return 100 * static_cast<double>(count) / static_cast<double>(result.calls);
  };
  std::cout << std::fixed << std::setprecision(1) << "| " << name << " | "
            << 100 * result.value() << " | " << percent(result.in_time) << " | "
            << percent(result.late) << " | " << percent(result.refused) << " | "
            << percent(result.failed) << " | " << result.p50_ms << " | "
            << 100 * static_cast<double>(result.extra_attempts) /
                   static_cast<double>(result.attempts)
            << " | " << std::setprecision(2) << result.budget_used << " | "
            << std::setprecision(1) << 100 * result.other_domain_share()
            << " |\n";
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seeds = 20;
  po::options_description options("Options");
  options.add_options()("help", "print this")(
      "seeds", po::value(&seeds)->default_value(seeds),
      "runs of each load, with seeds from 1 on");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  std::cout << "| load | value % | in time % | late % | refused % | failed % | "
               "p50 ms | extra attempts % | of the budget | first attempts to "
               "other domains % "
               "|\n|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& [name, load] : jacinthdeck::bench::ForwardCases()) {
    PrintRow(name, jacinthdeck::bench::RunSeeds(load, seeds));
  }
  return 0;
}
