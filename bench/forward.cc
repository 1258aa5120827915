// Simulates forwarders under each case of the forward model and prints a
// Markdown table.
#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

/*! \brief Prints how the first account fares, and the others. */
void PrintFlows(std::string_view name, const ForwardResult& result) {
  std::uint64_t calls = 0;
  std::uint64_t served = 0;
  double lowest = 1;
  for (std::size_t flow = 1; flow < result.flows.size(); ++flow) {
    calls += result.flows[flow].calls;
    served += result.flows[flow].served;
    lowest = std::min(lowest, result.flows[flow].served_share());
  }
  std::cout << "| " << name << " | "
            << 100 * result.flows.front().served_share() << " | "
            << 100 * static_cast<double>(served) / static_cast<double>(calls)
            << " | " << 100 * lowest << " |\n";
}

/*! \brief Parses a rule for waiting calls; kWithAccounts if it is unknown. */
[[nodiscard]] jacinthdeck::WaitRule ParseWaitRule(const std::string& text) {
  using jacinthdeck::WaitRule;
  if (text == "never") {
    return WaitRule::kNever;
  }
  return text == "always" ? WaitRule::kAlways : WaitRule::kWithAccounts;
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seeds = 20;
  std::string wait = "accounts";
  std::string only;
  po::options_description options("Options");
  options.add_options()("help", "print this")(
      "seeds", po::value(&seeds)->default_value(seeds),
      "runs of each load, with seeds from 1 on")(
      "wait", po::value(&wait)->default_value(wait),
      "which calls wait: never, accounts (in cases with them) or always")(
      "only", po::value(&only), "play only cases whose name contains this");
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
  std::vector<std::pair<std::string_view, ForwardResult>> with_accounts;
  for (auto& [name, load] : jacinthdeck::bench::ForwardCases()) {
    if (name.find(only) == std::string_view::npos) {
      continue;
    }
    load.wait_rule = ParseWaitRule(wait);
    const ForwardResult result = jacinthdeck::bench::RunSeeds(load, seeds);
    PrintRow(name, result);
    if (!result.flows.empty()) {
      with_accounts.emplace_back(name, result);
    }
  }
  std::cout
      << "\n| load | first account served % | others % | lowest of them % "
         "|\n|---|---|---|---|\n";
  for (const auto& [name, result] : with_accounts) {
    PrintFlows(name, result);
  }
  return 0;
}
