// Measures tail latency, coverage and extra attempts of engine and router in a
// simulation, compared with baseline strategies and the oracle bound. Prints
// Markdown tables.
#include <atomic>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <thread>
#include <vector>

#include "support/all_knowing.h"
#include "support/tail_case.h"
#include "support/tail_model.h"

namespace jacinthdeck::bench {

namespace {

using std::chrono::milliseconds;

struct Row {
  TailCase tail_case;
  TailResult result;
};

[[nodiscard]] std::vector<Deployment> Deployments() {
  Deployment counter;
  counter.name = "counter-desk: fan-out 10, 3 slots";
  Deployment galeria;
  galeria.name = "galeria-fotos: fan-out 15, 2 slots";
  galeria.shards = 15;
  galeria.slots = 2;
  galeria.connections = 25;
  galeria.one_way_delay = Duration(1500);
  return {counter, galeria};
}

[[nodiscard]] std::vector<Fault> Faults() {
  return {{.name = "clean"},
          {.name = "1% stragglers", .straggler_share = 0.01},
          {.name = "5% stragglers", .straggler_share = 0.05},
          {.name = "one slow server", .slow_server = true},
          {.name = "one replica of each shard lost", .lost_replica = true},
          {.name = "one failure domain lost", .lost_domain = true},
          {.name = "2x load (1.2 of capacity)", .offered_load = 1.2},
          {.name = "3.3x load (2.0 of capacity)", .offered_load = 2.0}};
}

[[nodiscard]] Strategy UnhedgedStrategy() {
  Strategy strategy{.name = "no hedging", .options = {}};
  strategy.options.hedging = std::make_shared<NoHedging>();
  return strategy;
}

[[nodiscard]] Strategy FixedDelayStrategy() {
  Strategy strategy{.name = "fixed delay 15 ms", .options = {}};
  strategy.options.hedging = std::make_shared<FixedHedging>(milliseconds(15));
  return strategy;
}

[[nodiscard]] Strategy DefaultStrategy() {
  return {.name = "ours", .options = {}};
}

[[nodiscard]] Strategy OracleStrategy() {
  return {.name = "all-knowing bound", .options = {}, .oracle = true};
}

[[nodiscard]] Strategy RandomStrategy() {
  Strategy strategy = UnhedgedStrategy();
  strategy.name = "random";
  strategy.options.chooser = std::make_shared<RandomChooser>();
  strategy.options.eject_outliers = false;
  return strategy;
}

[[nodiscard]] Strategy LeastInFlightStrategy() {
  Strategy strategy = UnhedgedStrategy();
  strategy.name = "least in flight";
  strategy.options.chooser = std::make_shared<LeastInFlightChooser>();
  strategy.options.eject_outliers = false;
  return strategy;
}

[[nodiscard]] TailResult RunCase(const TailCase& tail_case) {
  return tail_case.strategy.oracle ? OracleScheduler(tail_case).Run()
                                   : TailModel(tail_case).Run();
}

//! Runs share no state, so the order in which threads take them does not
//! matter.
void RunAll(std::vector<Row>& rows, unsigned threads) {
  std::atomic<std::size_t> next = 0;
  const auto run_rows = [&] {
    for (std::size_t i = next++; i < rows.size(); i = next++) {
      rows[i].result = RunCase(rows[i].tail_case);
    }
  };
  std::vector<std::jthread> workers;
  for (unsigned i = 0; i < threads; ++i) {
    workers.emplace_back(run_rows);
  }
}

void PrintRow(const Row& row, const TailResult& clean) {
  const TailResult& result = row.result;
  const double fan_out = row.tail_case.deployment.shards;
  std::printf(
      "| %s | %s | %.1f | %.1f | %.2f | %.1f | %.2f | %.3f%% | %.3f | %.2f%% | "
      "%.3f |\n",
      row.tail_case.fault.name.c_str(), row.tail_case.strategy.name.c_str(),
      result.p50_ms, result.p99_ms, result.p99_ms / clean.p99_ms,
      result.p999_ms, result.p999_ms / clean.p999_ms, 100 * result.whole,
      result.extra_attempts, 100 * result.extra_attempts / fan_out,
      result.goodput / clean.goodput);
}

//! Returns the result of the run without faults and hedging, which the ratios
//! of a table refer to.
[[nodiscard]] const TailResult& FindCleanResult(const std::vector<Row>& rows,
                                                const Row& row) {
  for (const Row& other : rows) {
    if (other.tail_case.deployment.name == row.tail_case.deployment.name &&
        other.tail_case.distribution == row.tail_case.distribution &&
        other.tail_case.fault.name == "clean" &&
        other.tail_case.strategy.name == "no hedging") {
      return other.result;
    }
  }
  return row.result;
}

void Print(const std::vector<Row>& rows) {
  std::string title;
  std::uint64_t wrong_answers = 0;
  std::uint32_t most_connections = 0;
  for (const Row& row : rows) {
    const std::string next = row.tail_case.deployment.name + ", " +
                             std::string(kServiceDistributionNames.Name(
                                 row.tail_case.distribution)) +
                             " service";
    if (next != title) {
      title = next;
      std::printf(
          "\n#### %s\n\n"
          "| scenario | strategy | p50 ms | p99 ms | x clean | p99.9 ms | x "
          "clean | whole | extra a query | extra | goodput x clean |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|\n",
          title.c_str());
    }
    PrintRow(row, FindCleanResult(rows, row));
    wrong_answers += row.result.wrong_answers;
    most_connections = std::max(most_connections, row.result.most_connections);
  }
  std::printf(
      "\nAnswers doubled, missing or with ranges that do not add up: %llu. "
      "Most connections at one "
      "target: %u.\n",
      static_cast<unsigned long long>(wrong_answers), most_connections);
}

[[nodiscard]] std::vector<Row> MakeRows(std::uint32_t queries,
                                        bool choosers,
                                        std::uint32_t entries,
                                        Duration forwarding_delay,
                                        const std::string& scenario_filter) {
  const std::vector<Strategy> strategies =
      choosers ? std::vector{UnhedgedStrategy(), RandomStrategy(),
                             LeastInFlightStrategy()}
               : std::vector{UnhedgedStrategy(), FixedDelayStrategy(),
                             DefaultStrategy(), OracleStrategy()};
  std::vector<Row> rows;
  std::uint64_t seed = 1000;
  for (Deployment deployment : Deployments()) {
    deployment.one_way_delay += forwarding_delay;
    for (const ServiceDistribution distribution :
         {ServiceDistribution::kExponential, ServiceDistribution::kLognormal,
          ServiceDistribution::kConstant}) {
      for (const Fault& fault : Faults()) {
        ++seed;
        if (fault.name != "clean" &&
            fault.name.find(scenario_filter) == std::string::npos) {
          continue;
        }
        for (const Strategy& strategy : strategies) {
          if (strategy.oracle && fault.offered_load > 1) {
            // The oracle sheds nothing: its queues would grow without bound.
            continue;
          }
          rows.push_back(Row{TailCase{deployment, distribution, fault, strategy,
                                      entries, queries, seed},
                             {}});
        }
      }
    }
  }
  return rows;
}

}  // namespace

}  // namespace jacinthdeck::bench

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description("Tail bench in model time");
  description.add_options()("help", "print this")("quick",
                                                  "a tenth of the queries")(
      "choosers", "compare replica choice without hedging")(
      "only", options::value<std::string>()->default_value(""),
      "scenarios whose name has this in it, besides clean")(
      "queries", options::value<std::uint32_t>()->default_value(20000),
      "measured queries of a run")(
      "entries", options::value<std::uint32_t>()->default_value(8),
      "entries that share the targets")(
      "hop-us", options::value<std::int64_t>()->default_value(0),
      "time added one way, as for a forwarding hop")(
      "threads", options::value<unsigned>()->default_value(3), "threads");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  const std::uint32_t queries = values["queries"].as<std::uint32_t>() /
                                (values.contains("quick") ? 10 : 1);
  auto rows = jacinthdeck::bench::MakeRows(
      queries, values.contains("choosers"),
      values["entries"].as<std::uint32_t>(),
      jacinthdeck::Duration(values["hop-us"].as<std::int64_t>()),
      values["only"].as<std::string>());
  jacinthdeck::bench::RunAll(rows, values["threads"].as<unsigned>());
  jacinthdeck::bench::Print(rows);
  return 0;
}
