// Main function of the stand-in for the platform's key-value store.
#include <chrono>
#include <cstdint>
#include <optional>

#include "jacinthdeck/core/boottime_clock.h"
#include "process/process.h"
#include "store/restore_drill.h"
#include "store/store_server.h"

namespace jacinthdeck::standins {

namespace {

using std::chrono::milliseconds;

struct StoreOptions {
  StoreRates rates;
  std::uint64_t seed = 1;
  std::uint64_t snapshot_after_ms = 0;
  std::uint64_t silent_after_ms = 0;
  //! 0 for no drill.
  std::uint64_t restore_after_ms = 0;
};

int Serve(std::uint16_t port, const StoreOptions& options) {
  const BoottimeClock clock;
  StoreServer server(port, clock, options.rates, options.seed);
  std::optional<RestoreDrill> drill;
  if (options.restore_after_ms > 0) {
    drill.emplace(server, RestoreTimes{milliseconds(options.snapshot_after_ms),
                                       milliseconds(options.silent_after_ms),
                                       milliseconds(options.restore_after_ms)});
  }
  ServeUntilSignal(server.port());
  return 0;
}

}  // namespace

}  // namespace jacinthdeck::standins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  using jacinthdeck::standins::StoreOptions;
  StoreOptions store;
  po::options_description options("Store");
  options.add_options()(
      "reads-per-second",
      po::value(&store.rates.reads_per_second)
          ->default_value(store.rates.reads_per_second),
      "limit on reads, watches and lease renewals; calls above are answered "
      "429")(
      "writes-per-second",
      po::value(&store.rates.writes_per_second)
          ->default_value(store.rates.writes_per_second),
      "limit on writes and other lease calls; calls above are answered 429")(
      "seed", po::value(&store.seed)->default_value(store.seed),
      "seed of the random faults")(
      "copy-after-ms", po::value(&store.snapshot_after_ms)->default_value(0),
      "milliseconds from the start until a snapshot is taken")(
      "silent-after-ms", po::value(&store.silent_after_ms)->default_value(0),
      "milliseconds from the start until the store stops answering")(
      "restore-after-ms", po::value(&store.restore_after_ms)->default_value(0),
      "milliseconds from the start until the snapshot is restored; 0: never");
  return jacinthdeck::standins::RunServer(
      argc, argv, options, [&](std::uint16_t port) {
        return jacinthdeck::standins::Serve(port, store);
      });
}
