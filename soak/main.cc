// Runs the plans of one or more seeds in turn and reports broken promises.
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <thread>

#include "process/process.h"
#include "soak/call_log.h"
#include "soak/checks.h"
#include "soak/cluster.h"
#include "soak/plan.h"

namespace jacinthdeck::soak {

namespace {

//! Exit code if a promise was broken.
constexpr int kPromiseBroken = 3;
constexpr std::chrono::milliseconds kTick{5};
//! Time before the first fault in which entries receive their configuration and
//! targets.
constexpr Duration kWarmUp = std::chrono::seconds(2);
//! Time after the last fault: the recovery period, then a calm period in which
//! calls must be answered.
constexpr Duration kRecoveryAndCalm = std::chrono::seconds(8);
//! Most violations of one promise printed per seed.
constexpr std::size_t kMaxPrinted = 10;

struct SoakOptions {
  PlanOptions plan;
  ClusterOptions cluster;
  std::string programs = "build";
  //! Empty for the one in the build directory.
  std::string daemon;
  std::uint64_t seeds = 1;
  std::uint64_t seconds = 12;
  bool plan_only = false;
  bool keep = false;
};

void RunPlan(Cluster& cluster,
             const std::vector<Action>& plan,
             Duration length) {
  const TimePoint begin = cluster.Now() + kWarmUp;
  std::size_t next = 0;
  bool faults_ended = false;
  while (cluster.Now() < begin + length + kRecoveryAndCalm) {
    cluster.RunDueSteps();
    if (next < plan.size() && begin + plan[next].at <= cluster.Now()) {
      cluster.Apply(plan[next]);
      ++next;
    } else if (!faults_ended && begin + length < cluster.Now()) {
      cluster.EndAllFaults();
      faults_ended = true;
    }
    std::this_thread::sleep_for(kTick);
  }
}

//! Prints the summary line and violations of a seed.
//! \return Whether all promises held.
[[nodiscard]] bool Report(std::uint64_t seed,
                          const History& history,
                          const std::vector<Violation>& found) {
  const CalmCalls calm = CountCalmCalls(history);
  std::cout << "seed " << seed << ": " << history.calls.size() << " calls, "
            << history.runs.size() << " runs, " << history.layouts.size()
            << " layouts, " << history.departures.size() << " targets left, "
            << calm.answered << " of " << calm.sent << " answered when calm, "
            << found.size() << " promises broken" << std::endl;
  std::map<Promise, std::size_t> seen;
  for (const Violation& violation : found) {
    if (++seen[violation.promise] <= kMaxPrinted) {
      std::cout << "  " << kPromiseNames.Name(violation.promise) << ": "
                << violation.text << "\n";
    }
  }
  for (const auto& [promise, count] : seen) {
    std::cout << "  " << kPromiseNames.Name(promise) << " was broken " << count
              << " times\n";
  }
  return found.empty();
}

[[nodiscard]] bool RunSeed(SoakOptions options, std::uint64_t seed) {
  options.plan.seed = seed;
  options.plan.length = std::chrono::seconds(options.seconds);
  options.plan.entries = options.cluster.entries;
  const std::vector<Action> plan = MakePlan(options.plan);
  if (options.plan_only) {
    for (const Action& action : plan) {
      std::cout << Describe(action) << "\n";
    }
    return true;
  }
  std::string work =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  if (mkdtemp(work.data()) == nullptr) {
    throw std::runtime_error("cannot create directory " + work);
  }
  options.cluster.seed = seed;
  options.cluster.two_domains = options.plan.evacuations > 0;
  options.cluster.accounts = options.plan.account_changes > 0;
  options.cluster.rolling = options.plan.rolling > 0;
  options.cluster.work = work;
  options.cluster.programs = options.programs;
  options.cluster.daemon =
      options.daemon.empty()
          ? options.cluster.programs / "platform/jacinthdeckd"
          : std::filesystem::path(options.daemon);
  bool all_held = false;
  {
    Cluster cluster(options.cluster);
    cluster.Start();
    RunPlan(cluster, plan, options.plan.length);
    const History history = cluster.Finish();
    WriteCalls((std::filesystem::path(work) / "calls.log").string(), history);
    all_held = Report(seed, history, FindViolations(history));
  }
  if (all_held && !options.keep) {
    std::filesystem::remove_all(work);
  } else {
    std::cout << "  logs: " << work << std::endl;
  }
  return all_held;
}

int RunAllSeeds(const SoakOptions& options) {
  std::uint64_t broken = 0;
  for (std::uint64_t index = 0; index < options.seeds; ++index) {
    broken += RunSeed(options, options.plan.seed + index) ? 0 : 1;
  }
  std::cout << options.seeds << " seeds, " << broken << " with broken promises"
            << std::endl;
  return broken == 0 ? 0 : kPromiseBroken;
}

}  // namespace

}  // namespace jacinthdeck::soak

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  jacinthdeck::soak::SoakOptions soak;
  po::options_description options("Soak");
  options.add_options()(
      "seed", po::value(&soak.plan.seed)->default_value(soak.plan.seed),
      "first seed")("seeds", po::value(&soak.seeds)->default_value(soak.seeds),
                    "number of seeds to run in sequence")(
      "faults", po::value(&soak.plan.faults)->default_value(soak.plan.faults),
      "number of faults per seed")(
      "seconds", po::value(&soak.seconds)->default_value(soak.seconds),
      "period in which faults begin and end")(
      "evacuations",
      po::value(&soak.plan.evacuations)->default_value(soak.plan.evacuations),
      "number of evacuations of one of two failure domains")(
      "restores",
      po::value(&soak.plan.restores)->default_value(soak.plan.restores),
      "number of restores of the store from an older copy")(
      "accounts",
      po::value(&soak.plan.account_changes)
          ->default_value(soak.plan.account_changes),
      "number of changes to client accounts; 0 for no accounts")(
      "rolling",
      po::value(&soak.plan.rolling)->default_value(soak.plan.rolling),
      "number of rolling restarts of all entries, with slow calls")(
      "rewritten-after-ms",
      po::value<std::uint64_t>()->notifier([&soak](std::uint64_t after) {
        soak.plan.rewritten_after = std::chrono::milliseconds(after);
      }),
      "time from a restore until operators write again; random by default")(
      "entries",
      po::value(&soak.cluster.entries)->default_value(soak.cluster.entries),
      "number of entry processes")(
      "callers",
      po::value(&soak.cluster.callers)->default_value(soak.cluster.callers),
      "number of callers, each with one connection")(
      "programs", po::value(&soak.programs)->default_value(soak.programs),
      "build directory")(
      "daemon", po::value(&soak.daemon),
      "program of the entries; by default that of the build directory")(
      "plan", po::bool_switch(&soak.plan_only),
      "print the plan without running it")(
      "keep", po::bool_switch(&soak.keep),
      "keep the logs of seeds without violations");
  return jacinthdeck::standins::RunProgram(argc, argv, options, [&] {
    return jacinthdeck::soak::RunAllSeeds(soak);
  });
}
