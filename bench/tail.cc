// Tail latency, coverage and extra load of engine and router in model time,
// against baselines and the bound. Prints markdown tables.
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
  TailCase what;
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
          {.name = "1% stragglers", .stragglers = 0.01},
          {.name = "5% stragglers", .stragglers = 0.05},
          {.name = "one slow server", .slow_server = true},
          {.name = "one replica of each shard lost", .lost_replica = true},
          {.name = "one failure domain lost", .lost_domain = true},
          {.name = "2x load (1.2 of capacity)", .load = 1.2},
          {.name = "3.3x load (2.0 of capacity)", .load = 2.0}};
}

[[nodiscard]] Strategy Unhedged() {
  Strategy strategy{.name = "no hedging", .options = {}};
  strategy.options.hedging = std::make_shared<NoHedging>();
  return strategy;
}

[[nodiscard]] Strategy Fixed() {
  Strategy strategy{.name = "fixed delay 15 ms", .options = {}};
  strategy.options.hedging = std::make_shared<FixedHedging>(milliseconds(15));
  return strategy;
}

[[nodiscard]] Strategy Ours() {
  return {.name = "ours", .options = {}};
}

[[nodiscard]] Strategy Bound() {
  return {.name = "all-knowing bound", .options = {}, .all_knowing = true};
}

[[nodiscard]] Strategy RandomBaseline() {
  Strategy strategy = Unhedged();
  strategy.name = "random";
  strategy.options.chooser = std::make_shared<RandomChooser>();
  strategy.options.eject_outliers = false;
  return strategy;
}

[[nodiscard]] Strategy LeastInFlightBaseline() {
  Strategy strategy = Unhedged();
  strategy.name = "least in flight";
  strategy.options.chooser = std::make_shared<LeastInFlightChooser>();
  strategy.options.eject_outliers = false;
  return strategy;
}

[[nodiscard]] TailResult RunCase(const TailCase& what) {
  return what.strategy.all_knowing ? AllKnowing(what).Run()
                                   : TailModel(what).Run();
}

//! Runs share nothing, so the order in which threads take them has no effect.
void RunAll(std::vector<Row>& rows, unsigned threads) {
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < rows.size(); i = next++) {
      rows[i].result = RunCase(rows[i].what);
    }
  };
  std::vector<std::jthread> workers;
  for (unsigned i = 0; i < threads; ++i) {
    workers.emplace_back(work);
  }
}

void PrintRow(const Row& row, const TailResult& clean) {
  const TailResult& r = row.result;
  const double fan_out = row.what.deployment.shards;
  std::printf(
      "| %s | %s | %.1f | %.1f | %.2f | %.1f | %.2f | %.3f%% | %.3f | %.2f%% | "
      "%.3f |\n",
      row.what.fault.name.c_str(), row.what.strategy.name.c_str(), r.p50_ms,
      r.p99_ms, r.p99_ms / clean.p99_ms, r.p999_ms, r.p999_ms / clean.p999_ms,
      100 * r.whole, r.extra, 100 * r.extra / fan_out,
      r.goodput / clean.goodput);
}

//! The clean, unhedged run that the figures of a table are compared with.
[[nodiscard]] const TailResult& CleanOf(const std::vector<Row>& rows,
                                        const Row& row) {
  for (const Row& other : rows) {
    if (other.what.deployment.name == row.what.deployment.name &&
        other.what.shape == row.what.shape &&
        other.what.fault.name == "clean" &&
        other.what.strategy.name == "no hedging") {
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
    const std::string next = row.what.deployment.name + ", " +
                             std::string(kShapeNames.Name(row.what.shape)) +
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
    PrintRow(row, CleanOf(rows, row));
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
                                        Duration hop,
                                        const std::string& only) {
  const std::vector<Strategy> strategies =
      choosers
          ? std::vector{Unhedged(), RandomBaseline(), LeastInFlightBaseline()}
          : std::vector{Unhedged(), Fixed(), Ours(), Bound()};
  std::vector<Row> rows;
  std::uint64_t seed = 1000;
  for (Deployment deployment : Deployments()) {
    deployment.one_way_delay += hop;
    for (const Shape shape :
         {Shape::kExponential, Shape::kLognormal, Shape::kConstant}) {
      for (const Fault& fault : Faults()) {
        ++seed;
        if (fault.name != "clean" &&
            fault.name.find(only) == std::string::npos) {
          continue;
        }
        for (const Strategy& strategy : strategies) {
          if (strategy.all_knowing && fault.load > 1) {
            continue;  // It refuses nothing, so its queue grows for ever.
          }
          rows.push_back(Row{TailCase{deployment, shape, fault, strategy,
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
  options::options_description described("Tail bench in model time");
  described.add_options()("help", "print this")("quick",
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
  options::variables_map chosen;
  options::store(options::parse_command_line(argc, argv, described), chosen);
  if (chosen.contains("help")) {
    std::cout << described;
    return 0;
  }
  const std::uint32_t queries = chosen["queries"].as<std::uint32_t>() /
                                (chosen.contains("quick") ? 10 : 1);
  auto rows = jacinthdeck::bench::MakeRows(
      queries, chosen.contains("choosers"),
      chosen["entries"].as<std::uint32_t>(),
      jacinthdeck::Duration(chosen["hop-us"].as<std::int64_t>()),
      chosen["only"].as<std::string>());
  jacinthdeck::bench::RunAll(rows, chosen["threads"].as<unsigned>());
  jacinthdeck::bench::Print(rows);
  return 0;
}
